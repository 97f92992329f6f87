use proptest::prelude::*;
use serde_json::{Value, json};

use super::*;

fn list(replicas: usize, name: &str) -> Value {
    let target = |n| json!({"uid": format!("{name}{n}"), "endpoint": "127.0.0.1:1", "pod_group": n, "more": {"x": []}});
    json!({"rev": replicas, "all": true, "targets": (0..replicas).map(target).collect::<Vec<_>>()})
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn objects_do_not_depend_on_line_ends_or_piece_sizes(
        lists in proptest::collection::vec((0usize..6, "[a-z{}\"\\\\\n]{0,6}", any::<bool>(), "[ \n\r\t]{0,3}"), 0..6),
        cuts in proptest::collection::vec(1usize..90, 0..60),
    ) {
        let mut bytes = Vec::new();
        for (replicas, name, indented, between) in &lists {
            let list = list(*replicas, name);
            let text = if *indented { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
            bytes.extend_from_slice(text.unwrap().as_bytes());
            bytes.extend_from_slice(between.as_bytes());
        }
        let (mut objects, mut values, mut rest) = (JsonObjectStream::new(1 << 20), Vec::new(), &bytes[..]);
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            objects.push(piece);
            rest = after;
            while let Some(object) = objects.take().unwrap() {
                values.push(serde_json::from_slice::<Value>(&object).unwrap());
            }
        }
        let expected: Vec<Value> = lists.iter().map(|(replicas, name, ..)| list(*replicas, name)).collect();
        prop_assert_eq!(values, expected);
    }
}

#[test]
fn other_values_and_overlong_objects_are_rejected() {
    for (bytes, expected) in [
        ("{} x{}", JsonStreamError::NotAnObject),
        ("}", JsonStreamError::NotAnObject),
        ("\"{}\"", JsonStreamError::NotAnObject),
    ] {
        let mut objects = JsonObjectStream::new(100);
        objects.push(bytes.as_bytes());
        let first_error = std::iter::from_fn(|| objects.take().transpose()).find_map(Result::err);
        assert_eq!(first_error, Some(expected), "{bytes}");
    }
    let mut objects = JsonObjectStream::new(100);
    objects.push(b"{\"targets\": [");
    assert_eq!(objects.take(), Ok(None));
    objects.push(&[b' '; 100]);
    assert_eq!(objects.take(), Err(JsonStreamError::TooLong));
}

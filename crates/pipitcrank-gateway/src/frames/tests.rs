use proptest::prelude::*;

use super::*;

fn forward() -> Forward {
    Forward {
        number: 7,
        id: "q1".into(),
        class: "view".into(),
        left: TimeSpan::from_millis(800),
        further: 1,
        crossed: vec!["north".into()],
        parts: vec![(3, 0.5, None), (4, 0.5, Some(0.01))],
        text: "c41e".into(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn frames_are_read_however_they_are_cut(cuts in proptest::collection::vec(1usize..30, 0..20), value in ".{0,300}") {
        let all = [
            Said::Hello { version: 1, site: "north".into(), instance: u64::MAX, lane: 1, credit: 9, can: 0 },
            Said::Forward(forward()),
            Said::ForwardWithKey(forward(), "19dd61b8".into()),
            Said::Part { number: 7, shard: 3, value },
            Said::End { number: 7, how: How::Rejected { stay_away: TimeSpan::from_millis(50) }, made: 2 },
            Said::Ask { numbers: vec![1, 2, 3] },
            Said::Pong { sent_us: -5, mine_us: i64::MAX },
        ];
        let bytes: Vec<u8> = all.iter().flat_map(encode).collect();
        let (mut buffer, mut found, mut rest) = (BytesMut::new(), Vec::new(), &bytes[..]);
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            buffer.extend_from_slice(piece);
            rest = after;
            while let Some((said, _)) = take(&mut buffer).unwrap() { found.push(said); }
        }
        prop_assert_eq!(found, all);
    }

    #[test]
    fn noise_is_no_frame_or_a_sound_one(noise in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(&noise[..]);
        while let Ok(Some((said, _))) = take(&mut buffer) { prop_assert!(sound(&said)); }
    }
}

#[test]
fn what_can_not_be_is_refused() {
    let bad = |change: fn(&mut Forward)| {
        let mut f = forward();
        change(&mut f);
        take(&mut BytesMut::from(&encode(&Said::Forward(f))[..]))
    };
    assert_eq!(bad(|f| f.number = 0), Err(Bad::Unsound));
    assert_eq!(bad(|f| f.parts.clear()), Err(Bad::Unsound));
    assert_eq!(bad(|f| f.parts[1].0 = 3), Err(Bad::Unsound), "a shard twice");
    assert_eq!(bad(|f| f.parts[0].1 = f64::NAN), Err(Bad::Unsound));
    assert_eq!(bad(|f| f.parts[0].2 = Some(-1.0)), Err(Bad::Unsound));
    assert_eq!(bad(|f| f.left = TimeSpan::from_millis(i64::MAX / 2000)), Err(Bad::Unsound));
    assert_eq!(take(&mut BytesMut::from(&[0u8; 4][..])), Err(Bad::Length(0)));
    assert!(matches!(take(&mut BytesMut::from(&[255u8; 4][..])), Err(Bad::Length(_))));
}

#[test]
fn a_key_that_would_be_read_as_something_else_is_refused() {
    let read =
        |key: &str| take(&mut BytesMut::from(&encode(&Said::ForwardWithKey(forward(), key.into()))[..]));
    assert!(read("\"19dd-61b8\"").is_ok());
    let long = "k".repeat(257);
    for key in ["", "a,d=9", "a b", "a\nb", &long] {
        assert_eq!(read(key), Err(Bad::Unsound), "{key}");
    }
}

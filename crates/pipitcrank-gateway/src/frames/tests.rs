use proptest::prelude::*;

use super::*;

fn part(shard: u32, weight: f64, estimated_work: Option<f64>) -> ForwardPart {
    ForwardPart { shard, weight, estimated_work }
}

fn forward() -> Forward {
    Forward {
        number: 7,
        query_id: "q1".into(),
        class: "view".into(),
        time_left: TimeSpan::from_millis(800),
        delegated_retries: 1,
        sites_crossed: vec!["north".into()],
        parts: vec![part(3, 0.5, None), part(4, 0.5, Some(0.01))],
        text: "c41e".into(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn frames_are_decoded_however_they_are_split(cuts in proptest::collection::vec(1usize..30, 0..20), value in ".{0,300}") {
        let all = [
            LinkMessage::Hello { version: 1, site: "north".into(), incarnation: u64::MAX, stream: 1, credit: 9, capabilities: 0 },
            LinkMessage::Forward(forward()),
            LinkMessage::ForwardWithKey(forward(), "19dd61b8".into()),
            LinkMessage::PartAnswer { number: 7, shard: 3, value },
            LinkMessage::End { number: 7, outcome: ForwardOutcome::Rejected { retry_after: TimeSpan::from_millis(50) }, retries_made: 2 },
            LinkMessage::StatusRequest { numbers: vec![1, 2, 3] },
            LinkMessage::Pong { sent_us: -5, answered_us: i64::MAX },
        ];
        let bytes: Vec<u8> = all.iter().flat_map(encode).collect();
        let (mut buffer, mut found, mut rest) = (BytesMut::new(), Vec::new(), &bytes[..]);
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            buffer.extend_from_slice(piece);
            rest = after;
            while let Some((message, _)) = take_frame(&mut buffer).unwrap() { found.push(message); }
        }
        prop_assert_eq!(found, all);
    }

    #[test]
    fn random_bytes_yield_only_valid_messages(noise in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(&noise[..]);
        while let Ok(Some((message, _))) = take_frame(&mut buffer) { prop_assert!(is_valid(&message)); }
    }
}

#[test]
fn values_out_of_bounds_are_rejected() {
    let decode_changed = |change: fn(&mut Forward)| {
        let mut f = forward();
        change(&mut f);
        take_frame(&mut BytesMut::from(&encode(&LinkMessage::Forward(f))[..]))
    };
    assert_eq!(decode_changed(|f| f.number = 0), Err(FrameError::Invalid));
    assert_eq!(decode_changed(|f| f.parts.clear()), Err(FrameError::Invalid));
    assert_eq!(decode_changed(|f| f.parts[1].shard = 3), Err(FrameError::Invalid), "duplicate shard");
    assert_eq!(decode_changed(|f| f.parts[0].weight = f64::NAN), Err(FrameError::Invalid));
    assert_eq!(decode_changed(|f| f.parts[0].estimated_work = Some(-1.0)), Err(FrameError::Invalid));
    assert_eq!(
        decode_changed(|f| f.time_left = TimeSpan::from_millis(i64::MAX / 2000)),
        Err(FrameError::Invalid)
    );
    assert_eq!(take_frame(&mut BytesMut::from(&[0u8; 4][..])), Err(FrameError::Length(0)));
    assert!(matches!(take_frame(&mut BytesMut::from(&[255u8; 4][..])), Err(FrameError::Length(_))));
}

#[test]
fn an_idempotency_key_with_list_syntax_is_rejected() {
    let decode_with_key = |key: &str| {
        take_frame(&mut BytesMut::from(&encode(&LinkMessage::ForwardWithKey(forward(), key.into()))[..]))
    };
    assert!(decode_with_key("\"19dd-61b8\"").is_ok());
    let long = "k".repeat(257);
    for key in ["", "a,d=9", "a b", "a\nb", &long] {
        assert_eq!(decode_with_key(key), Err(FrameError::Invalid), "{key}");
    }
}

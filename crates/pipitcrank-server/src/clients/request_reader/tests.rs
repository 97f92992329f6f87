use proptest::prelude::*;

use super::*;

const LONGEST: usize = 1000;

/// However the bytes are cut into reads: the framing, and whether another request may follow.
fn seen(request: &str, cuts: &[usize]) -> (Option<Framing>, bool) {
    let mut heads = HeadTracker::new(LONGEST);
    let mut rest = request.as_bytes();
    for &cut in cuts {
        let (piece, after) = rest.split_at(cut.min(rest.len()));
        heads.push(piece);
        rest = after;
    }
    heads.push(rest);
    (heads.framing(), heads.may_follow())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn framing_is_seen_however_the_bytes_come(cuts in proptest::collection::vec(0usize..40, 0..12)) {
        let head = |lines: &str| format!("\r\nPOST /v HTTP/1.1\r\nHost: x\r\n{lines}\r\n");
        let cases = [
            (head("Content-Length: 4\r\n") + "body", Some(Framing::Length(4)), true),
            (head("Content-Length: 4\r\n") + "bodyPOST", Some(Framing::Length(4)), false),
            (head("content-length:9\r\n") + "body", Some(Framing::Length(9)), false),
            (head("Content-Length: -4\r\n"), Some(Framing::Length(u64::MAX)), false),
            (head("Transfer-Encoding: chunked\r\n") + "0\r\n\r\n", Some(Framing::Chunked), false),
            (head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), Some(Framing::Ambiguous), false),
            (head("tRANSFER-encoding: x\r\nA: b\r\nContent-Length: 5\r\n"), Some(Framing::Ambiguous), false),
            (head("").replace("\r\n", "\n"), Some(Framing::Length(0)), true),
            ("POST /v HTTP/1.1\r\nHost: ".to_string(), None, false),
        ];
        for (request, framing, follows) in cases {
            prop_assert_eq!(seen(&request, &cuts), (framing, follows), "{}", request);
        }
    }
}

#[test]
fn a_head_that_does_not_end_is_not_buffered() {
    let mut heads = HeadTracker::new(LONGEST);
    for _ in 0..1000 {
        heads.push(&[b'x'; 100]);
    }
    assert_eq!((heads.head.len(), heads.framing()), (LONGEST, None));
}

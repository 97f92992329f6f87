use proptest::prelude::*;

use super::*;

const MAX_HEAD_BYTES: usize = 1000;

/// The framing of a request received in pieces of these lengths, and whether another request may follow it.
fn track(request: &str, cuts: &[usize]) -> (Option<Framing>, bool) {
    let mut heads = HeadTracker::new(MAX_HEAD_BYTES);
    let mut rest = request.as_bytes();
    for &cut in cuts {
        let (piece, after) = rest.split_at(cut.min(rest.len()));
        heads.push(piece);
        rest = after;
    }
    heads.push(rest);
    (heads.framing(), heads.allows_next_request())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn framing_does_not_depend_on_read_boundaries(cuts in proptest::collection::vec(0usize..40, 0..12)) {
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
            prop_assert_eq!(track(&request, &cuts), (framing, follows), "{}", request);
        }
    }
}

#[test]
fn an_endless_head_is_stored_neither_in_one_line_nor_in_many() {
    for piece in [&[b'x'; 100][..], b"a:b\r\n"] {
        let mut heads = HeadTracker::new(MAX_HEAD_BYTES);
        for _ in 0..1000 {
            heads.push(piece);
        }
        assert_eq!((heads.head_bytes(), heads.framing()), (MAX_HEAD_BYTES, None));
        assert!(heads.line.text.len() <= MAX_LINE_BYTES && heads.line.text.capacity() <= 2 * MAX_LINE_BYTES);
    }
}

#[test]
fn a_length_that_is_not_stored_whole_is_invalid() {
    let zeros = "0".repeat(MAX_LINE_BYTES);
    let mut heads = HeadTracker::new(MAX_HEAD_BYTES);
    heads.push(format!("POST /v HTTP/1.1\r\nContent-Length: {zeros}5\r\n\r\n").as_bytes());
    assert_eq!(heads.framing(), Some(Framing::Length(u64::MAX)));
}

use proptest::prelude::*;

use super::*;

fn at(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

fn pair() -> (Sealer, Opener) {
    (Sealer::new(derive_key("s"), at(1), 7), Opener::new(derive_key("s"), at(2)))
}

#[test]
fn a_sealed_datagram_is_opened_once_by_its_receiver() {
    let (mut ours, mut theirs) = pair();
    let sent = ours.seal(at(2), DatagramKind::Message, b"hello").unwrap();
    let opened = theirs.open(&sent).unwrap();
    assert_eq!(
        (opened.kind, opened.from, opened.instance, opened.body),
        (DatagramKind::Message, at(1), 7, &b"hello"[..])
    );
    assert_eq!(theirs.open(&sent), Err(DatagramRejection::Replayed));
    let elsewhere = ours.seal(at(3), DatagramKind::Message, b"hello").unwrap();
    assert_eq!(
        theirs.open(&elsewhere),
        Err(DatagramRejection::Forged),
        "the datagram is addressed to another receiver"
    );
    let mut others = Sealer::new(derive_key("t"), at(1), 7);
    assert_eq!(
        theirs.open(&others.seal(at(2), DatagramKind::Message, b"").unwrap()),
        Err(DatagramRejection::Forged)
    );
}

#[test]
fn each_kind_of_invalid_datagram_has_its_reason() {
    let (mut ours, mut theirs) = pair();
    assert_eq!(theirs.open(&[0; 1401]), Err(DatagramRejection::TooLong));
    assert_eq!(theirs.open(b"pm"), Err(DatagramRejection::Truncated));
    let mut other = ours.seal(at(2), DatagramKind::Message, b"x").unwrap();
    other[2] = PROTOCOL_VERSION + 1;
    assert_eq!(theirs.open(&other), Err(DatagramRejection::UnsupportedVersion));
    assert_eq!(ours.seal(at(2), DatagramKind::Message, &[0; MAX_DATAGRAM_BYTES]), None);
}

#[test]
fn a_new_process_is_accepted_and_its_predecessor_no_longer() {
    let (mut old, mut theirs) = pair();
    let (first, late) = (
        old.seal(at(2), DatagramKind::Message, b"1").unwrap(),
        old.seal(at(2), DatagramKind::Message, b"2").unwrap(),
    );
    theirs.open(&first).unwrap();
    // The new process starts after its clock went back.
    let mut new = Sealer::new(derive_key("s"), at(1), 5);
    theirs.open(&new.seal(at(2), DatagramKind::Message, b"").unwrap()).unwrap();
    assert_eq!(theirs.open(&late), Err(DatagramRejection::Replayed));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A datagram with a changed byte, or truncated at any position, is rejected.
    #[test]
    fn no_altered_datagram_is_opened(body in proptest::collection::vec(any::<u8>(), 0..200), at_byte in 0usize..300,
                                 xor in 1u8..=255, cut in any::<bool>()) {
        let (mut ours, mut theirs) = pair();
        let mut sent = ours.seal(at(2), DatagramKind::Gossip, &body).unwrap();
        let position = at_byte % sent.len();
        if cut { sent.truncate(position) } else { sent[position] ^= xor }
        prop_assert!(theirs.open(&sent).is_err());
    }

    /// Compares the filter with a plain set of all numbers: in any order, each number within the window is
    /// accepted once.
    #[test]
    fn each_number_is_accepted_once(order in proptest::collection::vec(0usize..60, 0..200)) {
        let (mut ours, mut theirs) = pair();
        let sent: Vec<_> = (0..60).map(|_| ours.seal(at(2), DatagramKind::Message, b"").unwrap()).collect();
        let mut seen = std::collections::BTreeSet::new();
        for n in order {
            prop_assert_eq!(theirs.open(&sent[n]).is_ok(), seen.insert(n));
        }
    }
}

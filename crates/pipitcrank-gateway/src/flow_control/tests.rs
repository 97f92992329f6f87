use proptest::prelude::*;

use super::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Frames and credit on a path of any length: never more in flight than the credit and one frame, and it never
    /// stalls.
    #[test]
    fn bytes_in_flight_are_bounded_and_all_frames_arrive(
        frames in proptest::collection::vec(1usize..400_000, 1..80), takes in proptest::collection::vec(any::<bool>(), 0..300))
    {
        let (mut send, mut receive) = (SendWindow::new(INITIAL_CREDIT), ReceiveWindow::new());
        let (mut to_send, mut in_flight, mut returned) = (frames.clone(), Vec::new(), Vec::new());
        to_send.reverse();
        let mut takes = takes.into_iter().chain(std::iter::repeat(true));
        let mut got = 0;
        for _ in 0..10_000 {
            if got == frames.len() { break; }
            if send.can_send() && let Some(frame) = to_send.pop() {
                send.consume(frame);
                in_flight.push(frame);
            }
            prop_assert!(in_flight.iter().sum::<usize>() <= INITIAL_CREDIT as usize + 400_000);
            if takes.next() == Some(true) && !in_flight.is_empty() {
                prop_assert!(receive.received(in_flight.remove(0)));
                got += 1;
                returned.extend(receive.credit_to_return());
            }
            for more in returned.drain(..) { prop_assert!(send.replenish(more, INITIAL_CREDIT)); }
        }
        prop_assert_eq!(got, frames.len());
    }
}

#[test]
fn sending_without_credit_and_excess_credit_are_detected() {
    let mut receive = ReceiveWindow::new();
    assert!(receive.received(INITIAL_CREDIT as usize + 5), "one may overdraw");
    assert!(!receive.received(1));
    assert!(!SendWindow::new(INITIAL_CREDIT).replenish(1, INITIAL_CREDIT));
}

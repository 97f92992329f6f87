use proptest::prelude::*;

use super::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// With any order of frames and credit updates, the bytes in flight stay below the credit plus one frame, and all
    /// frames arrive.
    #[test]
    fn bytes_in_flight_are_bounded_and_all_frames_arrive(
        frames in proptest::collection::vec(1usize..400_000, 1..80), deliveries in proptest::collection::vec(any::<bool>(), 0..300))
    {
        let (mut send, mut receive) = (SendWindow::new(INITIAL_CREDIT), ReceiveWindow::new());
        let (mut to_send, mut in_flight, mut returned) = (frames.clone(), Vec::new(), Vec::new());
        to_send.reverse();
        let mut deliveries = deliveries.into_iter().chain(std::iter::repeat(true));
        let mut received_count = 0;
        for _ in 0..10_000 {
            if received_count == frames.len() { break; }
            if send.can_send() && let Some(frame) = to_send.pop() {
                send.consume(frame);
                in_flight.push(frame);
            }
            prop_assert!(in_flight.iter().sum::<usize>() <= INITIAL_CREDIT as usize + 400_000);
            if deliveries.next() == Some(true) && !in_flight.is_empty() {
                prop_assert!(receive.received(in_flight.remove(0)));
                received_count += 1;
                returned.extend(receive.credit_to_return());
            }
            for credit in returned.drain(..) { prop_assert!(send.replenish(credit, INITIAL_CREDIT)); }
        }
        prop_assert_eq!(received_count, frames.len());
    }
}

#[test]
fn sending_without_credit_and_excess_credit_are_detected() {
    let mut receive = ReceiveWindow::new();
    assert!(receive.received(INITIAL_CREDIT as usize + 5), "a frame may exceed the remaining credit");
    assert!(!receive.received(1));
    assert!(!SendWindow::new(INITIAL_CREDIT).replenish(1, INITIAL_CREDIT));
}

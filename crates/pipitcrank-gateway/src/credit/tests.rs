use proptest::prelude::*;

use super::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Frames and credit on a way of any length: never more on it than the credit and one frame, and it never
    /// comes to a standstill.
    #[test]
    fn what_is_on_the_way_is_bounded_and_all_gets_through(
        frames in proptest::collection::vec(1usize..400_000, 1..80), takes in proptest::collection::vec(any::<bool>(), 0..300))
    {
        let (mut spending, mut giving) = (Spending::new(FIRST), Giving::new());
        let (mut to_send, mut way, mut back) = (frames.clone(), Vec::new(), Vec::new());
        to_send.reverse();
        let mut takes = takes.into_iter().chain(std::iter::repeat(true));
        let mut got = 0;
        for _ in 0..10_000 {
            if got == frames.len() { break; }
            if spending.may() && let Some(frame) = to_send.pop() {
                spending.spend(frame);
                way.push(frame);
            }
            prop_assert!(way.iter().sum::<usize>() <= FIRST as usize + 400_000);
            if takes.next() == Some(true) && !way.is_empty() {
                prop_assert!(giving.came(way.remove(0)));
                got += 1;
                back.extend(giving.give());
            }
            for more in back.drain(..) { prop_assert!(spending.get(more, FIRST)); }
        }
        prop_assert_eq!(got, frames.len());
    }
}

#[test]
fn a_peer_that_sends_without_credit_or_gives_what_nobody_spent_is_seen() {
    let mut giving = Giving::new();
    assert!(giving.came(FIRST as usize + 5), "one may overdraw");
    assert!(!giving.came(1));
    assert!(!Spending::new(FIRST).get(1, FIRST));
}

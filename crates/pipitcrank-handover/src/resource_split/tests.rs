use pipitcrank_core::coordinator::RetryBudget;
use pipitcrank_core::time::Timestamp;
use proptest::prelude::*;

use super::*;

#[derive(Clone, Debug)]
enum Step {
    Wait(i64),
    Query,
    PredecessorRetries,
    SuccessorRetries,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1i64..900).prop_map(Step::Wait),
        Just(Step::Query),
        Just(Step::Query),
        Just(Step::PredecessorRetries),
        Just(Step::SuccessorRetries),
        Just(Step::SuccessorRetries),
    ]
}

/// The rule read off the page, for one co-ordinator: all arrivals and all further calls, whoever made them.
fn within_budget(
    free: f64,
    ratio: f64,
    span: TimeSpan,
    now: Timestamp,
    taken: &[Timestamp],
    made: &[Timestamp],
) -> bool {
    let taken = taken.iter().filter(|&&t| now - t < span).count() as f64;
    let made = made.iter().filter(|&&t| now - t <= span).count() as f64;
    made <= free + ratio * taken + 1e-9
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 600, ..ProptestConfig::default() })]

    /// Before the division one process spends as it may; then two do, on their own books alone. At each further
    /// call of either the rule holds for both together.
    #[test]
    fn two_never_spend_more_than_one_might(
        before in proptest::collection::vec(step(), 0..120),
        after in proptest::collection::vec(step(), 0..200),
        free in 0u32..5, ratio in 0.0f64..0.6, span_ms in 500i64..8000, drain_ms in 100i64..12_000,
        skew_us in -5000i64..5000, predecessor_exits_at in 0usize..200,
    ) {
        let (free, span) = (f64::from(free), TimeSpan::from_millis(span_ms));
        let mut single = RetryBudget::new(ratio, free, Some(span));
        let (mut now, mut taken, mut made) = (Timestamp::default(), Vec::new(), Vec::new());
        for step in before {
            match step {
                Step::Wait(ms) => now = now + TimeSpan::from_millis(ms),
                Step::Query => { single.take(now); taken.push(now); }
                Step::PredecessorRetries | Step::SuccessorRetries if single.left(now) >= 1.0 => { single.spend(now); made.push(now); }
                _ => {}
            }
        }
        single.left(now);
        let mut learned = LearnedState::default();
        learned.taken = taken.iter().map(|&t| now - t).filter(|&s| s < span).collect();
        learned.further = made.iter().map(|&t| now - t).filter(|&s| s <= span).collect();
        let delegated = split_retry_budget(free, ratio, span, TimeSpan::from_millis(drain_ms), &mut learned);
        let (mut retries_left, until) = (delegated.count, now + delegated.valid_for);
        // The new one's clock is a little off.
        let skew = TimeSpan::from_secs_f64(skew_us as f64 / 1e6);
        let mut successor = RetryBudget::new(ratio, free, Some(span));
        for (&age, further) in learned.taken.iter().map(|a| (a, false)).chain(learned.further.iter().map(|a| (a, true))) {
            let at = now - age + skew;
            if further { successor.spend(at) } else { successor.take(at) }
        }
        successor.lend(1, delegated.count, until + skew);
        let mut settled = false;
        for (n, step) in after.into_iter().enumerate() {
            if n == predecessor_exits_at && !settled {
                settled = true;
                successor.settle(now + skew, 1, delegated.count - retries_left);
            }
            match step {
                Step::Wait(ms) => now = now + TimeSpan::from_millis(ms),
                Step::Query => { successor.take(now + skew); taken.push(now); }
                Step::PredecessorRetries if !settled && retries_left > 0 && now < until => {
                    retries_left -= 1;
                    made.push(now);
                    prop_assert!(within_budget(free, ratio, span, now, &taken, &made), "the predecessor's retry");
                }
                Step::SuccessorRetries if successor.left(now + skew) >= 1.0 => {
                    successor.spend(now + skew);
                    made.push(now);
                    prop_assert!(within_budget(free, ratio, span, now, &taken, &made), "the successor's retry");
                }
                _ => {}
            }
        }
    }

    #[test]
    fn sockets_are_never_doubled(limit in 0usize..500, open in 0usize..600) {
        let split = split_connections(limit, open);
        prop_assert!(split.predecessor + split.successor == limit && split.predecessor <= open);
    }
}

#[test]
fn without_a_budget_or_room_nothing_is_lent() {
    let mut learned = LearnedState::default();
    assert_eq!(split_retry_budget(0.0, 0.0, TimeSpan::ZERO, TimeSpan::from_millis(5), &mut learned).count, 0);
    learned.further = vec![TimeSpan::ZERO; 3];
    learned.further.clear();
    learned.lent = vec![(3, TimeSpan::from_millis(5))];
    assert_eq!(
        split_retry_budget(3.0, 0.1, TimeSpan::from_millis(900), TimeSpan::from_millis(5), &mut learned)
            .count,
        0,
        "it is out already"
    );
    learned.lent.clear();
    learned.further = vec![TimeSpan::ZERO; 3];
    assert_eq!(
        split_retry_budget(3.0, 0.1, TimeSpan::from_millis(900), TimeSpan::from_millis(5), &mut learned)
            .count,
        0
    );
}

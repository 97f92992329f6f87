use pipitcrank_core::coordinator::{RetryBudget, RetryBudgetConfig};
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

fn budget(free: f64, fraction: f64, window: TimeSpan) -> RetryBudgetConfig {
    RetryBudgetConfig { fraction, free, window }
}

/// Checks the retry budget of a single co-ordinator against the queries and retries of both processes.
fn within_budget(
    free: f64,
    fraction: f64,
    window: TimeSpan,
    now: Timestamp,
    queries: &[Timestamp],
    retries: &[Timestamp],
) -> bool {
    let queries = queries.iter().filter(|&&t| now - t < window).count() as f64;
    let retries = retries.iter().filter(|&&t| now - t <= window).count() as f64;
    retries <= free + fraction * queries + 1e-9
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 600, ..ProptestConfig::default() })]

    /// One process retries within its budget, then two processes after a split, each within its own budget. The budget
    /// must hold for both processes together at each retry.
    #[test]
    fn two_processes_never_retry_more_than_one_could(
        before in proptest::collection::vec(step(), 0..120),
        after in proptest::collection::vec(step(), 0..200),
        free in 0u32..5, fraction in 0.0f64..0.6, window_ms in 500i64..8000, drain_ms in 100i64..12_000,
        skew_us in -5000i64..5000, predecessor_exits_at in 0usize..200,
    ) {
        let (free, window) = (f64::from(free), TimeSpan::from_millis(window_ms));
        let mut single = RetryBudget::new(fraction, free, Some(window));
        let (mut now, mut queries, mut retries) = (Timestamp::default(), Vec::new(), Vec::new());
        for step in before {
            match step {
                Step::Wait(ms) => now = now + TimeSpan::from_millis(ms),
                Step::Query => { single.record_admission(now); queries.push(now); }
                Step::PredecessorRetries | Step::SuccessorRetries if single.remaining(now) >= 1.0 => { single.spend(now); retries.push(now); }
                _ => {}
            }
        }
        single.remaining(now);
        let mut learned = LearnedState::default();
        learned.admitted = queries.iter().map(|&t| now - t).filter(|&s| s < window).collect();
        learned.retries = retries.iter().map(|&t| now - t).filter(|&s| s <= window).collect();
        let delegated = split_retry_budget(budget(free, fraction, window), TimeSpan::from_millis(drain_ms), &mut learned);
        let (mut retries_left, until) = (delegated.count, now + delegated.valid_for);
        // The clocks of the two processes differ by up to 5 ms.
        let skew = TimeSpan::from_secs_f64(skew_us as f64 / 1e6);
        let mut successor = RetryBudget::new(fraction, free, Some(window));
        for (&age, is_retry) in learned.admitted.iter().map(|a| (a, false)).chain(learned.retries.iter().map(|a| (a, true))) {
            let at = now - age + skew;
            if is_retry { successor.spend(at) } else { successor.record_admission(at) }
        }
        successor.delegate(1, delegated.count, until + skew);
        let mut settled = false;
        for (n, step) in after.into_iter().enumerate() {
            if n == predecessor_exits_at && !settled {
                settled = true;
                successor.settle_delegation(now + skew, 1, delegated.count - retries_left);
            }
            match step {
                Step::Wait(ms) => now = now + TimeSpan::from_millis(ms),
                Step::Query => { successor.record_admission(now + skew); queries.push(now); }
                Step::PredecessorRetries if !settled && retries_left > 0 && now < until => {
                    retries_left -= 1;
                    retries.push(now);
                    prop_assert!(within_budget(free, fraction, window, now, &queries, &retries), "a retry of the predecessor exceeds the budget");
                }
                Step::SuccessorRetries if successor.remaining(now + skew) >= 1.0 => {
                    successor.spend(now + skew);
                    retries.push(now);
                    prop_assert!(within_budget(free, fraction, window, now, &queries, &retries), "a retry of the successor exceeds the budget");
                }
                _ => {}
            }
        }
    }

    #[test]
    fn split_connections_stay_within_the_limit(limit in 0usize..500, open in 0usize..600) {
        let split = split_connections(limit, open);
        prop_assert!(split.predecessor + split.successor == limit && split.predecessor <= open);
    }
}

#[test]
fn without_a_budget_or_capacity_no_retries_are_delegated() {
    let mut learned = LearnedState::default();
    assert_eq!(
        split_retry_budget(budget(0.0, 0.0, TimeSpan::ZERO), TimeSpan::from_millis(5), &mut learned).count,
        0
    );
    learned.retries = vec![TimeSpan::ZERO; 3];
    learned.retries.clear();
    learned.delegated_retries = vec![(3, TimeSpan::from_millis(5))];
    assert_eq!(
        split_retry_budget(
            budget(3.0, 0.1, TimeSpan::from_millis(900)),
            TimeSpan::from_millis(5),
            &mut learned
        )
        .count,
        0,
        "all retries are delegated already, but some were delegated again"
    );
    learned.delegated_retries.clear();
    learned.retries = vec![TimeSpan::ZERO; 3];
    assert_eq!(
        split_retry_budget(
            budget(3.0, 0.1, TimeSpan::from_millis(900)),
            TimeSpan::from_millis(5),
            &mut learned
        )
        .count,
        0
    );
}

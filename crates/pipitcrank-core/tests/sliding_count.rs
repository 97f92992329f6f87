//! The sliding count against a plain list of times, and its bounds under a flood.

use pipitcrank_core::coordinator::RetryBudget;
use pipitcrank_core::sliding_count::SlidingCount;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use proptest::prelude::*;

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn span(ms: i64) -> TimeSpan {
    TimeSpan::from_millis(ms)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn counts_are_those_of_a_plain_list(
        steps in proptest::collection::vec((0i64..30, 1usize..4, 0u8..4), 1..80),
        window in 1i64..100,
    ) {
        let (mut count, mut plain, mut now) = (SlidingCount::default(), Vec::<i64>::new(), 0);
        for (pause, events, action) in steps {
            now += pause;
            match action {
                0 => {
                    count.remove_expired(at(now), span(window));
                    plain.retain(|&t| now - t < window);
                }
                1 => {
                    count.remove_newest();
                    plain.pop();
                }
                _ => {
                    count.add(at(now), events);
                    plain.extend(std::iter::repeat_n(now, events));
                }
            }
            prop_assert_eq!(count.total(), plain.len());
            let within = plain.iter().filter(|&&t| now + 10 - t < window).count();
            prop_assert_eq!(count.count_within(at(now + 10), span(window)), within);
            let times: Vec<Timestamp> = plain.iter().map(|&t| at(t)).collect();
            prop_assert_eq!(count.times().collect::<Vec<_>>(), times.clone());
            prop_assert_eq!(SlidingCount::from_times(times), count.clone());
        }
    }
}

/// The cost of a query once grew with the number of queries of the last window.
#[test]
fn a_flood_of_admissions_is_stored_by_tick_not_by_admission() {
    const TICK_MS: i64 = 5;
    const ADMISSIONS_PER_TICK: i64 = 40;
    let mut budget = RetryBudget::new(0.1, 5.0, Some(span(10_000)));
    for tick in 0..4000 {
        (0..ADMISSIONS_PER_TICK).for_each(|_| budget.record_admission(at(tick * TICK_MS)));
    }
    assert!(budget.admission_entries() <= 2001, "{} entries", budget.admission_entries());
    assert_eq!(budget.remaining(at(3999 * TICK_MS)), 5.0 + 0.1 * 2000.0 * ADMISSIONS_PER_TICK as f64);
}

use pipitcrank_core::coordinator::RetryBudget;
use pipitcrank_core::time::Timestamp;
use proptest::prelude::*;

use super::*;

#[derive(Clone, Debug)]
enum Step {
    Wait(i64),
    Taken,
    OldSends,
    NewSends,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1i64..900).prop_map(Step::Wait),
        Just(Step::Taken),
        Just(Step::Taken),
        Just(Step::OldSends),
        Just(Step::NewSends),
        Just(Step::NewSends),
    ]
}

/// The rule read off the page, for one co-ordinator: all arrivals and all further calls, whoever made them.
fn kept(
    free: f64,
    share: f64,
    span: TimeSpan,
    now: Timestamp,
    taken: &[Timestamp],
    made: &[Timestamp],
) -> bool {
    let taken = taken.iter().filter(|&&t| now - t < span).count() as f64;
    let made = made.iter().filter(|&&t| now - t <= span).count() as f64;
    made <= free + share * taken + 1e-9
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 600, ..ProptestConfig::default() })]

    /// Before the division one process spends as it may; then two do, on their own books alone. At each further
    /// call of either the rule holds for both together.
    #[test]
    fn two_never_spend_more_than_one_might(
        before in proptest::collection::vec(step(), 0..120),
        after in proptest::collection::vec(step(), 0..200),
        free in 0u32..5, share in 0.0f64..0.6, span_ms in 500i64..8000, longest_ms in 100i64..12_000,
        skew_us in -5000i64..5000, old_gone_at in 0usize..200,
    ) {
        let (free, span) = (f64::from(free), TimeSpan::from_millis(span_ms));
        let mut one = RetryBudget::new(share, free, Some(span));
        let (mut now, mut taken, mut made) = (Timestamp::default(), Vec::new(), Vec::new());
        for step in before {
            match step {
                Step::Wait(ms) => now = now + TimeSpan::from_millis(ms),
                Step::Taken => { one.record_admission(now); taken.push(now); }
                Step::OldSends | Step::NewSends if one.remaining(now) >= 1.0 => { one.spend(now); made.push(now); }
                _ => {}
            }
        }
        one.remaining(now);
        let mut known = LearnedState::default();
        known.admitted = taken.iter().map(|&t| now - t).filter(|&s| s < span).collect();
        known.retries = made.iter().map(|&t| now - t).filter(|&s| s <= span).collect();
        let purse = divide(free, share, span, TimeSpan::from_millis(longest_ms), &mut known);
        let (mut delegated_retries_left, until) = (purse.further, now + purse.within);
        // The new one's clock is a little off.
        let skew = TimeSpan::from_secs_f64(skew_us as f64 / 1e6);
        let mut new = RetryBudget::new(share, free, Some(span));
        for (&age, further) in known.admitted.iter().map(|a| (a, false)).chain(known.retries.iter().map(|a| (a, true))) {
            let at = now - age + skew;
            if further { new.spend(at) } else { new.record_admission(at) }
        }
        new.delegate(1, purse.further, until + skew);
        let mut settled = false;
        for (n, step) in after.into_iter().enumerate() {
            if n == old_gone_at && !settled {
                settled = true;
                new.settle_delegation(now + skew, 1, purse.further - delegated_retries_left);
            }
            match step {
                Step::Wait(ms) => now = now + TimeSpan::from_millis(ms),
                Step::Taken => { new.record_admission(now + skew); taken.push(now); }
                Step::OldSends if !settled && delegated_retries_left > 0 && now < until => {
                    delegated_retries_left -= 1;
                    made.push(now);
                    prop_assert!(kept(free, share, span, now, &taken, &made), "the old one's call");
                }
                Step::NewSends if new.remaining(now + skew) >= 1.0 => {
                    new.spend(now + skew);
                    made.push(now);
                    prop_assert!(kept(free, share, span, now, &taken, &made), "the new one's call");
                }
                _ => {}
            }
        }
    }

    #[test]
    fn sockets_are_never_doubled(most in 0usize..500, open in 0usize..600) {
        let (old, new) = sockets(most, open);
        prop_assert!(old + new == most && old <= open);
    }
}

#[test]
fn without_a_budget_or_room_nothing_is_lent() {
    let mut known = LearnedState::default();
    assert_eq!(divide(0.0, 0.0, TimeSpan::ZERO, TimeSpan::from_millis(5), &mut known).further, 0);
    known.retries = vec![TimeSpan::ZERO; 3];
    known.retries.clear();
    known.delegated_retries = vec![(3, TimeSpan::from_millis(5))];
    assert_eq!(
        divide(3.0, 0.1, TimeSpan::from_millis(900), TimeSpan::from_millis(5), &mut known).further,
        0,
        "it is out already"
    );
    known.delegated_retries.clear();
    known.retries = vec![TimeSpan::ZERO; 3];
    assert_eq!(divide(3.0, 0.1, TimeSpan::from_millis(900), TimeSpan::from_millis(5), &mut known).further, 0);
}

use proptest::prelude::*;

use super::*;

const MS: TimeSpan = TimeSpan::from_millis(1);

fn open_site() -> (SiteHealth, Timestamp) {
    let (mut site, now) = (SiteHealth::new(TimeSpan::from_millis(20)), Timestamp::from_micros(1_000_000));
    assert_eq!(site.delay(now), None, "closed without a connection");
    site.link_up(now);
    assert_eq!(site.delay(now), None, "closed without a measured round trip");
    (0..40).for_each(|_| site.round_trip_measured(now, TimeSpan::from_millis(10)));
    assert!(
        site.delay(now)
            .is_some_and(|delay| delay >= TimeSpan::from_millis(30) && delay < TimeSpan::from_millis(32))
    );
    (site, now)
}

fn fail_forward(site: &mut SiteHealth, now: Timestamp) {
    let id = site.forward_sent(now);
    site.forward_ended(now, id, ForwardResult::Failed);
}

#[test]
fn a_failing_site_is_ejected_longer_each_time_and_returns_by_trials() {
    let (mut site, mut now) = open_site();
    fail_forward(&mut site, now);
    fail_forward(&mut site, now);
    assert!(site.delay(now).is_some(), "two failures do not eject the site");
    fail_forward(&mut site, now);
    assert_eq!(site.delay(now), None);
    for wait in [500, 1000, 2000, 4000, 8000, 8000] {
        now = now + TimeSpan::from_millis(wait) - MS;
        site.message_received(now);
        assert_eq!(site.delay(now), None, "ejected for {wait} ms");
        now = now + MS;
        assert!(site.delay(now).is_some(), "a trial is permitted after {wait} ms");
        let id = site.forward_sent(now);
        assert_eq!(site.delay(now), None, "one trial at a time");
        site.forward_ended(now, id, ForwardResult::Failed);
    }
    now = now + TimeSpan::from_millis(8000);
    for _ in 0..TRIALS_TO_RETURN {
        site.message_received(now);
        assert!(site.delay(now).is_some());
        let id = site.forward_sent(now);
        assert_eq!(site.delay(now), None);
        site.forward_ended(now, id, ForwardResult::Answered);
    }
    let (_a, _b) = (site.forward_sent(now), site.forward_sent(now));
    assert!(site.delay(now).is_some(), "several forwards are permitted after the trials");
}

#[test]
fn overload_rejection_closes_the_site_without_counting_as_failure() {
    let (mut site, now) = open_site();
    for _ in 0..9 {
        let id = site.forward_sent(now);
        site.forward_ended(now, id, ForwardResult::Rejected(TimeSpan::from_millis(300)));
    }
    assert_eq!(site.delay(now + TimeSpan::from_millis(100)), None);
    site.message_received(now + TimeSpan::from_millis(300));
    assert!(site.delay(now + TimeSpan::from_millis(300)).is_some(), "a rejection does not lead to trials");
    let id = site.forward_sent(now);
    site.forward_ended(now, id, ForwardResult::Rejected(TimeSpan::from_millis(1_000_000)));
    site.message_received(now + MAX_RETRY_AFTER);
    assert!(site.delay(now + MAX_RETRY_AFTER).is_some(), "retry-after is limited to {MAX_RETRY_AFTER:?}");
}

#[test]
fn silence_closes_the_site_and_a_message_reopens_it() {
    let (mut site, now) = open_site();
    let late = now + TimeSpan::from_millis(300);
    assert_eq!(site.delay(late), None);
    site.message_received(late);
    assert!(site.delay(late).is_some());
    site.link_down();
    assert_eq!(site.delay(late), None);
}

#[test]
fn stalled_site_is_closed_until_it_answers_a_forward() {
    let (mut site, now) = open_site();
    let id = site.forward_sent(now);
    let (early, late) = (now + TimeSpan::from_millis(250), now + TimeSpan::from_millis(400));
    site.message_received(early);
    assert!(site.delay(early).is_some());
    site.message_received(late);
    assert_eq!(site.delay(late), None);
    site.part_answered(late);
    assert!(site.delay(late).is_some());
    site.forward_ended(late, id, ForwardResult::Answered);
}

#[test]
fn a_link_that_becomes_slow_costs_more_within_a_few_heartbeats() {
    let (mut site, now) = open_site();
    (0..5).for_each(|_| site.round_trip_measured(now, TimeSpan::from_millis(400)));
    assert!(
        site.round_trip_bound().is_some_and(|t| t >= TimeSpan::from_millis(400)),
        "{:?}",
        site.round_trip_bound()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// After any sequence of events a site opens again if its connection is up and its forwards have ended. It is never open
    /// without a connection.
    #[test]
    fn no_site_stays_closed_for_good(steps in proptest::collection::vec((0u8..8, 1i64..2000), 0..200)) {
        let (mut site, mut now) = open_site();
        let mut outstanding = Vec::new();
        for (kind, ms) in steps {
            match kind {
                0 => now = now + TimeSpan::from_millis(ms),
                1 => { if site.delay(now).is_some() { outstanding.push(site.forward_sent(now)); } }
                2 | 3 => if let Some(id) = outstanding.pop() { site.forward_ended(now, id, ForwardResult::Failed) },
                4 => if let Some(id) = outstanding.pop() { site.forward_ended(now, id, ForwardResult::Answered) },
                5 => if let Some(id) = outstanding.pop() { site.forward_ended(now, id, ForwardResult::Rejected(TimeSpan::from_millis(ms))) },
                6 => { site.link_down(); prop_assert!(site.delay(now).is_none()); site.link_up(now); }
                _ => site.round_trip_measured(now, TimeSpan::from_millis(ms % 200)),
            }
            prop_assert!(site.outstanding() == outstanding.len());
        }
        outstanding.into_iter().for_each(|id| site.forward_ended(now, id, ForwardResult::Neutral));
        now = now + MAX_EJECTION_TIME + MAX_RETRY_AFTER;
        site.round_trip_measured(now, TimeSpan::from_millis(10));
        prop_assert!(site.delay(now).is_some());
    }
}

use proptest::prelude::*;

use super::*;

const MS: TimeSpan = TimeSpan::from_millis(1);

fn open() -> (SiteHealth, Timestamp) {
    let (mut site, now) = (SiteHealth::new(TimeSpan::from_millis(20)), Timestamp::from_micros(1_000_000));
    assert_eq!(site.delay(now), None, "no link");
    site.link_up(now);
    assert_eq!(site.delay(now), None, "no round trip known");
    (0..40).for_each(|_| site.round_trip_measured(now, TimeSpan::from_millis(10)));
    assert!(site.delay(now).is_some_and(|h| h >= TimeSpan::from_millis(30) && h < TimeSpan::from_millis(32)));
    (site, now)
}

fn fail(site: &mut SiteHealth, now: Timestamp) {
    let id = site.forward_sent(now);
    site.forward_ended(now, id, ForwardResult::Failed);
}

#[test]
fn a_failing_site_is_ejected_longer_each_time_and_returns_by_trials() {
    let (mut site, mut now) = open();
    fail(&mut site, now);
    fail(&mut site, now);
    assert!(site.delay(now).is_some(), "two may be chance");
    fail(&mut site, now);
    assert_eq!(site.delay(now), None);
    for wait in [500, 1000, 2000, 4000, 8000, 8000] {
        now = now + TimeSpan::from_millis(wait) - MS;
        site.message_received(now);
        assert_eq!(site.delay(now), None, "ejected for {wait} ms");
        now = now + MS;
        assert!(site.delay(now).is_some(), "on trial");
        let id = site.forward_sent(now);
        assert_eq!(site.delay(now), None, "one at a time");
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
    assert!(site.delay(now).is_some(), "healthy again");
}

#[test]
fn a_rejection_for_overload_is_respected_and_no_failure() {
    let (mut site, now) = open();
    for _ in 0..9 {
        let id = site.forward_sent(now);
        site.forward_ended(now, id, ForwardResult::Rejected(TimeSpan::from_millis(300)));
    }
    assert_eq!(site.delay(now + TimeSpan::from_millis(100)), None);
    site.message_received(now + TimeSpan::from_millis(300));
    assert!(site.delay(now + TimeSpan::from_millis(300)).is_some(), "no trial is needed");
    let id = site.forward_sent(now);
    site.forward_ended(now, id, ForwardResult::Rejected(TimeSpan::from_millis(1_000_000)));
    site.message_received(now + MAX_RETRY_AFTER);
    assert!(site.delay(now + MAX_RETRY_AFTER).is_some(), "not for as long as it likes");
}

#[test]
fn a_silent_link_closes_the_site_within_some_heartbeats_and_a_message_opens_it() {
    let (mut site, now) = open();
    let late = now + TimeSpan::from_millis(300);
    assert_eq!(site.delay(late), None);
    site.message_received(late);
    assert!(site.delay(late).is_some());
    site.link_down();
    assert_eq!(site.delay(late), None);
}

#[test]
fn a_site_that_answers_pings_and_no_forward_is_closed_until_it_does() {
    let (mut site, now) = open();
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
    let (mut site, now) = open();
    (0..5).for_each(|_| site.round_trip_measured(now, TimeSpan::from_millis(400)));
    assert!(
        site.round_trip_bound().is_some_and(|t| t >= TimeSpan::from_millis(400)),
        "{:?}",
        site.round_trip_bound()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happened: a site is never closed for good while its link lives and its forwards end, and never open
    /// without a link.
    #[test]
    fn no_site_stays_closed_for_good(steps in proptest::collection::vec((0u8..8, 1i64..2000), 0..200)) {
        let (mut site, mut now) = open();
        let mut out = Vec::new();
        for (kind, ms) in steps {
            match kind {
                0 => now = now + TimeSpan::from_millis(ms),
                1 => { if site.delay(now).is_some() { out.push(site.forward_sent(now)); } }
                2 | 3 => if let Some(id) = out.pop() { site.forward_ended(now, id, ForwardResult::Failed) },
                4 => if let Some(id) = out.pop() { site.forward_ended(now, id, ForwardResult::Answered) },
                5 => if let Some(id) = out.pop() { site.forward_ended(now, id, ForwardResult::Rejected(TimeSpan::from_millis(ms))) },
                6 => { site.link_down(); prop_assert!(site.delay(now).is_none()); site.link_up(now); }
                _ => site.round_trip_measured(now, TimeSpan::from_millis(ms % 200)),
            }
            prop_assert!(site.outstanding() == out.len());
        }
        out.into_iter().for_each(|id| site.forward_ended(now, id, ForwardResult::Neutral));
        now = now + MAX_EJECTION_TIME + MAX_RETRY_AFTER;
        site.round_trip_measured(now, TimeSpan::from_millis(10));
        prop_assert!(site.delay(now).is_some());
    }
}

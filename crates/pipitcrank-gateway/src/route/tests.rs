use proptest::prelude::*;

use super::*;

const MS: TimeSpan = TimeSpan::from_millis(1);

fn open() -> (Route, Timestamp) {
    let (mut route, now) = (Route::new(TimeSpan::from_millis(20)), Timestamp::from_micros(1_000_000));
    assert_eq!(route.hop(now), None, "no link");
    route.linked(now);
    assert_eq!(route.hop(now), None, "no round trip known");
    (0..40).for_each(|_| route.tripped(now, TimeSpan::from_millis(10)));
    assert!(route.hop(now).is_some_and(|h| h >= TimeSpan::from_millis(30) && h < TimeSpan::from_millis(32)));
    (route, now)
}

fn fail(route: &mut Route, now: Timestamp) {
    let mark = route.sent(now);
    route.ended(now, mark, Ended::Failed);
}

#[test]
fn a_site_that_fails_is_held_out_longer_each_time_and_comes_back_by_small_trials() {
    let (mut route, mut now) = open();
    fail(&mut route, now);
    fail(&mut route, now);
    assert!(route.hop(now).is_some(), "two may be chance");
    fail(&mut route, now);
    assert_eq!(route.hop(now), None);
    for wait in [500, 1000, 2000, 4000, 8000, 8000] {
        now = now + TimeSpan::from_millis(wait) - MS;
        route.heard(now);
        assert_eq!(route.hop(now), None, "held out for {wait} ms");
        now = now + MS;
        assert!(route.hop(now).is_some(), "on trial");
        let mark = route.sent(now);
        assert_eq!(route.hop(now), None, "one at a time");
        route.ended(now, mark, Ended::Failed);
    }
    now = now + TimeSpan::from_millis(8000);
    for _ in 0..GOOD {
        route.heard(now);
        assert!(route.hop(now).is_some());
        let mark = route.sent(now);
        assert_eq!(route.hop(now), None);
        route.ended(now, mark, Ended::Answered);
    }
    let (_a, _b) = (route.sent(now), route.sent(now));
    assert!(route.hop(now).is_some(), "trusted again");
}

#[test]
fn overload_is_respected_and_no_mark_against_the_site() {
    let (mut route, now) = open();
    for _ in 0..9 {
        let mark = route.sent(now);
        route.ended(now, mark, Ended::Rejected(TimeSpan::from_millis(300)));
    }
    assert_eq!(route.hop(now + TimeSpan::from_millis(100)), None);
    route.heard(now + TimeSpan::from_millis(300));
    assert!(route.hop(now + TimeSpan::from_millis(300)).is_some(), "no trial is needed");
    let mark = route.sent(now);
    route.ended(now, mark, Ended::Rejected(TimeSpan::from_millis(1_000_000)));
    route.heard(now + AWAY_MOST);
    assert!(route.hop(now + AWAY_MOST).is_some(), "not for as long as it likes");
}

#[test]
fn a_silent_link_closes_it_within_some_heartbeats_and_a_word_opens_it() {
    let (mut route, now) = open();
    let late = now + TimeSpan::from_millis(300);
    assert_eq!(route.hop(late), None);
    route.heard(late);
    assert!(route.hop(late).is_some());
    route.unlinked();
    assert_eq!(route.hop(late), None);
}

#[test]
fn one_that_pings_and_answers_nothing_is_closed_until_it_does() {
    let (mut route, now) = open();
    let mark = route.sent(now);
    let (early, late) = (now + TimeSpan::from_millis(250), now + TimeSpan::from_millis(400));
    route.heard(early);
    assert!(route.hop(early).is_some());
    route.heard(late);
    assert_eq!(route.hop(late), None);
    route.part(late);
    assert!(route.hop(late).is_some());
    route.ended(late, mark, Ended::Answered);
}

#[test]
fn a_way_that_turns_slow_costs_more_within_a_few_heartbeats() {
    let (mut route, now) = open();
    (0..5).for_each(|_| route.tripped(now, TimeSpan::from_millis(400)));
    assert!(route.trip().is_some_and(|t| t >= TimeSpan::from_millis(400)), "{:?}", route.trip());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happened: a site is never closed for good while its link lives and its forwards end, and never open
    /// without a link.
    #[test]
    fn trust_always_returns(steps in proptest::collection::vec((0u8..8, 1i64..2000), 0..200)) {
        let (mut route, mut now) = open();
        let mut out = Vec::new();
        for (kind, ms) in steps {
            match kind {
                0 => now = now + TimeSpan::from_millis(ms),
                1 => { if route.hop(now).is_some() { out.push(route.sent(now)); } }
                2 | 3 => if let Some(mark) = out.pop() { route.ended(now, mark, Ended::Failed) },
                4 => if let Some(mark) = out.pop() { route.ended(now, mark, Ended::Answered) },
                5 => if let Some(mark) = out.pop() { route.ended(now, mark, Ended::Rejected(TimeSpan::from_millis(ms))) },
                6 => { route.unlinked(); prop_assert!(route.hop(now).is_none()); route.linked(now); }
                _ => route.tripped(now, TimeSpan::from_millis(ms % 200)),
            }
            prop_assert!(route.out() == out.len());
        }
        out.into_iter().for_each(|mark| route.ended(now, mark, Ended::Neither));
        now = now + HELD_OUT_MOST + AWAY_MOST;
        route.tripped(now, TimeSpan::from_millis(10));
        prop_assert!(route.hop(now).is_some());
    }
}

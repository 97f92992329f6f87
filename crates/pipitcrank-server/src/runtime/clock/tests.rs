use proptest::prelude::*;

use super::*;

const HOUR_US: i64 = 3_600_000_000;
const UNIX_US: i64 = 1_700_000_000_000_000;

/// Places a start while the wall clock shows what it showed last.
fn place(wall: &mut WallClock, now: Timestamp, unix_ms: i64) -> Timestamp {
    let offset = *wall.offsets.last().unwrap();
    wall.start_time(unix_ms, || WallSample { now, offset })
}

fn at(s: f64) -> Timestamp {
    Timestamp::from_secs_f64(s)
}

/// Unix milliseconds that a clock stepped by so much shows then.
fn shown(step_us: i64, then: Timestamp) -> i64 {
    (UNIX_US + step_us + then.as_micros()) / 1000
}

#[test]
fn a_start_given_by_a_stepped_clock_is_placed_where_it_was() {
    for step in [-HOUR_US, -2_000_000, 2_000_000, HOUR_US] {
        let mut wall = WallClock::new(UNIX_US);
        wall.record_offset(UNIX_US + step);
        assert_eq!(
            place(&mut wall, at(10.2), shown(step, at(10.0))),
            at(10.0),
            "told by the new time, {step}"
        );
    }
}

#[test]
fn a_start_given_before_a_clock_step_keeps_its_place() {
    for step in [-HOUR_US, -2_000_000, 2_000_000, HOUR_US] {
        let mut wall = WallClock::new(UNIX_US);
        let told = shown(0, at(10.0));
        assert_eq!(place(&mut wall, at(10.2), told), at(10.0));
        wall.record_offset(UNIX_US + step);
        assert_eq!(place(&mut wall, at(7300.0), told), at(10.0), "{step}");
    }
}

#[test]
fn a_start_in_the_future_is_now_and_a_slow_drift_is_no_step() {
    let mut wall = WallClock::new(UNIX_US);
    assert_eq!(place(&mut wall, at(5.0), shown(HOUR_US, at(5.0))), at(5.0));
    for n in 1..=200 {
        wall.record_offset(UNIX_US + n * 50_000);
    }
    assert_eq!(wall.offsets, [UNIX_US + 200 * 50_000]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever steps came: a start told by the clock as it stands, or as it stood, is never held to be longer ago than it is.
    #[test]
    fn no_step_shortens_a_slow_start(
        steps in proptest::collection::vec(-2 * HOUR_US..2 * HOUR_US, 0..10),
        by in 0usize..10,
        age in 0.0f64..30.0,
    ) {
        let mut wall = WallClock::new(UNIX_US);
        steps.iter().for_each(|step| wall.record_offset(UNIX_US + step));
        let step = steps.get(by).copied().unwrap_or(steps.last().copied().unwrap_or(0));
        let (now, started) = (at(9000.0), at(9000.0 - age));
        let placed = place(&mut wall, now, shown(step, started));
        prop_assert!(placed <= now);
        prop_assert!(placed >= started - TimeSpan::from_millis(1 + STEP_US / 1000), "{placed:?} {started:?}");
    }
}

use proptest::prelude::*;

use super::*;

const HOUR_US: i64 = 3_600_000_000;
const UNIX_US: i64 = 1_700_000_000_000_000;

/// Converts a start time while the wall clock has its newest offset.
fn convert(wall: &mut WallClock, now: Timestamp, unix_ms: i64) -> Timestamp {
    let offset = *wall.offsets.last().unwrap();
    wall.start_time(unix_ms, || WallSample { now, offset })
}

fn at(s: f64) -> Timestamp {
    Timestamp::from_secs_f64(s)
}

/// Unix milliseconds that a wall clock stepped by `step_us` shows at `then`.
fn shown_unix_ms(step_us: i64, then: Timestamp) -> i64 {
    (UNIX_US + step_us + then.as_micros()) / 1000
}

#[test]
fn a_start_reported_after_a_clock_step_is_converted_exactly() {
    for step in [-HOUR_US, -2_000_000, 2_000_000, HOUR_US] {
        let mut wall = WallClock::new(UNIX_US);
        wall.record_offset(UNIX_US + step);
        assert_eq!(
            convert(&mut wall, at(10.2), shown_unix_ms(step, at(10.0))),
            at(10.0),
            "reported by the stepped clock, {step}"
        );
    }
}

#[test]
fn a_start_reported_before_a_clock_step_keeps_its_time() {
    for step in [-HOUR_US, -2_000_000, 2_000_000, HOUR_US] {
        let mut wall = WallClock::new(UNIX_US);
        let reported = shown_unix_ms(0, at(10.0));
        assert_eq!(convert(&mut wall, at(10.2), reported), at(10.0));
        wall.record_offset(UNIX_US + step);
        assert_eq!(convert(&mut wall, at(7300.0), reported), at(10.0), "{step}");
    }
}

#[test]
fn a_future_start_is_now_and_slow_drift_is_no_step() {
    let mut wall = WallClock::new(UNIX_US);
    assert_eq!(convert(&mut wall, at(5.0), shown_unix_ms(HOUR_US, at(5.0))), at(5.0));
    for n in 1..=200 {
        wall.record_offset(UNIX_US + n * 50_000);
    }
    assert_eq!(wall.offsets, [UNIX_US + 200 * 50_000]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A start time reported by the current or an earlier wall clock is never converted to an earlier time than the real one.
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
        let converted = convert(&mut wall, now, shown_unix_ms(step, started));
        prop_assert!(converted <= now);
        prop_assert!(converted >= started - TimeSpan::from_millis(1 + STEP_US / 1000), "{converted:?} {started:?}");
    }
}

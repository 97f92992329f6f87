use proptest::prelude::*;

use super::*;

#[test]
fn times_at_the_longest_grace_period() {
    for longest in [3.0, 7.5, 86_400.0] {
        let ShutdownSchedule { admit_until, idle, last_answer, .. } =
            ShutdownSchedule::of(TimeSpan::from_secs_f64(longest));
        let ms = |span: TimeSpan| (span.as_secs_f64() * 1e3).round();
        assert_eq!((ms(admit_until), ms(idle), ms(last_answer)), (1500.0, 500.0, 3300.0));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn times_are_ordered_and_end_before_the_kill(longest in 0.0f64..100_000.0) {
        let ShutdownSchedule { admit_until, idle, last_answer, accept_queue_until } =
            ShutdownSchedule::of(TimeSpan::from_secs_f64(longest));
        let kill = longest.min(3.0) + 0.7;
        prop_assert!(admit_until.as_secs_f64() > 0.4, "new connections of the first 0.4 s are accepted");
        prop_assert!(idle.as_secs_f64() > 0.09, "a request in transit arrives within the idle timeout");
        prop_assert!(admit_until + idle < last_answer, "the last new connections can be idle before the last answer");
        prop_assert!(last_answer.as_secs_f64() <= kill * 0.9, "time is left to write and read the last answer");
        prop_assert!(last_answer < accept_queue_until && accept_queue_until.as_secs_f64() < kill, "between the last answer and the kill");
    }
}

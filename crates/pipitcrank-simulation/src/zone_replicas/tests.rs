use super::*;

const STEP: TimeSpan = TimeSpan::from_millis(100);

fn run(replicas: &mut ZoneReplicas, from: i64, steps: i64, parts: f64) -> StepOutcome {
    let mut sum = StepOutcome::default();
    for n in 0..steps {
        let step = replicas.step(Timestamp::from_micros((from + n) * 100_000), parts, STEP);
        sum.in_time += step.in_time;
        sum.late += step.late;
        sum.rejected += step.rejected;
        sum.unanswered += step.unanswered;
    }
    sum
}

#[test]
fn load_within_capacity_is_in_time_and_beyond_it_fills_the_queue() {
    let mut replicas = ZoneReplicas::new(10, 100.0);
    let calm = run(&mut replicas, 0, 50, 90.0);
    assert!(calm.in_time > 4499.0 && calm.late == 0.0);
    let overload = run(&mut replicas, 50, 100, 150.0);
    assert!(overload.late > 0.0 && overload.rejected > 0.0, "{overload:?}");
    replicas.fail();
    assert_eq!(run(&mut replicas, 150, 10, 90.0).unanswered, 900.0);
}

#[test]
fn warming_replicas_answer_less_and_count_the_excess() {
    let mut replicas = ZoneReplicas::new(10, 100.0);
    replicas.restart(Timestamp::default());
    run(&mut replicas, 0, 20, 100.0);
    assert_eq!(replicas.slow_start_excess, 0.0);
    run(&mut replicas, 20, 20, 500.0);
    assert!(replicas.slow_start_excess > 0.0);
}

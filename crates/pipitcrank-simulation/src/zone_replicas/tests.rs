use super::*;

const STEP: TimeSpan = TimeSpan::from_millis(100);

/// Runs consecutive steps with `parts` arriving in each; returns the sums of the outcomes.
fn run(replicas: &mut ZoneReplicas, first_step: i64, steps: i64, parts: f64) -> StepOutcome {
    let mut sum = StepOutcome::default();
    for n in 0..steps {
        let step = replicas.step(Timestamp::from_micros((first_step + n) * 100_000), parts, STEP);
        sum.in_time += step.in_time;
        sum.late += step.late;
        sum.rejected += step.rejected;
        sum.unanswered += step.unanswered;
    }
    sum
}

#[test]
fn overload_fills_queue_and_rejects_parts() {
    let mut replicas = ZoneReplicas::new(10, 100.0);
    let normal = run(&mut replicas, 0, 50, 90.0);
    assert!(normal.in_time > 4499.0 && normal.late == 0.0);
    let overload = run(&mut replicas, 50, 100, 150.0);
    assert!(overload.late > 0.0 && overload.rejected > 0.0, "{overload:?}");
    replicas.fail();
    assert_eq!(run(&mut replicas, 150, 10, 90.0).unanswered, 900.0);
}

#[test]
fn warming_replicas_count_parts_beyond_slow_start_allowance() {
    let mut replicas = ZoneReplicas::new(10, 100.0);
    replicas.restart(Timestamp::default());
    run(&mut replicas, 0, 20, 100.0);
    assert_eq!(replicas.slow_start_excess, 0.0);
    run(&mut replicas, 20, 20, 500.0);
    assert!(replicas.slow_start_excess > 0.0);
}

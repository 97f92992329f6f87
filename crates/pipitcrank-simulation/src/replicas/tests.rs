use super::*;

const STEP: TimeSpan = TimeSpan::from_millis(100);

fn run(replicas: &mut Replicas, from: i64, steps: i64, parts: f64) -> Step {
    let mut sum = Step::default();
    for n in 0..steps {
        let step = replicas.step(Timestamp::from_micros((from + n) * 100_000), parts, STEP);
        sum.in_time += step.in_time;
        sum.late += step.late;
        sum.turned_away += step.turned_away;
        sum.unanswered += step.unanswered;
    }
    sum
}

#[test]
fn under_capacity_all_is_in_time_and_over_it_the_queue_fills() {
    let mut replicas = Replicas::new(10, 100.0);
    let calm = run(&mut replicas, 0, 50, 90.0);
    assert!(calm.in_time > 4499.0 && calm.late == 0.0);
    let jam = run(&mut replicas, 50, 100, 150.0);
    assert!(jam.late > 0.0 && jam.turned_away > 0.0, "{jam:?}");
    replicas.lose();
    assert_eq!(run(&mut replicas, 150, 10, 90.0).unanswered, 900.0);
}

#[test]
fn cold_replicas_carry_less_and_say_when_they_are_pushed_over() {
    let mut replicas = Replicas::new(10, 100.0);
    replicas.start(Timestamp::default());
    run(&mut replicas, 0, 20, 100.0);
    assert_eq!(replicas.pushed_over, 0.0);
    run(&mut replicas, 20, 20, 500.0);
    assert!(replicas.pushed_over > 0.0);
}

//! Checks the stored form of the learned state against bytes written by an earlier version.

use super::*;

#[path = "../../../../../fixtures/mod.rs"]
mod fixtures;

fn learned_state() -> LearnedState {
    LearnedState {
        classes: vec![
            LearnedClassState {
                name: "view".into(),
                part_work: Some(0.25),
                typical_hint_ln: Some(-1.5),
                abandonment_rate: 0.125,
                abandonment_age: TimeSpan::from_millis(700),
            },
            LearnedClassState::default(),
        ],
        replicas: vec![
            (
                3,
                LearnedReplicaState {
                    started: Some(TimeSpan::from_millis(70)),
                    fault_rate: 0.5,
                    lag: (0.75, TimeSpan::from_millis(11)),
                    ejected_for: Some(TimeSpan::from_millis(400)),
                    slow_start_sends: vec![(TimeSpan::from_millis(12), 0.0625)],
                },
            ),
            (9, LearnedReplicaState::default()),
        ],
        admitted: vec![TimeSpan::from_millis(31), TimeSpan::from_millis(30)],
        retries: vec![TimeSpan::from_millis(29)],
        delegated_retries: vec![(4, TimeSpan::from_millis(28))],
        overdue_time_per_work: Some(3.5),
        seconds_per_work: Some(1.75),
        target_utilization: 0.375,
        throughput: (17.5, TimeSpan::from_millis(13)),
        lag: (0.875, TimeSpan::from_millis(14)),
    }
}

#[test]
fn learned_state_of_an_earlier_version_is_read_and_written_alike() {
    assert!(learned_state().is_valid());
    fixtures::check(
        "learned_state.hex",
        &[("learned_state", learned_state())],
        |value| postcard::to_allocvec(value).unwrap(),
        |bytes| postcard::from_bytes(bytes).unwrap(),
    );
}

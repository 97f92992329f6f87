//! The stored form of the learned state, against bytes of an earlier version.

use super::*;

#[path = "../../../../../fixtures/mod.rs"]
mod fixtures;

fn known() -> LearnedState {
    LearnedState {
        classes: vec![
            LearnedClassState {
                name: "view".into(),
                work: Some(0.25),
                hint: Some(-1.5),
                leaving: 0.125,
                stay: TimeSpan::from_millis(700),
            },
            LearnedClassState::default(),
        ],
        replicas: vec![
            (
                3,
                LearnedReplicaState {
                    started: Some(TimeSpan::from_millis(70)),
                    faults: 0.5,
                    lag: (0.75, TimeSpan::from_millis(11)),
                    trial_in: Some(TimeSpan::from_millis(400)),
                    slow_start_sends: vec![(TimeSpan::from_millis(12), 0.0625)],
                },
            ),
            (9, LearnedReplicaState::default()),
        ],
        admitted: vec![TimeSpan::from_millis(31), TimeSpan::from_millis(30)],
        retries: vec![TimeSpan::from_millis(29)],
        delegated_retries: vec![(4, TimeSpan::from_millis(28))],
        overdue: Some(3.5),
        rate: Some(1.75),
        fill: 0.375,
        carried: (17.5, TimeSpan::from_millis(13)),
        lag: (0.875, TimeSpan::from_millis(14)),
    }
}

#[test]
fn learned_state_of_an_earlier_version_is_read_and_written_alike() {
    assert!(known().sound());
    fixtures::check(
        "learned_state.hex",
        &[("learned_state", known())],
        |value| postcard::to_allocvec(value).unwrap(),
        |bytes| postcard::from_bytes(bytes).unwrap(),
    );
}

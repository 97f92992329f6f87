//! Handover of what is known from one exchange to another.

use pipitcrank_core::ids::{AttemptOutcome, ReplicaId};
use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::snapshot::Snapshot;
use pipitcrank_server::exchange::Endpoint;

use crate::harness::{Harness, at, listed};

/// What is known goes from one exchange to another, as it passes between processes.
fn successor_of(harness: &mut Harness, ms: i64, longest: TimeSpan) -> Harness {
    let snapshot = harness.exchange.begin_handover(at(ms), 0, Some(9), longest);
    let bytes = snapshot.encode().unwrap();
    let mut new = Harness::new();
    // The new one's clock began half a second ago.
    new.exchange.resume_from_predecessor(
        at(500),
        TimeSpan::from_millis(100),
        Snapshot::decode(&bytes).unwrap(),
    );
    new
}

#[test]
fn a_drain_listed_just_before_a_handover_reaches_the_successor() {
    let mut harness = Harness::new();
    harness.exchange.update_endpoints(at(900), false, vec![listed(1, false)]);
    // Not looked at yet when it hands over.
    let mut new = successor_of(&mut harness, 1000, TimeSpan::from_millis(4000));
    for n in 0..9 {
        new.ask(&format!("q{n}"), 0, 0..1, 4000);
    }
    new.turn(510);
    let drained: Vec<ReplicaId> =
        new.transport.met.iter().filter(|(_, a)| a.port() == 5001).map(|(l, _)| *l).collect();
    assert!(!new.transport.calls.is_empty());
    assert!(new.transport.calls.iter().all(|(replica, _)| !drained.contains(replica)), "no new work");
}

#[test]
fn an_ejected_replica_stays_ejected_for_the_successor() {
    let mut harness = Harness::new();
    let shunned = harness.transport.met.iter().find(|(_, a)| a.port() == 5000).map(|(l, _)| *l).unwrap();
    for n in 0..40 {
        harness.ask(&format!("q{n}"), 0, 0..1, 3000 + n * 10);
        harness.turn(n * 10);
        for (replica, calls) in std::mem::take(&mut harness.transport.calls) {
            let outcome = if replica == shunned { AttemptOutcome::Fault } else { AttemptOutcome::Success };
            calls.into_iter().for_each(|c| {
                harness.exchange.attempt_ended(
                    c,
                    outcome,
                    (outcome == AttemptOutcome::Success).then(|| "v".into()),
                    None,
                )
            });
        }
        harness.turn(n * 10 + 5);
    }
    let mut new = successor_of(&mut harness, 401, TimeSpan::from_millis(4000));
    let shunned = new.transport.met.iter().find(|(_, a)| a.port() == 5000).map(|(l, _)| *l).unwrap();
    for n in 0..8 {
        new.ask(&format!("q{n}"), 0, 0..1, 4000);
    }
    new.turn(505);
    assert!(
        new.transport.calls.iter().all(|(replica, _)| *replica != shunned),
        "two in a row were seen by the old one"
    );
    let mut fresh = Harness::new();
    for n in 0..8 {
        fresh.ask(&format!("q{n}"), 0, 0..1, 4000);
    }
    fresh.turn(505);
    assert!(
        fresh.transport.calls.iter().any(|(replica, _)| *replica == shunned),
        "who knows nothing asks it"
    );
}

#[test]
fn a_predecessor_sends_nothing_to_a_replica_in_slow_start() {
    let mut harness = Harness::new();
    let cold = |n| Endpoint { started: Some(at(990)), ..listed(n, true) };
    harness.exchange.update_endpoints(at(1000), true, (0..3).map(cold).collect());
    harness.turn(1000);
    harness.exchange.begin_handover(at(1001), 0, None, TimeSpan::from_millis(4000));
    harness.ask("q", 0, 0..1, 4000);
    (1002..1050).step_by(5).for_each(|ms| harness.turn(ms));
    assert!(harness.transport.calls.is_empty(), "the allowance is the new one's");
    harness.exchange.resume_alone(at(1050));
    (1055..2500).step_by(5).for_each(|ms| harness.turn(ms));
    assert!(harness.transport.calls.is_empty(), "what the other sent is not known for a window");
    harness.ask("r", 0, 0..1, 5000);
    (2551..2600).step_by(5).for_each(|ms| harness.turn(ms));
    assert!(!harness.transport.calls.is_empty(), "then it is as before");
}

//! Handover of state from one exchange to another.

use pipitcrank_core::ids::{AttemptOutcome, ReplicaId};
use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::snapshot::Snapshot;
use pipitcrank_server::exchange::Endpoint;

use crate::harness::{Harness, at, endpoint};

/// An exchange that has taken over the state of `harness` by an encoded snapshot, as between processes.
fn successor_of(harness: &mut Harness, ms: i64, max_duration: TimeSpan) -> Harness {
    let snapshot = harness.exchange.begin_handover(at(ms), 0, Some(9), max_duration);
    let bytes = snapshot.encode().unwrap();
    let mut successor = Harness::new();
    // The clock of the successor started half a second ago.
    successor.exchange.resume_from_predecessor(
        at(500),
        TimeSpan::from_millis(100),
        Snapshot::decode(&bytes).unwrap(),
    );
    successor
}

#[test]
fn a_drain_listed_just_before_a_handover_reaches_the_successor() {
    let mut harness = Harness::new();
    harness.exchange.update_endpoints(at(900), false, vec![endpoint(1, false)]);
    // The handover starts before the batch that would process the drain.
    let mut successor = successor_of(&mut harness, 1000, TimeSpan::from_millis(4000));
    for n in 0..9 {
        successor.submit_query(&format!("q{n}"), 0, 0..1, 4000);
    }
    successor.run_batch(510);
    let drained: Vec<ReplicaId> =
        successor.transport.addresses.iter().filter(|(_, a)| a.port() == 5001).map(|(r, _)| *r).collect();
    assert!(!successor.transport.calls.is_empty());
    assert!(
        successor.transport.calls.iter().all(|(replica, _)| !drained.contains(replica)),
        "a draining replica got a new call"
    );
}

#[test]
fn an_ejected_replica_stays_ejected_for_the_successor() {
    let mut harness = Harness::new();
    let faulty = harness.transport.addresses.iter().find(|(_, a)| a.port() == 5000).map(|(r, _)| *r).unwrap();
    for n in 0..40 {
        harness.submit_query(&format!("q{n}"), 0, 0..1, 3000 + n * 10);
        harness.run_batch(n * 10);
        for (replica, attempts) in std::mem::take(&mut harness.transport.calls) {
            let outcome = if replica == faulty { AttemptOutcome::Fault } else { AttemptOutcome::Success };
            attempts.into_iter().for_each(|attempt| {
                harness.exchange.attempt_ended(
                    attempt,
                    outcome,
                    (outcome == AttemptOutcome::Success).then(|| "v".into()),
                    None,
                )
            });
        }
        harness.run_batch(n * 10 + 5);
    }
    let mut successor = successor_of(&mut harness, 401, TimeSpan::from_millis(4000));
    let faulty =
        successor.transport.addresses.iter().find(|(_, a)| a.port() == 5000).map(|(r, _)| *r).unwrap();
    for n in 0..8 {
        successor.submit_query(&format!("q{n}"), 0, 0..1, 4000);
    }
    successor.run_batch(505);
    assert!(
        successor.transport.calls.iter().all(|(replica, _)| *replica != faulty),
        "the successor sent a call to a replica that the predecessor had ejected"
    );
    let mut fresh = Harness::new();
    for n in 0..8 {
        fresh.submit_query(&format!("q{n}"), 0, 0..1, 4000);
    }
    fresh.run_batch(505);
    assert!(
        fresh.transport.calls.iter().any(|(replica, _)| *replica == faulty),
        "an exchange without the state must send calls to this replica"
    );
}

#[test]
fn a_predecessor_sends_nothing_to_a_replica_in_slow_start() {
    let mut harness = Harness::new();
    let just_started = |n| Endpoint { started: Some(at(990)), ..endpoint(n, true) };
    harness.exchange.update_endpoints(at(1000), true, (0..3).map(just_started).collect());
    harness.run_batch(1000);
    harness.exchange.begin_handover(at(1001), 0, None, TimeSpan::from_millis(4000));
    harness.submit_query("q", 0, 0..1, 4000);
    (1002..1050).step_by(5).for_each(|ms| harness.run_batch(ms));
    assert!(harness.transport.calls.is_empty(), "the slow-start allowance belongs to the successor");
    harness.exchange.resume_without_peer(at(1050));
    (1055..2500).step_by(5).for_each(|ms| harness.run_batch(ms));
    assert!(harness.transport.calls.is_empty(), "the sends of the successor are unknown for one window");
    harness.submit_query("r", 0, 0..1, 5000);
    (2551..2600).step_by(5).for_each(|ms| harness.run_batch(ms));
    assert!(!harness.transport.calls.is_empty(), "the allowance is available again after the window");
}

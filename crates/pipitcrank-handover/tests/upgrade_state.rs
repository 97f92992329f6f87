//! Tests of the upgrade state machine: random events in any order are checked against a simple model of the workers.

use std::collections::BTreeSet;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::upgrade_event::{
    RollbackReason, UpgradeAction, UpgradeEvent, UpgradeTimeouts, WorkerId,
};
use pipitcrank_handover::upgrade_state::UpgradeStateMachine;
use proptest::prelude::*;

const TIMEOUTS: UpgradeTimeouts = UpgradeTimeouts {
    start: TimeSpan::from_millis(1000),
    trial: TimeSpan::from_millis(500),
    heartbeat: TimeSpan::from_millis(300),
    drain: TimeSpan::from_millis(2000),
};

/// State machine with a model of its workers, which checks every action.
struct Harness {
    now: Timestamp,
    machine: UpgradeStateMachine,
    /// Workers that were started and have not exited.
    running: BTreeSet<WorkerId>,
    /// Workers that were requested to serve, and not yet to transfer their connections.
    serving: BTreeSet<WorkerId>,
    /// Workers that were terminated or killed and have not exited.
    terminating: BTreeSet<WorkerId>,
    state_loaded: Option<(WorkerId, Timestamp)>,
    exit: Option<i32>,
    shutdown_requested: bool,
    actions_taken: Vec<UpgradeAction>,
}

impl Harness {
    fn new() -> Harness {
        let now = Timestamp::from_micros(0);
        let (machine, actions) = UpgradeStateMachine::start(now, TIMEOUTS);
        let mut harness = Harness {
            now,
            machine,
            running: BTreeSet::new(),
            serving: BTreeSet::new(),
            terminating: BTreeSet::new(),
            state_loaded: None,
            exit: None,
            shutdown_requested: false,
            actions_taken: Vec::new(),
        };
        harness.apply(actions);
        harness
    }

    fn counts(&self) -> (u64, u64, u64) {
        let counts = self.machine.counts();
        (counts.requested, counts.completed, counts.rolled_back)
    }

    fn handle(&mut self, event: UpgradeEvent) {
        if self.exit.is_some() {
            return;
        }
        match event {
            UpgradeEvent::Exited(worker, _) | UpgradeEvent::StartFailed(worker) => {
                if !self.running.remove(&worker) {
                    return;
                }
                self.serving.remove(&worker);
                self.terminating.remove(&worker);
            }
            UpgradeEvent::StateLoaded(worker) if self.state_loaded.is_none_or(|(w, _)| w != worker) => {
                self.state_loaded = Some((worker, self.now))
            }
            UpgradeEvent::ShutdownRequested => self.shutdown_requested = true,
            _ => {}
        }
        let actions = self.machine.handle(self.now, event);
        self.apply(actions);
        self.check();
    }

    fn apply(&mut self, actions: Vec<UpgradeAction>) {
        for action in actions {
            self.actions_taken.push(action);
            match action {
                UpgradeAction::Start(worker) => {
                    assert!(self.running.len() < 2, "a third worker was started");
                    assert!(!self.shutdown_requested, "a worker was started after a shutdown request");
                    self.running.insert(worker);
                }
                UpgradeAction::Serve(worker) => {
                    assert!(self.running.contains(&worker));
                    self.serving.insert(worker);
                }
                UpgradeAction::Connect { predecessor, successor } => {
                    assert!(
                        predecessor != successor
                            && self.serving.contains(&predecessor)
                            && self.running.contains(&successor)
                    );
                }
                UpgradeAction::TransferConnections(predecessor) => {
                    let (successor, at) = self
                        .state_loaded
                        .expect("connections were transferred before a successor had loaded the state");
                    assert!(
                        successor != predecessor && self.running.contains(&successor),
                        "connections were transferred without a running successor"
                    );
                    assert!(self.now - at >= TIMEOUTS.trial, "the trial was shorter than its minimum length");
                    self.serving.remove(&predecessor);
                }
                UpgradeAction::Kill(worker) | UpgradeAction::Terminate(worker) => {
                    assert!(self.running.contains(&worker));
                    self.terminating.insert(worker);
                }
                UpgradeAction::ContinueAlone(worker) | UpgradeAction::ReportCounts(worker) => {
                    assert!(self.running.contains(&worker))
                }
                UpgradeAction::Exit(code) => {
                    assert!(self.running.is_empty(), "the supervisor exited while a worker was running");
                    self.exit = Some(code);
                }
            }
        }
    }

    fn check(&self) {
        assert_eq!(self.machine.running().iter().copied().collect::<BTreeSet<_>>(), self.running);
        if self.exit.is_some() || self.shutdown_requested {
            return;
        }
        // At least one worker serves or completes its shutdown, or a start is in progress or due.
        let serves = self.serving.iter().any(|w| !self.terminating.contains(w));
        let starting = self.machine.serving().is_none()
            && (!self.running.is_empty() || self.machine.next_tick().is_some());
        let draining = self.serving.iter().any(|w| self.terminating.contains(w));
        assert!(serves || starting || draining, "{:?}", self.actions_taken);
        let (requested, completed, rolled_back) = self.counts();
        let in_progress = u64::from(self.machine.is_upgrading());
        assert!(
            requested <= completed + rolled_back + in_progress,
            "a requested upgrade is missing from the counts"
        );
    }

    /// Lets terminated workers exit and time pass until no tick is due.
    fn settle(&mut self) {
        for _ in 0..50 {
            if let Some(&worker) = self.terminating.iter().next() {
                self.handle(UpgradeEvent::Exited(worker, None));
            } else if let Some(due) = self.machine.next_tick().filter(|_| self.exit.is_none()) {
                self.now = self.now.max(due);
                self.handle(UpgradeEvent::Tick);
            } else {
                return;
            }
        }
        panic!("the state machine has not settled after 50 events: {:?}", self.actions_taken);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Wait(i64),
    Event(u8, u32),
}

fn event(kind: u8, worker: WorkerId) -> UpgradeEvent {
    match kind {
        0 | 1 => UpgradeEvent::UpgradeRequested,
        2 | 3 => UpgradeEvent::Ready(worker),
        4 | 5 => UpgradeEvent::StateLoaded(worker),
        6 | 7 => UpgradeEvent::Heartbeat(worker),
        8 | 9 => UpgradeEvent::Drained(worker),
        10 => UpgradeEvent::Exited(worker, None),
        11 => UpgradeEvent::Exited(worker, Some(2)),
        12 => UpgradeEvent::ProtocolError(worker),
        13 => UpgradeEvent::HandedOver(worker),
        14 => UpgradeEvent::StartFailed(worker),
        _ => UpgradeEvent::ShutdownRequested,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 3000, ..ProptestConfig::default() })]

    #[test]
    fn random_events_keep_a_worker_serving_and_settle(steps in proptest::collection::vec(
        prop_oneof![
            2 => (1i64..900).prop_map(Step::Wait),
            6 => (0u8..15, 0u32..3).prop_map(|(k, w)| Step::Event(k, w)),
            1 => Just(Step::Event(15, 0)).prop_filter("accepts every value", |_| true),
        ], 0..60), with_shutdown in any::<bool>())
    {
        let mut harness = Harness::new();
        for step in steps {
            match step {
                Step::Wait(ms) => {
                    harness.now = harness.now + TimeSpan::from_millis(ms);
                    harness.handle(UpgradeEvent::Tick);
                }
                Step::Event(15, _) if !with_shutdown => {}
                // The event belongs to the newest worker or an earlier one, which may no longer run.
                Step::Event(kind, offset) => {
                    let newest = harness.running.iter().next_back().map_or(0, |w| w.0);
                    harness.handle(event(kind, WorkerId(newest.saturating_sub(offset))));
                }
            }
        }
        harness.settle();
        prop_assert!(harness.exit.is_some() || harness.shutdown_requested || !harness.machine.is_upgrading());
        prop_assert!(harness.exit.is_some() || !harness.shutdown_requested, "the supervisor has not exited after a shutdown request");
    }
}

fn serving_first_worker() -> Harness {
    let mut harness = Harness::new();
    harness.handle(UpgradeEvent::Ready(WorkerId(0)));
    assert_eq!(
        harness.actions_taken,
        [
            UpgradeAction::Start(WorkerId(0)),
            UpgradeAction::Serve(WorkerId(0)),
            UpgradeAction::ReportCounts(WorkerId(0))
        ]
    );
    harness.actions_taken.clear();
    harness
}

fn wait(harness: &mut Harness, ms: i64) {
    harness.now = harness.now + TimeSpan::from_millis(ms);
    harness.handle(UpgradeEvent::Tick);
}

fn in_trial() -> Harness {
    let mut harness = serving_first_worker();
    harness.handle(UpgradeEvent::UpgradeRequested);
    harness.handle(UpgradeEvent::Ready(WorkerId(1)));
    harness.handle(UpgradeEvent::StateLoaded(WorkerId(1)));
    harness.actions_taken.clear();
    harness
}

#[test]
fn completed_upgrade_step_by_step() {
    let (predecessor, successor) = (WorkerId(0), WorkerId(1));
    let mut harness = serving_first_worker();
    harness.handle(UpgradeEvent::UpgradeRequested);
    assert_eq!(
        harness.actions_taken,
        [UpgradeAction::Start(successor), UpgradeAction::ReportCounts(predecessor)]
    );
    harness.handle(UpgradeEvent::Ready(successor));
    assert_eq!(harness.actions_taken[2..], [UpgradeAction::Connect { predecessor, successor }]);
    harness.handle(UpgradeEvent::StateLoaded(successor));
    harness.handle(UpgradeEvent::Drained(predecessor));
    for _ in 0..4 {
        wait(&mut harness, 120);
        harness.handle(UpgradeEvent::Heartbeat(successor));
    }
    assert_eq!(harness.actions_taken.len(), 3, "no action is expected during the trial");
    wait(&mut harness, 20);
    assert_eq!(harness.actions_taken.len(), 3, "no action is expected without a heartbeat after the trial");
    harness.handle(UpgradeEvent::Heartbeat(successor));
    assert_eq!(
        harness.actions_taken[3..],
        [UpgradeAction::TransferConnections(predecessor), UpgradeAction::Serve(successor)]
    );
    harness.handle(UpgradeEvent::HandedOver(predecessor));
    harness.handle(UpgradeEvent::Exited(predecessor, Some(0)));
    assert_eq!(
        harness.actions_taken[5..],
        [UpgradeAction::ContinueAlone(successor), UpgradeAction::ReportCounts(successor)]
    );
    assert_eq!(harness.counts(), (1, 1, 0));
    assert_eq!(harness.machine.serving(), Some(successor));
}

#[test]
fn each_fault_before_the_transfer_rolls_back_to_the_predecessor() {
    type Fault = (fn(&mut Harness), RollbackReason);
    let faults: [Fault; 6] = [
        (|w| w.handle(UpgradeEvent::Exited(WorkerId(1), None)), RollbackReason::Crashed),
        (|w| w.handle(UpgradeEvent::StartFailed(WorkerId(1))), RollbackReason::StartFailed),
        (|w| w.handle(UpgradeEvent::ProtocolError(WorkerId(1))), RollbackReason::ProtocolError),
        (|w| wait(w, 1000), RollbackReason::TimedOut),
        (
            |w| {
                w.handle(UpgradeEvent::Ready(WorkerId(1)));
                wait(w, 1000);
            },
            RollbackReason::TimedOut,
        ),
        (
            |w| {
                w.handle(UpgradeEvent::Ready(WorkerId(1)));
                w.handle(UpgradeEvent::StateLoaded(WorkerId(1)));
                wait(w, 300);
            },
            RollbackReason::HeartbeatLost,
        ),
    ];
    for (fault, reason) in faults {
        let mut harness = serving_first_worker();
        harness.handle(UpgradeEvent::UpgradeRequested);
        fault(&mut harness);
        assert_eq!(harness.machine.last_rollback(), Some(reason));
        assert_eq!((harness.machine.serving(), harness.machine.counts().rolled_back), (Some(WorkerId(0)), 1));
        assert!(harness.actions_taken.contains(&UpgradeAction::ContinueAlone(WorkerId(0))));
        harness.settle();
        harness.handle(UpgradeEvent::UpgradeRequested);
        assert!(
            harness.actions_taken.contains(&UpgradeAction::Start(WorkerId(2))),
            "no worker was started for the upgrade after a rollback"
        );
    }
}

#[test]
fn a_second_request_during_an_upgrade_counts_as_rolled_back() {
    let mut harness = in_trial();
    harness.handle(UpgradeEvent::UpgradeRequested);
    assert_eq!(harness.actions_taken, [UpgradeAction::ReportCounts(WorkerId(0))]);
    assert_eq!((harness.machine.counts().requested, harness.machine.counts().rolled_back), (2, 1));
}

#[test]
fn shutdown_during_a_trial_terminates_the_predecessor_and_kills_the_successor() {
    let mut harness = in_trial();
    harness.handle(UpgradeEvent::ShutdownRequested);
    assert!(
        harness.actions_taken.contains(&UpgradeAction::Kill(WorkerId(1)))
            && harness.actions_taken.contains(&UpgradeAction::Terminate(WorkerId(0)))
    );
    harness.settle();
    assert_eq!(harness.exit, Some(0));
}

#[test]
fn successor_serves_after_predecessor_exits_in_trial() {
    let mut harness = in_trial();
    harness.handle(UpgradeEvent::Exited(WorkerId(0), None));
    assert_eq!(
        harness.actions_taken,
        [
            UpgradeAction::Serve(WorkerId(1)),
            UpgradeAction::ContinueAlone(WorkerId(1)),
            UpgradeAction::ReportCounts(WorkerId(1))
        ]
    );
}

#[test]
fn a_predecessor_that_does_not_drain_transfers_and_is_terminated_once() {
    let mut harness = in_trial();
    for _ in 0..9 {
        wait(&mut harness, 200);
        harness.handle(UpgradeEvent::Heartbeat(WorkerId(1)));
    }
    assert_eq!(harness.actions_taken, [], "no action is expected while the predecessor has open queries");
    wait(&mut harness, 200);
    harness.handle(UpgradeEvent::Heartbeat(WorkerId(1)));
    assert_eq!(
        harness.actions_taken,
        [UpgradeAction::TransferConnections(WorkerId(0)), UpgradeAction::Serve(WorkerId(1))]
    );
    wait(&mut harness, 2000);
    assert_eq!(harness.actions_taken[2..], [UpgradeAction::Terminate(WorkerId(0))]);
    wait(&mut harness, 9000);
    assert_eq!(harness.actions_taken.len(), 3, "the predecessor was terminated twice");
}

#[test]
fn a_crashing_worker_is_restarted_up_to_the_limit() {
    let mut harness = serving_first_worker();
    for n in 0..3 {
        harness.handle(UpgradeEvent::Exited(WorkerId(n), None));
        harness.now = harness.now + TimeSpan::from_millis(400);
        harness.handle(UpgradeEvent::Tick);
        assert!(harness.actions_taken.contains(&UpgradeAction::Start(WorkerId(n + 1))));
        harness.handle(UpgradeEvent::Ready(WorkerId(n + 1)));
    }
    harness.handle(UpgradeEvent::Exited(WorkerId(3), Some(101)));
    assert_eq!(harness.exit, Some(101));
}

#[test]
fn a_failed_first_start_exits_with_its_code() {
    let mut harness = Harness::new();
    harness.handle(UpgradeEvent::Exited(WorkerId(0), Some(2)));
    assert_eq!(harness.exit, Some(2));
}

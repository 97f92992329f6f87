//! The upgrade state machine on events of any kind and order, checked against a plain model of the workers.

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

struct World {
    now: Timestamp,
    machine: UpgradeStateMachine,
    /// Processes that were started and have not exited.
    alive: BTreeSet<WorkerId>,
    /// Asked to serve, and not to transfer since.
    serving: BTreeSet<WorkerId>,
    /// Terminated or killed: their processes exit sooner or later.
    terminating: BTreeSet<WorkerId>,
    state_loaded: Option<(WorkerId, Timestamp)>,
    exit: Option<i32>,
    shutdown_requested: bool,
    performed: Vec<UpgradeAction>,
}

impl World {
    fn new() -> World {
        let now = Timestamp::from_micros(0);
        let (machine, actions) = UpgradeStateMachine::start(now, TIMEOUTS);
        let mut world = World {
            now,
            machine,
            alive: BTreeSet::new(),
            serving: BTreeSet::new(),
            terminating: BTreeSet::new(),
            state_loaded: None,
            exit: None,
            shutdown_requested: false,
            performed: Vec::new(),
        };
        world.perform(actions);
        world
    }

    fn counts(&self) -> (u64, u64, u64) {
        let counts = self.machine.counts();
        (counts.requested, counts.completed, counts.rolled_back)
    }

    fn on(&mut self, event: UpgradeEvent) {
        if self.exit.is_some() {
            return;
        }
        match event {
            UpgradeEvent::Exited(who, _) | UpgradeEvent::StartFailed(who) => {
                if !self.alive.remove(&who) {
                    return;
                }
                self.serving.remove(&who);
                self.terminating.remove(&who);
            }
            UpgradeEvent::StateLoaded(who) if self.state_loaded.is_none_or(|(w, _)| w != who) => {
                self.state_loaded = Some((who, self.now))
            }
            UpgradeEvent::ShutdownRequested => self.shutdown_requested = true,
            _ => {}
        }
        let actions = self.machine.handle(self.now, event);
        self.perform(actions);
        self.check();
    }

    fn perform(&mut self, actions: Vec<UpgradeAction>) {
        for action in actions {
            self.performed.push(action);
            match action {
                UpgradeAction::Start(who) => {
                    assert!(self.alive.len() < 2, "never three at once");
                    assert!(!self.shutdown_requested, "no start after a shutdown request");
                    self.alive.insert(who);
                }
                UpgradeAction::Serve(who) => {
                    assert!(self.alive.contains(&who));
                    self.serving.insert(who);
                }
                UpgradeAction::Connect { predecessor, successor } => {
                    assert!(
                        predecessor != successor
                            && self.serving.contains(&predecessor)
                            && self.alive.contains(&successor)
                    );
                }
                UpgradeAction::TransferConnections(predecessor) => {
                    let (successor, at) = self.state_loaded.expect("a successor has loaded the state");
                    assert!(
                        successor != predecessor && self.alive.contains(&successor),
                        "a transfer needs a successor"
                    );
                    assert!(self.now - at >= TIMEOUTS.trial, "the trial was not cut short");
                    self.serving.remove(&predecessor);
                }
                UpgradeAction::Kill(who) | UpgradeAction::Terminate(who) => {
                    assert!(self.alive.contains(&who));
                    self.terminating.insert(who);
                }
                UpgradeAction::ContinueAlone(who) | UpgradeAction::ReportCounts(who) => {
                    assert!(self.alive.contains(&who))
                }
                UpgradeAction::Exit(code) => {
                    assert!(self.alive.is_empty(), "no worker is left running");
                    self.exit = Some(code);
                }
            }
        }
    }

    fn check(&self) {
        assert_eq!(self.machine.running().iter().copied().collect::<BTreeSet<_>>(), self.alive);
        if self.exit.is_some() || self.shutdown_requested {
            return;
        }
        // A worker serves that is not terminating, or a start is under way, or due.
        let serves = self.serving.iter().any(|w| !self.terminating.contains(w));
        let starting = self.machine.serving().is_none()
            && (!self.alive.is_empty() || self.machine.next_tick().is_some());
        let draining = self.serving.iter().any(|w| self.terminating.contains(w));
        assert!(serves || starting || draining, "{:?}", self.performed);
        let (requested, completed, rolled_back) = self.counts();
        let under_way = u64::from(self.machine.is_upgrading());
        assert!(requested <= completed + rolled_back + under_way, "an upgrade is forgotten");
    }

    /// Terminated processes exit and time passes, until nothing more is due.
    fn settle(&mut self) {
        for _ in 0..50 {
            if let Some(&who) = self.terminating.iter().next() {
                self.on(UpgradeEvent::Exited(who, None));
            } else if let Some(due) = self.machine.next_tick().filter(|_| self.exit.is_none()) {
                self.now = self.now.max(due);
                self.on(UpgradeEvent::Tick);
            } else {
                return;
            }
        }
        panic!("it does not settle: {:?}", self.performed);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Wait(i64),
    Happens(u8, u32),
}

fn event(kind: u8, who: WorkerId) -> UpgradeEvent {
    match kind {
        0 | 1 => UpgradeEvent::UpgradeRequested,
        2 | 3 => UpgradeEvent::Ready(who),
        4 | 5 => UpgradeEvent::StateLoaded(who),
        6 | 7 => UpgradeEvent::Heartbeat(who),
        8 | 9 => UpgradeEvent::Drained(who),
        10 => UpgradeEvent::Exited(who, None),
        11 => UpgradeEvent::Exited(who, Some(2)),
        12 => UpgradeEvent::ProtocolError(who),
        13 => UpgradeEvent::HandedOver(who),
        14 => UpgradeEvent::StartFailed(who),
        _ => UpgradeEvent::ShutdownRequested,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 3000, ..ProptestConfig::default() })]

    #[test]
    fn any_events_leave_a_serving_worker_and_settle(steps in proptest::collection::vec(
        prop_oneof![
            2 => (1i64..900).prop_map(Step::Wait),
            6 => (0u8..15, 0u32..3).prop_map(|(k, w)| Step::Happens(k, w)),
            1 => Just(Step::Happens(15, 0)).prop_filter("rarely", |_| true),
        ], 0..60), with_shutdown in any::<bool>())
    {
        let mut world = World::new();
        for step in steps {
            match step {
                Step::Wait(ms) => {
                    world.now = world.now + TimeSpan::from_millis(ms);
                    world.on(UpgradeEvent::Tick);
                }
                Step::Happens(15, _) if !with_shutdown => {}
                // Mostly of a running worker, counted back from the newest; sometimes of none.
                Step::Happens(kind, back) => {
                    let newest = world.alive.iter().next_back().map_or(0, |w| w.0);
                    world.on(event(kind, WorkerId(newest.saturating_sub(back))));
                }
            }
        }
        world.settle();
        prop_assert!(world.exit.is_some() || world.shutdown_requested || !world.machine.is_upgrading());
        prop_assert!(world.exit.is_some() || !world.shutdown_requested, "the supervisor exits after a shutdown request");
    }
}

fn served() -> World {
    let mut world = World::new();
    world.on(UpgradeEvent::Ready(WorkerId(0)));
    assert_eq!(
        world.performed,
        [
            UpgradeAction::Start(WorkerId(0)),
            UpgradeAction::Serve(WorkerId(0)),
            UpgradeAction::ReportCounts(WorkerId(0))
        ]
    );
    world.performed.clear();
    world
}

fn wait(world: &mut World, ms: i64) {
    world.now = world.now + TimeSpan::from_millis(ms);
    world.on(UpgradeEvent::Tick);
}

fn in_trial() -> World {
    let mut world = served();
    world.on(UpgradeEvent::UpgradeRequested);
    world.on(UpgradeEvent::Ready(WorkerId(1)));
    world.on(UpgradeEvent::StateLoaded(WorkerId(1)));
    world.performed.clear();
    world
}

#[test]
fn an_upgrade_step_by_step() {
    let (predecessor, successor) = (WorkerId(0), WorkerId(1));
    let mut world = served();
    world.on(UpgradeEvent::UpgradeRequested);
    assert_eq!(world.performed, [UpgradeAction::Start(successor), UpgradeAction::ReportCounts(predecessor)]);
    world.on(UpgradeEvent::Ready(successor));
    assert_eq!(world.performed[2..], [UpgradeAction::Connect { predecessor, successor }]);
    world.on(UpgradeEvent::StateLoaded(successor));
    world.on(UpgradeEvent::Drained(predecessor));
    for _ in 0..4 {
        wait(&mut world, 120);
        world.on(UpgradeEvent::Heartbeat(successor));
    }
    assert_eq!(world.performed.len(), 3, "still on trial");
    wait(&mut world, 20);
    assert_eq!(world.performed.len(), 3, "trial over, but no heartbeat since");
    world.on(UpgradeEvent::Heartbeat(successor));
    assert_eq!(
        world.performed[3..],
        [UpgradeAction::TransferConnections(predecessor), UpgradeAction::Serve(successor)]
    );
    world.on(UpgradeEvent::HandedOver(predecessor));
    world.on(UpgradeEvent::Exited(predecessor, Some(0)));
    assert_eq!(
        world.performed[5..],
        [UpgradeAction::ContinueAlone(successor), UpgradeAction::ReportCounts(successor)]
    );
    assert_eq!(world.counts(), (1, 1, 0));
    assert_eq!(world.machine.serving(), Some(successor));
}

#[test]
fn each_fault_before_the_transfer_rolls_back_to_the_predecessor() {
    type Fault = (fn(&mut World), RollbackReason);
    let faults: [Fault; 6] = [
        (|w| w.on(UpgradeEvent::Exited(WorkerId(1), None)), RollbackReason::Crashed),
        (|w| w.on(UpgradeEvent::StartFailed(WorkerId(1))), RollbackReason::StartFailed),
        (|w| w.on(UpgradeEvent::ProtocolError(WorkerId(1))), RollbackReason::ProtocolError),
        (|w| wait(w, 1000), RollbackReason::TimedOut),
        (
            |w| {
                w.on(UpgradeEvent::Ready(WorkerId(1)));
                wait(w, 1000);
            },
            RollbackReason::TimedOut,
        ),
        (
            |w| {
                w.on(UpgradeEvent::Ready(WorkerId(1)));
                w.on(UpgradeEvent::StateLoaded(WorkerId(1)));
                wait(w, 300);
            },
            RollbackReason::HeartbeatLost,
        ),
    ];
    for (fault, why) in faults {
        let mut world = served();
        world.on(UpgradeEvent::UpgradeRequested);
        fault(&mut world);
        assert_eq!(world.machine.last_rollback(), Some(why));
        assert_eq!((world.machine.serving(), world.machine.counts().rolled_back), (Some(WorkerId(0)), 1));
        assert!(world.performed.contains(&UpgradeAction::ContinueAlone(WorkerId(0))));
        world.settle();
        world.on(UpgradeEvent::UpgradeRequested);
        assert!(
            world.performed.contains(&UpgradeAction::Start(WorkerId(2))),
            "a rolled back upgrade does not prevent the next"
        );
    }
}

#[test]
fn a_second_request_during_an_upgrade_counts_as_rolled_back() {
    let mut world = in_trial();
    world.on(UpgradeEvent::UpgradeRequested);
    assert_eq!(world.performed, [UpgradeAction::ReportCounts(WorkerId(0))]);
    assert_eq!((world.machine.counts().requested, world.machine.counts().rolled_back), (2, 1));
}

#[test]
fn shutdown_during_a_trial_terminates_the_predecessor_and_kills_the_successor() {
    let mut world = in_trial();
    world.on(UpgradeEvent::ShutdownRequested);
    assert!(
        world.performed.contains(&UpgradeAction::Kill(WorkerId(1)))
            && world.performed.contains(&UpgradeAction::Terminate(WorkerId(0)))
    );
    world.settle();
    assert_eq!(world.exit, Some(0));
}

#[test]
fn a_predecessor_that_exits_in_the_trial_leaves_the_listener_to_the_successor() {
    let mut world = in_trial();
    world.on(UpgradeEvent::Exited(WorkerId(0), None));
    assert_eq!(
        world.performed,
        [
            UpgradeAction::Serve(WorkerId(1)),
            UpgradeAction::ContinueAlone(WorkerId(1)),
            UpgradeAction::ReportCounts(WorkerId(1))
        ]
    );
}

#[test]
fn a_predecessor_that_does_not_drain_transfers_and_is_terminated_once() {
    let mut world = in_trial();
    for _ in 0..9 {
        wait(&mut world, 200);
        world.on(UpgradeEvent::Heartbeat(WorkerId(1)));
    }
    assert_eq!(world.performed, [], "the predecessor has open queries");
    wait(&mut world, 200);
    world.on(UpgradeEvent::Heartbeat(WorkerId(1)));
    assert_eq!(
        world.performed,
        [UpgradeAction::TransferConnections(WorkerId(0)), UpgradeAction::Serve(WorkerId(1))]
    );
    wait(&mut world, 2000);
    assert_eq!(world.performed[2..], [UpgradeAction::Terminate(WorkerId(0))]);
    wait(&mut world, 9000);
    assert_eq!(world.performed.len(), 3, "terminated once");
}

#[test]
fn a_crashing_worker_is_restarted_up_to_the_limit() {
    let mut world = served();
    for n in 0..3 {
        world.on(UpgradeEvent::Exited(WorkerId(n), None));
        world.now = world.now + TimeSpan::from_millis(400);
        world.on(UpgradeEvent::Tick);
        assert!(world.performed.contains(&UpgradeAction::Start(WorkerId(n + 1))));
        world.on(UpgradeEvent::Ready(WorkerId(n + 1)));
    }
    world.on(UpgradeEvent::Exited(WorkerId(3), Some(101)));
    assert_eq!(world.exit, Some(101));
}

#[test]
fn a_failed_first_start_exits_with_its_code() {
    let mut world = World::new();
    world.on(UpgradeEvent::Exited(WorkerId(0), Some(2)));
    assert_eq!(world.exit, Some(2));
}

//! Which worker serves, and when that changes: the upgrade supervisor's state machine. Events and times come in,
//! actions go out; no I/O.
//!
//! ```text
//!  Idle --requested--> Starting --ready--> Loading --loaded--> Trial --drained, trial over--> Transferring
//!   ^                     |                  |                  |                              |
//!   +--- rolled back -----+-- timeout, exit -+-- timeout, exit -+-- no heartbeat, exit         |
//!   +--- rolled back ---------------------------------------------- successor's exit ----------+
//!   +--- completed ------------------------------------------------ predecessor's exit --------+
//! ```
//!
//! | state | listener, clients' connections | new queries handled by | open queries | way back |
//! | --- | --- | --- | --- | --- |
//! | `Starting` | predecessor | predecessor | predecessor | kill the successor |
//! | `Loading` | predecessor | predecessor; successor once it has the snapshot | predecessor | kill the successor; the predecessor answers what it had forwarded |
//! | `Trial` | predecessor | successor, forwarded by the predecessor | predecessor | the same |
//! | `Transferring` | move one by one | successor | predecessor | none for what was transferred; the predecessor continues with the rest |
//! | `Idle` | the worker that serves | the same | the same | - |
//!
//! The supervisor holds a duplicate of the listener throughout, so that a client always finds a listening socket while
//! any process lives.

use pipitcrank_core::time::{TimeSpan, Timestamp};

use crate::crash_history::CrashHistory;
use crate::upgrade_event::{
    RollbackReason, UpgradeAction, UpgradeCounts, UpgradeEvent, UpgradeTimeouts, WorkerId,
};

/// Exit code of the supervisor where a worker's process could not be created.
const START_FAILED_EXIT_CODE: i32 = 2;
/// Exit code of the supervisor where a signal ended the worker.
const KILLED_EXIT_CODE: i32 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No upgrade. Where no worker serves, one is started at `restart_at`.
    Idle {
        serving: Option<WorkerId>,
        restart_at: Option<Timestamp>,
    },
    /// Without a predecessor this is the first start, or a restart after a crash.
    Starting {
        predecessor: Option<WorkerId>,
        successor: WorkerId,
        since: Timestamp,
    },
    Loading {
        predecessor: WorkerId,
        successor: WorkerId,
        since: Timestamp,
    },
    Trial {
        predecessor: WorkerId,
        successor: WorkerId,
        since: Timestamp,
        last_heartbeat: Timestamp,
        drained: bool,
    },
    Transferring {
        predecessor: WorkerId,
        successor: WorkerId,
        since: Timestamp,
        termination_requested: bool,
    },
    ShuttingDown {
        exit_code: i32,
    },
}

/// The two workers of an upgrade.
#[derive(Clone, Copy)]
struct Pair {
    predecessor: WorkerId,
    successor: WorkerId,
}

/// How a worker's process ended, or that it never began.
#[derive(Clone, Copy)]
struct WorkerExit {
    worker: WorkerId,
    code: Option<i32>,
    reason: RollbackReason,
}

/// Decides which worker serves; see the module's description.
pub struct UpgradeStateMachine {
    timeouts: UpgradeTimeouts,
    state: State,
    /// Workers that were started and have not exited; two at most.
    running: Vec<WorkerId>,
    next_worker: u32,
    crashes: CrashHistory,
    last_rollback: Option<RollbackReason>,
    counts: UpgradeCounts,
}

impl UpgradeStateMachine {
    /// A state machine that starts its first worker by the actions returned.
    pub fn start(now: Timestamp, timeouts: UpgradeTimeouts) -> (UpgradeStateMachine, Vec<UpgradeAction>) {
        let mut machine = UpgradeStateMachine {
            timeouts,
            state: State::Idle { serving: None, restart_at: None },
            running: Vec::new(),
            next_worker: 0,
            crashes: CrashHistory::default(),
            last_rollback: None,
            counts: UpgradeCounts::default(),
        };
        let mut actions = Vec::new();
        machine.start_worker(now, None, &mut actions);
        (machine, actions)
    }

    /// Applies changed settings.
    pub fn set_timeouts(&mut self, timeouts: UpgradeTimeouts) {
        self.timeouts = timeouts;
    }

    /// When [`UpgradeEvent::Tick`] is due unless another event changes that.
    pub fn next_tick(&self) -> Option<Timestamp> {
        match self.state {
            State::Idle { restart_at, .. } => restart_at,
            State::Starting { since, .. } | State::Loading { since, .. } => Some(since + self.timeouts.start),
            State::Trial { since, last_heartbeat, drained, .. } => {
                let trial_over = since + self.trial_length(drained);
                // A process that hangs must not pass the trial before its silence is noticed: a heartbeat has to follow
                // the trial's end.
                let confirmed = last_heartbeat >= trial_over;
                Some(if confirmed { trial_over } else { last_heartbeat + self.timeouts.heartbeat })
            }
            State::Transferring { since, termination_requested: false, .. } => {
                Some(since + self.timeouts.drain)
            }
            State::Transferring { .. } | State::ShuttingDown { .. } => None,
        }
    }

    fn trial_length(&self, drained: bool) -> TimeSpan {
        if drained { self.timeouts.trial } else { self.timeouts.trial.max(self.timeouts.drain) }
    }

    /// Why the last upgrade that did not complete was rolled back.
    pub fn last_rollback(&self) -> Option<RollbackReason> {
        self.last_rollback
    }

    /// How many upgrades were requested, and what became of them.
    pub fn counts(&self) -> UpgradeCounts {
        self.counts
    }

    /// The worker that was last asked to serve, or holds the listener for the one on trial.
    pub fn serving(&self) -> Option<WorkerId> {
        match self.state {
            State::Idle { serving, .. } => serving,
            State::Starting { predecessor, .. } => predecessor,
            State::Loading { predecessor, .. } | State::Trial { predecessor, .. } => Some(predecessor),
            State::Transferring { successor, .. } => Some(successor),
            State::ShuttingDown { .. } => None,
        }
    }

    /// Whether an upgrade is under way.
    pub fn is_upgrading(&self) -> bool {
        !matches!(
            self.state,
            State::Idle { .. } | State::Starting { predecessor: None, .. } | State::ShuttingDown { .. }
        )
    }

    /// Workers that were started and have not exited.
    pub fn running(&self) -> &[WorkerId] {
        &self.running
    }

    /// Takes an event at `now`, and returns what the supervisor is to do about it.
    pub fn handle(&mut self, now: Timestamp, event: UpgradeEvent) -> Vec<UpgradeAction> {
        let mut actions = Vec::new();
        match event {
            UpgradeEvent::UpgradeRequested => self.on_upgrade_requested(now, &mut actions),
            UpgradeEvent::ShutdownRequested => self.on_shutdown_requested(&mut actions),
            UpgradeEvent::Tick => self.on_tick(now, &mut actions),
            UpgradeEvent::StartFailed(worker) => {
                let (code, reason) = (Some(START_FAILED_EXIT_CODE), RollbackReason::StartFailed);
                self.on_exit(now, WorkerExit { worker, code, reason }, &mut actions);
            }
            UpgradeEvent::Exited(worker, code) => {
                let reason = RollbackReason::Crashed;
                self.on_exit(now, WorkerExit { worker, code, reason }, &mut actions);
            }
            UpgradeEvent::ProtocolError(worker) => self.on_protocol_error(worker, &mut actions),
            UpgradeEvent::Ready(worker) => self.on_ready(now, worker, &mut actions),
            UpgradeEvent::StateLoaded(worker) => self.on_state_loaded(now, worker),
            UpgradeEvent::Heartbeat(worker) => self.on_heartbeat(now, worker, &mut actions),
            UpgradeEvent::Drained(worker) => self.on_drained(now, worker, &mut actions),
            // It exits by itself; otherwise it is terminated once the transfer takes too long.
            UpgradeEvent::HandedOver(_) => {}
        }
        actions
    }

    fn start_worker(
        &mut self,
        now: Timestamp,
        predecessor: Option<WorkerId>,
        actions: &mut Vec<UpgradeAction>,
    ) {
        let successor = WorkerId(self.next_worker);
        self.next_worker += 1;
        self.running.push(successor);
        self.state = State::Starting { predecessor, successor, since: now };
        actions.push(UpgradeAction::Start(successor));
    }

    /// The workers of an upgrade that can still be rolled back as if it had never begun.
    fn reversible_upgrade(&self) -> Option<Pair> {
        match self.state {
            State::Starting { predecessor: Some(predecessor), successor, .. }
            | State::Loading { predecessor, successor, .. }
            | State::Trial { predecessor, successor, .. } => Some(Pair { predecessor, successor }),
            _ => None,
        }
    }

    fn on_upgrade_requested(&mut self, now: Timestamp, actions: &mut Vec<UpgradeAction>) {
        self.counts.requested += 1;
        match self.state {
            State::Idle { serving: Some(serving), .. } if self.running == [serving] => {
                self.start_worker(now, Some(serving), actions);
            }
            // One upgrade at a time. A request during another one is refused rather than queued: run later, it would
            // start a program after its operators have stopped watching it.
            _ => self.counts.rolled_back += 1,
        }
        actions.extend(self.serving().map(UpgradeAction::ReportCounts));
    }

    fn on_ready(&mut self, now: Timestamp, worker: WorkerId, actions: &mut Vec<UpgradeAction>) {
        match self.state {
            State::Starting { predecessor: None, successor, .. } if successor == worker => {
                self.state = State::Idle { serving: Some(successor), restart_at: None };
                actions.extend([UpgradeAction::Serve(successor), UpgradeAction::ReportCounts(successor)]);
            }
            State::Starting { predecessor: Some(predecessor), successor, .. } if successor == worker => {
                self.state = State::Loading { predecessor, successor, since: now };
                actions.push(UpgradeAction::Connect { predecessor, successor });
            }
            _ => {}
        }
    }

    fn on_state_loaded(&mut self, now: Timestamp, worker: WorkerId) {
        if let State::Loading { predecessor, successor, .. } = self.state
            && worker == successor
        {
            self.state =
                State::Trial { predecessor, successor, since: now, last_heartbeat: now, drained: false };
        }
    }

    fn on_heartbeat(&mut self, now: Timestamp, worker: WorkerId, actions: &mut Vec<UpgradeAction>) {
        if let State::Trial { successor, ref mut last_heartbeat, .. } = self.state
            && worker == successor
        {
            *last_heartbeat = now;
            self.on_tick(now, actions);
        }
    }

    fn on_drained(&mut self, now: Timestamp, worker: WorkerId, actions: &mut Vec<UpgradeAction>) {
        if let State::Trial { predecessor, ref mut drained, .. } = self.state
            && worker == predecessor
        {
            *drained = true;
            self.on_tick(now, actions);
        }
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut Vec<UpgradeAction>) {
        if self.next_tick().is_none_or(|due| now < due) {
            return;
        }
        match self.state {
            State::Idle { serving: None, .. } => self.start_worker(now, None, actions),
            // There is no predecessor to roll back to; the exit that follows decides on a restart.
            State::Starting { predecessor: None, successor, .. } => {
                actions.push(UpgradeAction::Kill(successor));
            }
            State::Starting { predecessor: Some(predecessor), successor, .. }
            | State::Loading { predecessor, successor, .. } => {
                self.roll_back(Pair { predecessor, successor }, RollbackReason::TimedOut, actions);
            }
            State::Trial { predecessor, successor, last_heartbeat, .. }
                if now >= last_heartbeat + self.timeouts.heartbeat =>
            {
                self.roll_back(Pair { predecessor, successor }, RollbackReason::HeartbeatLost, actions);
            }
            State::Trial { predecessor, successor, .. } => {
                self.state =
                    State::Transferring { predecessor, successor, since: now, termination_requested: false };
                actions.extend([
                    UpgradeAction::TransferConnections(predecessor),
                    UpgradeAction::Serve(successor),
                ]);
            }
            State::Transferring { predecessor, ref mut termination_requested, .. } => {
                *termination_requested = true;
                actions.push(UpgradeAction::Terminate(predecessor));
            }
            State::Idle { .. } | State::ShuttingDown { .. } => {}
        }
    }

    /// Back to the predecessor, which still has the listener and all clients.
    fn roll_back(&mut self, upgrade: Pair, reason: RollbackReason, actions: &mut Vec<UpgradeAction>) {
        let Pair { predecessor, successor } = upgrade;
        self.counts.rolled_back += 1;
        self.last_rollback = Some(reason);
        self.state = State::Idle { serving: Some(predecessor), restart_at: None };
        if self.running.contains(&successor) {
            actions.push(UpgradeAction::Kill(successor));
        }
        actions.extend([UpgradeAction::ContinueAlone(predecessor), UpgradeAction::ReportCounts(predecessor)]);
    }

    fn on_protocol_error(&mut self, worker: WorkerId, actions: &mut Vec<UpgradeAction>) {
        match self.reversible_upgrade() {
            Some(upgrade) if worker == upgrade.successor => {
                self.roll_back(upgrade, RollbackReason::ProtocolError, actions);
            }
            // Any other worker that can't be understood can't be controlled either; its exit is handled as it comes.
            _ if self.running.contains(&worker) => actions.push(UpgradeAction::Kill(worker)),
            _ => {}
        }
    }

    fn on_exit(&mut self, now: Timestamp, exit: WorkerExit, actions: &mut Vec<UpgradeAction>) {
        // An exit may be reported twice; only the first report counts.
        if !self.running.contains(&exit.worker) {
            return;
        }
        self.running.retain(|&worker| worker != exit.worker);
        if let Some(upgrade) = self.reversible_upgrade()
            && exit.worker == upgrade.successor
        {
            return self.roll_back(upgrade, exit.reason, actions);
        }
        match self.state {
            State::Starting { predecessor: Some(predecessor), successor, since }
                if exit.worker == predecessor =>
            {
                // The successor knows nothing yet: what remains is a plain start, under way already.
                self.crashes.record(now);
                self.counts.completed += 1;
                self.state = State::Starting { predecessor: None, successor, since };
            }
            State::Loading { predecessor, successor, .. } | State::Trial { predecessor, successor, .. }
                if exit.worker == predecessor =>
            {
                self.crashes.record(now);
                actions.push(UpgradeAction::Serve(successor));
                self.complete(successor, actions);
            }
            State::Transferring { predecessor, successor, .. } if exit.worker == predecessor => {
                self.complete(successor, actions);
            }
            State::Transferring { predecessor, successor, .. } if exit.worker == successor => {
                self.on_successor_lost_in_transfer(predecessor, exit.reason, actions);
            }
            State::Starting { predecessor: None, successor, .. } if exit.worker == successor => {
                self.on_last_worker_lost(now, exit.code, true, actions);
            }
            State::Idle { serving: Some(serving), .. } if exit.worker == serving => {
                self.on_last_worker_lost(now, exit.code, false, actions);
            }
            State::ShuttingDown { exit_code } if self.running.is_empty() => {
                actions.push(UpgradeAction::Exit(exit_code));
            }
            _ => {}
        }
    }

    /// The predecessor has exited; the successor continues with what it has.
    fn complete(&mut self, successor: WorkerId, actions: &mut Vec<UpgradeAction>) {
        self.counts.completed += 1;
        self.state = State::Idle { serving: Some(successor), restart_at: None };
        actions.extend([UpgradeAction::ContinueAlone(successor), UpgradeAction::ReportCounts(successor)]);
    }

    /// What was transferred is lost; the predecessor takes the listener again, with all it still holds.
    fn on_successor_lost_in_transfer(
        &mut self,
        predecessor: WorkerId,
        reason: RollbackReason,
        actions: &mut Vec<UpgradeAction>,
    ) {
        self.counts.rolled_back += 1;
        self.last_rollback = Some(reason);
        self.state = State::Idle { serving: Some(predecessor), restart_at: None };
        actions.extend([
            UpgradeAction::ContinueAlone(predecessor),
            UpgradeAction::Serve(predecessor),
            UpgradeAction::ReportCounts(predecessor),
        ]);
    }

    /// No worker serves any more: restarts one, or shuts down. `during_start`: it had not begun to serve.
    fn on_last_worker_lost(
        &mut self,
        now: Timestamp,
        code: Option<i32>,
        during_start: bool,
        actions: &mut Vec<UpgradeAction>,
    ) {
        self.crashes.expire(now);
        // The exit code of the very first start says what is wrong, and a worker that exits with 0 was asked to.
        let deliberate = during_start && self.crashes.is_empty() || code == Some(0);
        if deliberate || self.crashes.limit_reached() {
            return self.shut_down(code.unwrap_or(KILLED_EXIT_CODE), actions);
        }
        let delay = self.crashes.next_restart_delay();
        self.crashes.record(now);
        self.state = State::Idle { serving: None, restart_at: Some(now + delay) };
        if delay == TimeSpan::ZERO {
            self.on_tick(now, actions);
        }
    }

    fn shut_down(&mut self, exit_code: i32, actions: &mut Vec<UpgradeAction>) {
        self.state = State::ShuttingDown { exit_code };
        if self.running.is_empty() {
            actions.push(UpgradeAction::Exit(exit_code));
        } else {
            actions.extend(self.running.iter().map(|&worker| UpgradeAction::Kill(worker)));
        }
    }

    fn on_shutdown_requested(&mut self, actions: &mut Vec<UpgradeAction>) {
        // Before the transfer the predecessor has everything: it shuts down as if there had been no upgrade.
        if let Some(upgrade) = self.reversible_upgrade() {
            self.roll_back(upgrade, RollbackReason::ShutdownRequested, actions);
        }
        // During the transfer both shut down gracefully: each answers what it holds.
        let killed = actions.clone();
        let others = self.running.iter().filter(|&&worker| !killed.contains(&UpgradeAction::Kill(worker)));
        actions.extend(others.map(|&worker| UpgradeAction::Terminate(worker)));
        self.state = State::ShuttingDown { exit_code: 0 };
        if self.running.is_empty() {
            actions.push(UpgradeAction::Exit(0));
        }
    }
}

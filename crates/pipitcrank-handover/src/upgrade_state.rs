//! State machine of the upgrade supervisor, which decides which worker serves. Its inputs are events with their times,
//! its outputs are actions; it does no I/O.
//!
//! ```text
//!  Idle --requested--> Starting --ready--> Loading --loaded--> Trial --drained, trial over--> Transferring
//!   ^                     |                  |                  |                              |
//!   +--- rolled back -----+-- timeout, exit -+-- timeout, exit -+-- no heartbeat, exit         |
//!   +--- rolled back ---------------------------------------------- successor's exit ----------+
//!   +--- completed ------------------------------------------------ predecessor's exit --------+
//! ```
//!
//! | state | listener and client connections | new queries | open queries | rollback |
//! | --- | --- | --- | --- | --- |
//! | `Starting` | predecessor | predecessor | predecessor | kill the successor |
//! | `Loading` | predecessor | predecessor; successor once it has the snapshot | predecessor | kill the successor; the predecessor answers the queries that it had relayed |
//! | `Trial` | predecessor | successor, relayed by the predecessor | predecessor | as in `Loading` |
//! | `Transferring` | transferred one by one | successor | predecessor | not for transferred connections; the predecessor continues with the others |
//! | `Idle` | serving worker | serving worker | serving worker | - |
//!
//! The supervisor holds a duplicate of the listener in all states. The socket therefore keeps listening as long as any
//! process runs.

use pipitcrank_core::time::{TimeSpan, Timestamp};

use crate::crash_history::CrashHistory;
use crate::upgrade_event::{
    RollbackReason, UpgradeAction, UpgradeCounts, UpgradeEvent, UpgradeTimeouts, WorkerId,
};

/// Exit code of the supervisor after a worker's process could not be created.
const START_FAILED_EXIT_CODE: i32 = 2;
/// Exit code of the supervisor after a signal ended the worker.
const KILLED_EXIT_CODE: i32 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No upgrade is in progress. Without a serving worker, one is started at `restart_at`.
    Idle {
        serving: Option<WorkerId>,
        restart_at: Option<Timestamp>,
    },
    /// A worker is being started. Without a predecessor, this is the first start or a restart after a crash.
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
struct WorkerPair {
    predecessor: WorkerId,
    successor: WorkerId,
}

/// End of a worker's process, or the failure to create it.
#[derive(Clone, Copy)]
struct WorkerExit {
    worker: WorkerId,
    code: Option<i32>,
    reason: RollbackReason,
}

/// State machine that decides which worker serves; see the module documentation.
pub struct UpgradeStateMachine {
    timeouts: UpgradeTimeouts,
    state: State,
    /// Workers that were started and have not exited; at most two.
    running: Vec<WorkerId>,
    next_worker: u32,
    crashes: CrashHistory,
    last_rollback: Option<RollbackReason>,
    counts: UpgradeCounts,
}

impl UpgradeStateMachine {
    /// Creates a state machine. The returned actions start the first worker.
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

    /// Time at which the next [`UpgradeEvent::Tick`] is due. Any other event may change it.
    pub fn next_tick(&self) -> Option<Timestamp> {
        match self.state {
            State::Idle { restart_at, .. } => restart_at,
            State::Starting { since, .. } | State::Loading { since, .. } => Some(since + self.timeouts.start),
            State::Trial { since, last_heartbeat, drained, .. } => {
                let trial_over = since + self.trial_length(drained);
                // A heartbeat after the trial's end confirms that the successor runs. Otherwise a hung successor could
                // pass the trial before its missing heartbeats are detected.
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

    /// Reason of the last rollback.
    pub fn last_rollback(&self) -> Option<RollbackReason> {
        self.last_rollback
    }

    /// Numbers of requested, completed and rolled back upgrades.
    pub fn counts(&self) -> UpgradeCounts {
        self.counts
    }

    /// Worker that was last requested to serve. Up to the end of a trial this is the predecessor.
    pub fn serving(&self) -> Option<WorkerId> {
        match self.state {
            State::Idle { serving, .. } => serving,
            State::Starting { predecessor, .. } => predecessor,
            State::Loading { predecessor, .. } | State::Trial { predecessor, .. } => Some(predecessor),
            State::Transferring { successor, .. } => Some(successor),
            State::ShuttingDown { .. } => None,
        }
    }

    /// Whether an upgrade is in progress.
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

    /// Handles an event at `now`, and returns the resulting actions.
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
            // The predecessor now exits by itself, or is terminated when the time limit of the transfer expires.
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

    /// Workers of an upgrade that can still be rolled back without losing a connection.
    fn reversible_upgrade(&self) -> Option<WorkerPair> {
        match self.state {
            State::Starting { predecessor: Some(predecessor), successor, .. }
            | State::Loading { predecessor, successor, .. }
            | State::Trial { predecessor, successor, .. } => Some(WorkerPair { predecessor, successor }),
            _ => None,
        }
    }

    fn on_upgrade_requested(&mut self, now: Timestamp, actions: &mut Vec<UpgradeAction>) {
        self.counts.requested += 1;
        match self.state {
            State::Idle { serving: Some(serving), .. } if self.running == [serving] => {
                self.start_worker(now, Some(serving), actions);
            }
            // Only one upgrade runs at a time. A request during an upgrade is rejected rather than queued: a queued one
            // would start a program after its operators have stopped watching it.
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
            // A rollback needs a predecessor. Without one, the worker is killed; its exit leads to a restart or to a
            // shutdown.
            State::Starting { predecessor: None, successor, .. } => {
                actions.push(UpgradeAction::Kill(successor));
            }
            State::Starting { predecessor: Some(predecessor), successor, .. }
            | State::Loading { predecessor, successor, .. } => {
                self.roll_back(WorkerPair { predecessor, successor }, RollbackReason::TimedOut, actions);
            }
            State::Trial { predecessor, successor, last_heartbeat, .. }
                if now >= last_heartbeat + self.timeouts.heartbeat =>
            {
                self.roll_back(WorkerPair { predecessor, successor }, RollbackReason::HeartbeatLost, actions);
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

    /// Ends the upgrade. The predecessor continues to serve, as it still has the listener and all client connections.
    fn roll_back(&mut self, upgrade: WorkerPair, reason: RollbackReason, actions: &mut Vec<UpgradeAction>) {
        let WorkerPair { predecessor, successor } = upgrade;
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
            // A worker with unreadable messages can't be controlled. It is killed, and its exit is handled as usual.
            _ if self.running.contains(&worker) => actions.push(UpgradeAction::Kill(worker)),
            _ => {}
        }
    }

    fn on_exit(&mut self, now: Timestamp, exit: WorkerExit, actions: &mut Vec<UpgradeAction>) {
        // An exit may be reported twice; the second report is ignored.
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
                // The successor has no state of the predecessor yet: it continues as a start without a predecessor.
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

    /// Completes the upgrade after the predecessor's exit. The successor continues alone.
    fn complete(&mut self, successor: WorkerId, actions: &mut Vec<UpgradeAction>) {
        self.counts.completed += 1;
        self.state = State::Idle { serving: Some(successor), restart_at: None };
        actions.extend([UpgradeAction::ContinueAlone(successor), UpgradeAction::ReportCounts(successor)]);
    }

    /// Rolls back after the successor's exit during the transfer. The connections already transferred are lost; the
    /// predecessor gets the listener again and keeps the other connections.
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

    /// Starts a new worker or shuts down after the exit of the only worker. `during_start` states that the worker had
    /// not begun to serve.
    fn on_last_worker_lost(
        &mut self,
        now: Timestamp,
        code: Option<i32>,
        during_start: bool,
        actions: &mut Vec<UpgradeAction>,
    ) {
        self.crashes.expire(now);
        // A failed first start is not restarted, as its exit code gives the cause. Neither is a worker that exits with
        // code 0, which it only does on request.
        let no_restart = during_start && self.crashes.is_empty() || code == Some(0);
        if no_restart || self.crashes.limit_reached() {
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
        // Before the transfer the predecessor has all connections: the upgrade is rolled back before the shutdown.
        if let Some(upgrade) = self.reversible_upgrade() {
            self.roll_back(upgrade, RollbackReason::ShutdownRequested, actions);
        }
        // During the transfer both workers shut down gracefully, and each answers its open queries.
        let earlier_actions = actions.clone();
        let others =
            self.running.iter().filter(|&&worker| !earlier_actions.contains(&UpgradeAction::Kill(worker)));
        actions.extend(others.map(|&worker| UpgradeAction::Terminate(worker)));
        self.state = State::ShuttingDown { exit_code: 0 };
        if self.running.is_empty() {
            actions.push(UpgradeAction::Exit(0));
        }
    }
}

//! Inputs and outputs of the upgrade state machine.

use pipitcrank_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// A worker process, numbered in the order in which workers were started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// Event for the state machine, from the operators or from a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeEvent {
    /// The operators requested an upgrade.
    UpgradeRequested,
    /// The operators requested a graceful shutdown.
    ShutdownRequested,
    /// The worker's process could not be created.
    StartFailed(WorkerId),
    /// The worker has validated its configuration and is able to serve.
    Ready(WorkerId),
    /// The worker has loaded its predecessor's state and accepts queries.
    StateLoaded(WorkerId),
    /// The worker sent a heartbeat.
    Heartbeat(WorkerId),
    /// The worker has no open queries of its own.
    Drained(WorkerId),
    /// The worker has transferred the listener and all connections.
    HandedOver(WorkerId),
    /// The worker sent an unreadable message, or uses another protocol version.
    ProtocolError(WorkerId),
    /// The worker's process has ended; the exit code is `None` if a signal ended it.
    Exited(WorkerId, Option<i32>),
    /// The time of the next tick has come.
    Tick,
}

/// Action of the supervisor. Actions are executed in the order in which they are returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeAction {
    /// Start the worker's process.
    Start(WorkerId),
    /// Send the listener to the worker, with the request to serve.
    Serve(WorkerId),
    /// Create a link over which the predecessor hands over to the successor.
    Connect {
        /// The worker that hands over.
        predecessor: WorkerId,
        /// The worker that takes over.
        successor: WorkerId,
    },
    /// Notify the worker that the other worker takes no further part in the upgrade.
    ContinueAlone(WorkerId),
    /// Request the worker to transfer its listener and its client connections to its successor.
    TransferConnections(WorkerId),
    /// Kill the worker's process.
    Kill(WorkerId),
    /// Request a graceful shutdown of the worker.
    Terminate(WorkerId),
    /// Send the upgrade counts to the worker.
    ReportCounts(WorkerId),
    /// Exit the supervisor with the given exit code.
    Exit(i32),
}

/// Reason why an upgrade was rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollbackReason {
    /// The successor's process could not be created.
    StartFailed,
    /// The successor was not ready, or had not loaded the state, within [`UpgradeTimeouts::start`].
    TimedOut,
    /// The successor's process ended.
    Crashed,
    /// The successor sent no heartbeat within [`UpgradeTimeouts::heartbeat`].
    HeartbeatLost,
    /// The successor sent an unreadable message, or uses another protocol version.
    ProtocolError,
    /// The operators requested a shutdown during the upgrade.
    ShutdownRequested,
}

/// Configured time limits of the steps of an upgrade.
#[derive(Clone, Copy, Debug)]
pub struct UpgradeTimeouts {
    /// Time limit for a new worker to get ready, and the same limit again to load its predecessor's state.
    pub start: TimeSpan,
    /// Minimum length of a trial.
    pub trial: TimeSpan,
    /// Maximum time between two heartbeats in a trial.
    pub heartbeat: TimeSpan,
    /// Time limit for the predecessor's own queries in a trial, and the same limit again for the transfer.
    pub drain: TimeSpan,
}

/// Numbers of requested, completed and rolled back upgrades.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpgradeCounts {
    /// Number of upgrades requested by the operators.
    pub requested: u64,
    /// Number of completed upgrades, after which the successor serves.
    pub completed: u64,
    /// Number of upgrades that were rolled back or rejected.
    pub rolled_back: u64,
}

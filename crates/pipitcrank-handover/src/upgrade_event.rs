//! Inputs and outputs of the upgrade state machine.

use pipitcrank_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

/// A worker process, numbered in the order in which workers were started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// What happened to the supervisor or to one of its workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeEvent {
    /// The operators request an upgrade.
    UpgradeRequested,
    /// The operators request a graceful shutdown.
    ShutdownRequested,
    /// The worker's process could not be created.
    StartFailed(WorkerId),
    /// The worker has validated its configuration and could serve.
    Ready(WorkerId),
    /// The worker has loaded its predecessor's state and accepts queries.
    StateLoaded(WorkerId),
    /// The worker sent a heartbeat.
    Heartbeat(WorkerId),
    /// The worker has none of its own queries open.
    Drained(WorkerId),
    /// The worker has transferred all it held.
    HandedOver(WorkerId),
    /// The worker sent an unreadable message, or speaks another protocol version.
    ProtocolError(WorkerId),
    /// The worker's process has ended, with its exit code unless a signal ended it.
    Exited(WorkerId, Option<i32>),
    /// Time has passed.
    Tick,
}

/// What the supervisor is to do, in the order given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeAction {
    /// Start the worker's process.
    Start(WorkerId),
    /// Give the worker the listener, with the request to serve.
    Serve(WorkerId),
    /// Create a link over which the predecessor hands over to the successor.
    Connect {
        /// The worker that hands over.
        predecessor: WorkerId,
        /// The worker that takes over.
        successor: WorkerId,
    },
    /// Notify the worker that the other one is out of the upgrade: it continues alone.
    ContinueAlone(WorkerId),
    /// Have the worker transfer its listener and its clients' connections to its successor.
    TransferConnections(WorkerId),
    /// Kill the worker's process.
    Kill(WorkerId),
    /// Request the worker's graceful shutdown.
    Terminate(WorkerId),
    /// Send the counts of upgrades to the worker.
    ReportCounts(WorkerId),
    /// End the supervisor with this exit code.
    Exit(i32),
}

/// Why an upgrade was rolled back.
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
    /// The successor sent what can't be read.
    ProtocolError,
    /// The operators requested a shutdown meanwhile.
    ShutdownRequested,
}

/// Limits of an upgrade's steps, as the operators set them.
#[derive(Clone, Copy, Debug)]
pub struct UpgradeTimeouts {
    /// For a new worker to get ready, and again to load its predecessor's state.
    pub start: TimeSpan,
    /// Minimum length of a trial.
    pub trial: TimeSpan,
    /// Longest time between two heartbeats in a trial.
    pub heartbeat: TimeSpan,
    /// For the predecessor's own queries in a trial, and again for its last answers during the transfer.
    pub drain: TimeSpan,
}

/// How many upgrades were requested, and what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpgradeCounts {
    /// Requested by the operators.
    pub requested: u64,
    /// Completed: the successor serves.
    pub completed: u64,
    /// Rolled back or refused.
    pub rolled_back: u64,
}

//! Fault kinds of a soak test and their names.

use thiserror::Error;

/// Error for a name that no fault kind has.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unknown fault kind '{name}'; accepted: {accepted}")]
pub struct UnknownFault {
    /// The unknown name.
    name: String,
    /// All accepted names, separated by commas.
    accepted: String,
}

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    Restart,
    RestartSeries,
    Kill,
    Reload,
    Reloads,
    Pause,
    ReplicaHangs,
    ReplicaFails,
    ReplicaResets,
    ReplicaBusy,
    ReplicaGarbles,
    ReplicaSlow,
    ReplicaReplaced,
    Drain,
    LinkStalls,
    LinkBreaks,
    DiscoveryStalls,
    DiscoveryBreaks,
    DiscoveryDown,
    ShortReads,
    ShortWrites,
    Accepts,
    Sockets,
    Connects,
    Interrupts,
    Broken,
    Holds,
    WallSteps,
    Flood,
    Crowd,
    RestartWhileAcceptsFail,
    StartWhileBindsFail,
    ReloadWhileOpensFail,
    StepThenReplace,
}

/// All kinds with their names, which `--only` accepts and the output of a run contains.
pub const FAULT_KINDS: [(FaultKind, &str); 34] = [
    (FaultKind::Restart, "restart"),
    (FaultKind::RestartSeries, "restart-series"),
    (FaultKind::Kill, "kill"),
    (FaultKind::Reload, "reload"),
    (FaultKind::Reloads, "reloads"),
    (FaultKind::Pause, "pause"),
    (FaultKind::ReplicaHangs, "replica-hangs"),
    (FaultKind::ReplicaFails, "replica-fails"),
    (FaultKind::ReplicaResets, "replica-resets"),
    (FaultKind::ReplicaBusy, "replica-busy"),
    (FaultKind::ReplicaGarbles, "replica-garbles"),
    (FaultKind::ReplicaSlow, "replica-slow"),
    (FaultKind::ReplicaReplaced, "replica-replaced"),
    (FaultKind::Drain, "drain"),
    (FaultKind::LinkStalls, "way-stalls"),
    (FaultKind::LinkBreaks, "way-breaks"),
    (FaultKind::DiscoveryStalls, "discovery-stalls"),
    (FaultKind::DiscoveryBreaks, "discovery-breaks"),
    (FaultKind::DiscoveryDown, "discovery-down"),
    (FaultKind::ShortReads, "short-reads"),
    (FaultKind::ShortWrites, "short-writes"),
    (FaultKind::Accepts, "accepts"),
    (FaultKind::Sockets, "sockets"),
    (FaultKind::Connects, "connects"),
    (FaultKind::Interrupts, "interrupts"),
    (FaultKind::Broken, "broken"),
    (FaultKind::Holds, "holds"),
    (FaultKind::WallSteps, "wall-steps"),
    (FaultKind::Flood, "flood"),
    (FaultKind::Crowd, "crowd"),
    (FaultKind::RestartWhileAcceptsFail, "restart-accepts"),
    (FaultKind::StartWhileBindsFail, "start-binds"),
    (FaultKind::ReloadWhileOpensFail, "reload-opens"),
    (FaultKind::StepThenReplace, "step-replace"),
];

impl FaultKind {
    /// Returns the kind with the name.
    ///
    /// # Errors
    ///
    /// If no kind has the name; the error lists the accepted names.
    pub fn from_name(name: &str) -> Result<FaultKind, UnknownFault> {
        match FAULT_KINDS.iter().find(|(_, known)| *known == name) {
            Some((kind, _)) => Ok(*kind),
            None => {
                let names: Vec<&str> = FAULT_KINDS.iter().map(|(_, name)| *name).collect();
                Err(UnknownFault { name: name.to_string(), accepted: names.join(", ") })
            }
        }
    }

    /// Name of the kind, as `--only` accepts it.
    pub fn name(self) -> &'static str {
        FAULT_KINDS.iter().find(|(kind, _)| *kind == self).map_or("", |(_, name)| name)
    }

    /// Whether the output names a replica as the target; otherwise it names a process.
    pub fn targets_replica(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            ReplicaHangs
                | ReplicaFails
                | ReplicaResets
                | ReplicaBusy
                | ReplicaGarbles
                | ReplicaSlow
                | ReplicaReplaced
                | Drain
                | LinkStalls
                | LinkBreaks
        )
    }
}

//! Kinds of faults of a soak test, and their names.

use thiserror::Error;

/// A name that no kind of fault has.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no trouble is named '{name}'; accepted: {accepted}")]
pub struct UnknownFault {
    /// The name.
    name: String,
    /// All names, with commas between them.
    accepted: String,
}

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    Restart,
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
    RestartWhileAcceptsFail,
    StartWhileBindsFail,
    ReloadWhileOpensFail,
    StepThenReplace,
}

/// All kinds with the names that `--only` takes and that the log of a run prints.
pub const FAULT_KINDS: [(FaultKind, &str); 32] = [
    (FaultKind::Restart, "restart"),
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
    (FaultKind::RestartWhileAcceptsFail, "restart-accepts"),
    (FaultKind::StartWhileBindsFail, "start-binds"),
    (FaultKind::ReloadWhileOpensFail, "reload-opens"),
    (FaultKind::StepThenReplace, "step-replace"),
];

impl FaultKind {
    /// The kind of that name.
    ///
    /// # Errors
    ///
    /// That no kind has it, with the names that are accepted.
    pub fn named(name: &str) -> Result<FaultKind, UnknownFault> {
        match FAULT_KINDS.iter().find(|(_, known)| *known == name) {
            Some((kind, _)) => Ok(*kind),
            None => {
                let names: Vec<&str> = FAULT_KINDS.iter().map(|(_, name)| *name).collect();
                Err(UnknownFault { name: name.to_string(), accepted: names.join(", ") })
            }
        }
    }

    /// The name that `--only` takes.
    pub fn name(self) -> &'static str {
        FAULT_KINDS.iter().find(|(kind, _)| *kind == self).map_or("", |(_, name)| name)
    }

    /// Whether it happens to a replica; the others happen to a process.
    pub fn is_of_replica(self) -> bool {
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

//! Reasons for the end of a connection, and the resulting outcomes of the attempts and load probes on it.

use pipitcrank_core::ids::AttemptOutcome;

/// Reason for the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection could not be opened, for example because the peer refused it.
    Refused,
    /// The connection was not established within the connect timeout.
    ConnectTimeout,
    /// The connection was not opened because this process has reached its connection limit.
    LimitReached,
    /// This side closed the connection for lack of memory for what it received.
    OutOfMemory,
    /// The peer closed the connection.
    Closed,
    /// The connection was reset, or a read or write on it failed.
    Reset,
    /// The peer violated the protocol.
    ProtocolError,
    /// The peer rejected a frame.
    RejectedByPeer,
    /// Nothing was received within the time limit for silence.
    Silent,
    /// This side closed the connection after the idle timeout, which is shorter than the peer's.
    Idle,
    /// This side closed the connection because it was no longer needed.
    NotNeeded,
    /// The descriptor of the connection was passed to another process, which continues the connection.
    HandedOver,
}

impl ConnectionEnd {
    /// Name of the reason in `/counters` and logs.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::Refused => "refused",
            ConnectionEnd::ConnectTimeout => "never_up",
            ConnectionEnd::LimitReached => "no_socket",
            ConnectionEnd::OutOfMemory => "no_memory",
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Reset => "reset",
            ConnectionEnd::ProtocolError => "bad_bytes",
            ConnectionEnd::RejectedByPeer => "complaint",
            ConnectionEnd::Silent => "silent",
            ConnectionEnd::Idle => "idle",
            ConnectionEnd::NotNeeded => "let_go",
            ConnectionEnd::HandedOver => "passed",
        }
    }

    /// Whether this side closed the connection.
    pub fn is_local(self) -> bool {
        matches!(
            self,
            ConnectionEnd::ProtocolError
                | ConnectionEnd::OutOfMemory
                | ConnectionEnd::Silent
                | ConnectionEnd::Idle
                | ConnectionEnd::NotNeeded
        )
    }

    /// Outcome of an attempt on the connection. `written`: whether its frame was written completely; otherwise the
    /// attempt cannot have run.
    pub fn attempt_outcome(self, written: bool) -> AttemptOutcome {
        if written { AttemptOutcome::Disconnected } else { AttemptOutcome::Unreachable }
    }

    /// Outcome of a load probe on the connection. The replica counts as unreachable only if the connection was never
    /// established.
    pub fn probe_outcome(self) -> AttemptOutcome {
        let was_up = !matches!(
            self,
            ConnectionEnd::Refused | ConnectionEnd::ConnectTimeout | ConnectionEnd::LimitReached
        );
        self.attempt_outcome(was_up)
    }
}

/// Outcome for a status in a replica's frame; `None` for a status that is not part of the protocol.
pub fn outcome_from_wire(status: &str) -> Option<AttemptOutcome> {
    match status {
        "ok" => Some(AttemptOutcome::Success),
        "err" => Some(AttemptOutcome::Fault),
        "busy" => Some(AttemptOutcome::NoCapacity),
        _ => None,
    }
}

/// Name of an outcome in `/counters` and logs.
pub fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Success => "pass",
        AttemptOutcome::Fault => "fault",
        AttemptOutcome::NoCapacity => "no_room",
        AttemptOutcome::TimedOut => "too_slow",
        AttemptOutcome::Unreachable => "no_route",
        AttemptOutcome::Disconnected => "cut",
        AttemptOutcome::Cancelled => "undone",
        AttemptOutcome::NeverSent => "stale",
    }
}

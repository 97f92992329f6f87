//! How connections end, and what that means for the attempts on them: defined here and nowhere else.

use pipitcrank_core::ids::AttemptOutcome;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer refused it.
    Refused,
    /// It was not up within the connect timeout.
    ConnectTimeout,
    /// It was not opened: this process holds as many connections as it may.
    LimitReached,
    /// The peer closed it in order.
    Closed,
    /// It broke.
    Reset,
    /// The peer sent what the protocol does not allow.
    ProtocolError,
    /// The peer could not use what was sent.
    RejectedByPeer,
    /// Nothing came for longer than the peer may be silent.
    Silent,
    /// Closed by this side: idle for nearly as long as the peer keeps it.
    Idle,
    /// Closed by this side: it is not needed any more.
    NotNeeded,
    /// It continues at another process, which has its descriptor.
    HandedOver,
}

impl ConnectionEnd {
    /// Its name in `/counters` and logs.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::Refused => "refused",
            ConnectionEnd::ConnectTimeout => "never_up",
            ConnectionEnd::LimitReached => "no_socket",
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

    /// Whether this side closed it.
    pub fn is_local(self) -> bool {
        matches!(
            self,
            ConnectionEnd::ProtocolError
                | ConnectionEnd::Silent
                | ConnectionEnd::Idle
                | ConnectionEnd::NotNeeded
        )
    }

    /// Outcome of an attempt on it. An attempt can't have run before its frame was `written` whole.
    pub fn attempt_outcome(self, written: bool) -> AttemptOutcome {
        if written { AttemptOutcome::Disconnected } else { AttemptOutcome::Unreachable }
    }

    /// Outcome of a load probe on it. Only a connection that never came up shows that the replica is unreachable.
    pub fn probe_outcome(self) -> AttemptOutcome {
        let was_up = !matches!(
            self,
            ConnectionEnd::Refused | ConnectionEnd::ConnectTimeout | ConnectionEnd::LimitReached
        );
        self.attempt_outcome(was_up)
    }
}

/// Outcome of a part by the replica's word for it; none for a word that the protocol does not know.
pub fn outcome_from_wire(word: &str) -> Option<AttemptOutcome> {
    match word {
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

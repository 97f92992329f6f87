//! How things end on the network: every way in which a connection can end is one value of one type, and what
//! that means for a attempt is said here and nowhere else.

use pipitcrank_core::ids::AttemptOutcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The other side would not have it.
    Refused,
    /// Not up within the time told for it.
    NeverUp,
    /// None was opened: our own share of sockets is used up.
    NoSocket,
    /// The other side closed it in order.
    Closed,
    /// It broke.
    Reset,
    /// The other side sent what the protocol does not know.
    BadBytes,
    /// The other side could not use what we sent.
    Complaint,
    /// Nothing came for longer than the other side may be silent.
    Silent,
    /// We closed it: idle for nearly as long as the other side keeps it.
    Idle,
    /// We closed it: the other side is not needed any more.
    LetGo,
    /// It goes on at another process, which has its descriptor.
    Passed,
}

impl ConnectionEnd {
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::Refused => "refused",
            ConnectionEnd::NeverUp => "never_up",
            ConnectionEnd::NoSocket => "no_socket",
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Reset => "reset",
            ConnectionEnd::BadBytes => "bad_bytes",
            ConnectionEnd::Complaint => "complaint",
            ConnectionEnd::Silent => "silent",
            ConnectionEnd::Idle => "idle",
            ConnectionEnd::LetGo => "let_go",
            ConnectionEnd::Passed => "passed",
        }
    }

    /// Whether we ended it, for a reason of ours.
    pub fn is_ours(self) -> bool {
        matches!(
            self,
            ConnectionEnd::BadBytes | ConnectionEnd::Silent | ConnectionEnd::Idle | ConnectionEnd::LetGo
        )
    }

    /// What it means for a attempt on it. Until its frame is written whole a call can't have run.
    pub fn outcome(self, written: bool) -> AttemptOutcome {
        if written { AttemptOutcome::Disconnected } else { AttemptOutcome::Unreachable }
    }

    /// What it means for a probe on it. Guards against a replica held to be out of reach because it closed a connection
    /// that was up: only one that never came up tells that.
    pub fn of_probe(self) -> AttemptOutcome {
        let up = !matches!(self, ConnectionEnd::Refused | ConnectionEnd::NeverUp | ConnectionEnd::NoSocket);
        self.outcome(up)
    }
}

/// The replica's own words for how a part ended.
pub fn outcome_from_wire(word: &str) -> Option<AttemptOutcome> {
    match word {
        "ok" => Some(AttemptOutcome::Success),
        "err" => Some(AttemptOutcome::Fault),
        "busy" => Some(AttemptOutcome::NoCapacity),
        _ => None,
    }
}

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

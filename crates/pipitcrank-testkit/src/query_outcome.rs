//! How a query ended, as its client saw it.

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryOutcome {
    /// Answered, with all parts.
    Complete,
    /// Answered, with some parts missing.
    Partial,
    /// 503: harmless to repeat.
    Rejected,
    /// 500: given up after work was begun.
    Aborted,
    /// Another status: a fault of the stand-in client or of the coordinator.
    UnexpectedStatus(u16),
    /// The connection could not be opened.
    ConnectionRefused,
    /// The connection ended without an answer, or none came in time.
    Lost,
}

impl QueryOutcome {
    /// Whether the client got an answer that it can use.
    pub(crate) fn is_answered(self) -> bool {
        matches!(self, QueryOutcome::Complete | QueryOutcome::Partial)
    }
}

/// The spelling that the trials' promises print; staff match on it.
impl std::fmt::Display for QueryOutcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            QueryOutcome::Complete => f.write_str("Merged"),
            QueryOutcome::Partial => f.write_str("MergedInPart"),
            QueryOutcome::Rejected => f.write_str("Rejected"),
            QueryOutcome::Aborted => f.write_str("Aborted"),
            QueryOutcome::UnexpectedStatus(status) => write!(f, "Odd({status})"),
            QueryOutcome::ConnectionRefused => f.write_str("Refused"),
            QueryOutcome::Lost => f.write_str("Lost"),
        }
    }
}

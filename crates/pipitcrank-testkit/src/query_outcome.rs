//! Outcome of a query as observed by its client.

/// Outcome of a query as observed by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryOutcome {
    /// Answered with all parts.
    Complete,
    /// Answered with some parts missing.
    Partial,
    /// Rejected with status 503; the query may safely be repeated.
    Rejected,
    /// Aborted with status 500 after some work had started.
    Aborted,
    /// Answered with another status: a fault of the stand-in client or of the co-ordinator.
    UnexpectedStatus(u16),
    /// The connection could not be opened.
    ConnectionRefused,
    /// The connection ended without an answer, or none came in time.
    Lost,
}

impl QueryOutcome {
    /// Whether the client got a usable answer.
    pub(crate) fn is_answered(self) -> bool {
        matches!(self, QueryOutcome::Complete | QueryOutcome::Partial)
    }
}

/// The spelling printed in the broken expectations of trials; operators' scripts match it.
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

//! Reasons for attempts that were not sent and for parts that are sent again.
//!
//! The reasons for the end of a connection are in `replicas/connection_end.rs`, those for a rejected query in the core
//! (`ids::RejectReason`).

use pipitcrank_core::ids::{AttemptDenied, AttemptOutcome};

/// Reason for dropping an attempt just before its first byte was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenied {
    /// The query has ended.
    QueryEnded,
    /// The client has closed its connection.
    ClientClosed,
    /// The replica is draining or no longer listed.
    ReplicaDrained,
    /// The query's deadline has passed.
    DeadlinePassed,
    /// An earlier attempt may have run, so that a retry is not safe now.
    RepeatForbidden,
    /// Other retries have used up the retry budget since the decision.
    BudgetSpent,
}

impl From<AttemptDenied> for SendDenied {
    fn from(denied: AttemptDenied) -> SendDenied {
        match denied {
            AttemptDenied::RepeatForbidden => SendDenied::RepeatForbidden,
            AttemptDenied::RetryBudgetSpent => SendDenied::BudgetSpent,
        }
    }
}

impl SendDenied {
    /// Name of the reason in `/counters` and logs.
    pub fn name(self) -> &'static str {
        match self {
            SendDenied::QueryEnded => "query_ended",
            SendDenied::ClientClosed => "client_closed",
            SendDenied::ReplicaDrained => "replica_drained",
            SendDenied::DeadlinePassed => "time_over",
            SendDenied::RepeatForbidden => "repeat_forbidden",
            SendDenied::BudgetSpent => "budget_spent",
        }
    }
}

/// Reason for sending a part again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendReason {
    /// Hedged request, because an earlier attempt is outstanding and overdue.
    Hedge,
    /// Retry after an attempt with this outcome.
    After(AttemptOutcome),
}

impl ResendReason {
    /// Name of the reason in `/counters` and logs.
    pub fn name(self) -> &'static str {
        match self {
            ResendReason::Hedge => "hedge",
            ResendReason::After(AttemptOutcome::Fault) => "after_fault",
            ResendReason::After(AttemptOutcome::NoCapacity) => "after_no_room",
            ResendReason::After(AttemptOutcome::TimedOut) => "after_too_slow",
            ResendReason::After(AttemptOutcome::Unreachable) => "after_no_route",
            ResendReason::After(AttemptOutcome::Disconnected) => "after_cut",
            ResendReason::After(AttemptOutcome::Cancelled) => "after_undone",
            ResendReason::After(AttemptOutcome::NeverSent) => "after_stale",
            ResendReason::After(AttemptOutcome::Success) => "after_pass",
        }
    }
}

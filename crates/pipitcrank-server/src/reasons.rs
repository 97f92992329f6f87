//! Typed reasons of what is no plain success: why an attempt was not sent, why a part is sent again.
//!
//! Why a connection ended is in `replicas/connection_end.rs`, why a query was refused in the core (`ids::RejectReason`).

use pipitcrank_core::ids::{AttemptDenied, AttemptOutcome};

/// Why an attempt was dropped just before its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenied {
    /// Its query has ended.
    QueryEnded,
    /// Its client has closed.
    ClientClosed,
    /// Its replica drains or is gone.
    ReplicaDrained,
    /// Its deadline has passed.
    DeadlinePassed,
    /// An earlier attempt may have run, and this one may not follow it now.
    RepeatForbidden,
    /// Retries sent meanwhile have used the retry budget up.
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
    /// Its name in `/counters` and logs.
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

/// Why a part is sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendReason {
    /// A hedged request: an earlier attempt is in flight and overdue.
    Hedge,
    /// A retry after an attempt that ended so.
    After(AttemptOutcome),
}

impl ResendReason {
    /// Its name in `/counters` and logs.
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

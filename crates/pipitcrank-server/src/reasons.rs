//! Typed reasons for what is not a plain success: why a call was not sent, why a part goes again. Why a connection ended
//! is in `replicas/connection_end.rs`, why a query was refused in the core (`ids::RejectReason`).

use pipitcrank_core::ids::{AttemptDenied, AttemptOutcome};

/// Why a call was dropped at the last look before its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenied {
    /// Its query has ended.
    QueryEnded,
    /// Its client has closed.
    ClientClosed,
    /// Its replica was told draining or gone.
    ReplicaDrained,
    /// Nobody waits for it any more.
    TimeOver,
    /// An earlier attempt may have run, and this one may not follow it now.
    RepeatForbidden,
    /// Further attempts that went out meanwhile have used the budget up.
    BudgetSpent,
}

impl From<AttemptDenied> for SendDenied {
    fn from(barred: AttemptDenied) -> SendDenied {
        match barred {
            AttemptDenied::RepeatForbidden => SendDenied::RepeatForbidden,
            AttemptDenied::RetryBudgetSpent => SendDenied::BudgetSpent,
        }
    }
}

impl SendDenied {
    pub fn name(self) -> &'static str {
        match self {
            SendDenied::QueryEnded => "query_ended",
            SendDenied::ClientClosed => "client_closed",
            SendDenied::ReplicaDrained => "replica_drained",
            SendDenied::TimeOver => "time_over",
            SendDenied::RepeatForbidden => "repeat_forbidden",
            SendDenied::BudgetSpent => "budget_spent",
        }
    }
}

/// Why a part is sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendReason {
    /// An earlier attempt is out and overdue.
    Hedge,
    /// The last attempt ended so.
    After(AttemptOutcome),
}

impl ResendReason {
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

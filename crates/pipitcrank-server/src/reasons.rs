//! Typed reasons for what is not a plain success: why a call was not sent, why a part goes again. Why a connection ended
//! is in `replicas/connection_end.rs`, why a query was refused in the core (`ids::RejectReason`).

use pipitcrank_core::ids::{AttemptDenied, AttemptOutcome};

/// Why a call was dropped at the last look before its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
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

impl From<AttemptDenied> for NotSent {
    fn from(barred: AttemptDenied) -> NotSent {
        match barred {
            AttemptDenied::RepeatForbidden => NotSent::RepeatForbidden,
            AttemptDenied::RetryBudgetSpent => NotSent::BudgetSpent,
        }
    }
}

impl NotSent {
    pub fn name(self) -> &'static str {
        match self {
            NotSent::QueryEnded => "query_ended",
            NotSent::ClientClosed => "client_closed",
            NotSent::ReplicaDrained => "replica_drained",
            NotSent::TimeOver => "time_over",
            NotSent::RepeatForbidden => "repeat_forbidden",
            NotSent::BudgetSpent => "budget_spent",
        }
    }
}

/// Why a part is sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    /// An earlier attempt is out and overdue.
    Hedge,
    /// The last attempt ended so.
    After(AttemptOutcome),
}

impl Again {
    pub fn name(self) -> &'static str {
        match self {
            Again::Hedge => "hedge",
            Again::After(AttemptOutcome::Fault) => "after_fault",
            Again::After(AttemptOutcome::NoCapacity) => "after_no_room",
            Again::After(AttemptOutcome::TimedOut) => "after_too_slow",
            Again::After(AttemptOutcome::Unreachable) => "after_no_route",
            Again::After(AttemptOutcome::Disconnected) => "after_cut",
            Again::After(AttemptOutcome::Cancelled) => "after_undone",
            Again::After(AttemptOutcome::NeverSent) => "after_stale",
            Again::After(AttemptOutcome::Success) => "after_pass",
        }
    }
}

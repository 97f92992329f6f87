//! Typed reasons for what is not a plain success: why a call was not sent, why a part goes again. Why a connection ended
//! is in `ends.rs`, why a query was refused in the core (`ids::Refusal`).

use pipitcrank_core::ids::{Barred, Ending};

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

impl From<Barred> for NotSent {
    fn from(barred: Barred) -> NotSent {
        match barred {
            Barred::Repeat => NotSent::RepeatForbidden,
            Barred::Budget => NotSent::BudgetSpent,
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
    After(Ending),
}

impl Again {
    pub fn name(self) -> &'static str {
        match self {
            Again::Hedge => "hedge",
            Again::After(Ending::Fault) => "after_fault",
            Again::After(Ending::NoRoom) => "after_no_room",
            Again::After(Ending::TooSlow) => "after_too_slow",
            Again::After(Ending::NoRoute) => "after_no_route",
            Again::After(Ending::Cut) => "after_cut",
            Again::After(Ending::Undone) => "after_undone",
            Again::After(Ending::Stale) => "after_stale",
            Again::After(Ending::Pass) => "after_pass",
        }
    }
}

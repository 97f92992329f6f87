//! Small indices for what the outside names at length. The door that hands them out may use an index again
//! once the module has let go of it (`Port::let_go_*`).

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u32);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestClassId(pub u16);

/// One attempt at a part: attempts of a part are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part that was sent.
    pub part: PartId,
    /// 0 for the first attempt of the part.
    pub number: u32,
}

/// How an attempt ended, as reported by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Success,
    Fault,
    NoCapacity,
    TimedOut,
    Unreachable,
    Disconnected,
    Cancelled,
    NeverSent,
}

/// Why a call that was decided may not begin after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenied {
    /// An earlier attempt may have run, and this one may not follow it now (rule 2).
    RepeatForbidden,
    /// Further attempts that went out meanwhile have used the budget up (rule 6).
    RetryBudgetSpent,
}

/// Why a query ended without an answer from its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its share is turned away: the zones left can't carry it.
    ZoneOverCapacity,
    /// No replica could take its first calls within its patience.
    NoReplicaInTime,
    /// Its client's time is all but over.
    DeadlineExceeded,
    /// Its SLO time is over, and a late answer earns nothing.
    ObjectiveMissed,
    /// The parts that can still come in do not reach an answer.
    AnswerUnreachable,
}

impl RejectReason {
    /// Its word in counters and logs.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::ZoneOverCapacity => "turned_away",
            RejectReason::NoReplicaInTime => "no_leaf_in_time",
            RejectReason::DeadlineExceeded => "time_over",
            RejectReason::ObjectiveMissed => "late_is_worthless",
            RejectReason::AnswerUnreachable => "no_hope",
        }
    }
}

/// What a second run of a part would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    IdempotentByKey,
    NonIdempotent,
}

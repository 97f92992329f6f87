//! Small indices for what the caller names at length, and the outcomes and reasons that both sides share. The caller may
//! use an index again once it is released (`CoordinatorOutput::release_*`).

/// A query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u32);

/// A part of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u32);

/// A replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u32);

/// A request class, by its index in the configuration.
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

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered.
    Success,
    /// The replica answered with an error.
    Fault,
    /// The replica rejected it for lack of capacity; it did not run.
    NoCapacity,
    /// Not answered in time.
    TimedOut,
    /// No connection could be made; it did not run.
    Unreachable,
    /// The connection was closed before the answer.
    Disconnected,
    /// Cancelled by the coordinator.
    Cancelled,
    /// It did not go out.
    NeverSent,
}

/// Why an attempt that was decided may not begin after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenied {
    /// An earlier attempt may have run, and this one may not follow it now (rule 6).
    RepeatForbidden,
    /// Retries that went out meanwhile have spent the budget (rule 11).
    RetryBudgetSpent,
}

/// Why a query ended without an answer from its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// It was shed: the zones left can't carry the load.
    ZoneOverCapacity,
    /// No replica could take its first attempts in time.
    NoReplicaInTime,
    /// Its deadline has all but passed.
    DeadlineExceeded,
    /// Its latency objective has passed, and a late answer earns nothing.
    ObjectiveMissed,
    /// The parts that can still be answered do not reach an answer.
    AnswerUnreachable,
}

impl RejectReason {
    /// Its name in counters and logs.
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
    /// No harm.
    Idempotent,
    /// No harm while the replicas recognise it by its key.
    IdempotentByKey,
    /// An effect may happen twice.
    NonIdempotent,
}

//! Small indices that stand for external names, and the outcomes and reasons shared with the caller. The
//! caller may reuse an index once it is released (`CoordinatorOutput::release_*`).

/// Index of a query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u32);

/// Index of a part of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u32);

/// Index of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u32);

/// Index of a request class in the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestClassId(pub u16);

/// One attempt of a part. The attempts of a part are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Part that the attempt belongs to.
    pub part: PartId,
    /// Number of the attempt; 0 is the first.
    pub number: u32,
}

/// Outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The replica answered.
    Success,
    /// The replica answered with an error.
    Fault,
    /// The replica rejected the attempt for lack of capacity, without running it.
    NoCapacity,
    /// No answer arrived in time.
    TimedOut,
    /// No connection could be established, so the attempt did not run.
    Unreachable,
    /// The connection was closed before the answer.
    Disconnected,
    /// The co-ordinator cancelled the attempt.
    Cancelled,
    /// The attempt was not sent.
    NeverSent,
}

/// Reason why an attempt that was already decided may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenied {
    /// An earlier attempt may have run, and a repeat is not permitted now (rule 6).
    RepeatForbidden,
    /// Retries sent since the decision have used up the budget (rule 11).
    RetryBudgetSpent,
}

/// Reason why a query ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The query was shed because the remaining zones cannot carry the load.
    ZoneOverCapacity,
    /// No replica could accept the first attempts of the query in time.
    NoReplicaInTime,
    /// The deadline of the query is about to pass.
    DeadlineExceeded,
    /// The latency objective of the query has passed, and a late answer earns nothing.
    ObjectiveMissed,
    /// The parts that can still be answered are not enough for an answer.
    AnswerUnreachable,
}

impl RejectReason {
    /// Returns the name used in counters and logs.
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

/// Effect of running a part twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run is harmless.
    Idempotent,
    /// A second run is harmless while the replicas still recognise the idempotency key.
    IdempotentByKey,
    /// A second run may repeat the effect.
    NonIdempotent,
}

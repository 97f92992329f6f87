//! Queries that are open, their parts, and the attempts of these.

use super::zones::ZoneId;
use crate::ids::{PartId, QueryId, ReplicaId, RequestClassId};
use crate::time::Timestamp;

/// One attempt of a part.
pub(super) struct AttemptRecord {
    pub(super) replica: ReplicaId,
    pub(super) sent_at: Timestamp,
    /// When the retry budget counts it: as it was decided, or as it went out.
    pub(super) counted_at: Timestamp,
    pub(super) is_outstanding: bool,
    /// It has ended, and certainly without any effect.
    pub(super) never_ran: bool,
}

/// One part of a query.
#[derive(Default)]
pub(super) struct PartState {
    pub(super) query: QueryId,
    pub(super) class: RequestClassId,
    pub(super) shard: u32,
    /// Its fraction of the whole answer.
    pub(super) weight: f64,
    /// Seconds of work that it is expected to take.
    pub(super) work: f64,
    pub(super) attempts: Vec<AttemptRecord>,
    /// It is to be placed by the next dispatch pass.
    pub(super) is_waiting: bool,
    /// It is answered, or its query has ended.
    pub(super) is_done: bool,
    /// Attempts that another site made for it, or may make.
    pub(super) remote_attempts: u32,
}

impl PartState {
    pub(super) fn attempt_count(&self) -> u32 {
        self.attempts.len() as u32 + self.remote_attempts
    }

    pub(super) fn outstanding_count(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_outstanding).count()
    }

    /// Whether none of its attempts can have had an effect.
    pub(super) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.never_ran)
    }

    pub(super) fn was_sent_to(&self, replica: ReplicaId) -> bool {
        self.attempts.iter().any(|a| a.replica == replica)
    }

    pub(super) fn is_outstanding_at(&self, replica: ReplicaId) -> bool {
        self.attempts.iter().any(|a| a.replica == replica && a.is_outstanding)
    }
}

/// The step that a query is in.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum QueryStep {
    #[default]
    First,
    /// After the first was answered, with further parts.
    Second,
}

/// A query without its final answer.
#[derive(Default)]
pub(super) struct OpenQuery {
    /// Tells queries apart that had the same id one after another.
    pub(super) serial: u64,
    pub(super) class: RequestClassId,
    pub(super) arrived: Timestamp,
    /// End of the latency objective.
    pub(super) objective_at: Timestamp,
    /// From then on a partial answer is given: it needs some time to arrive by the objective.
    pub(super) answer_by: Timestamp,
    /// The client's deadline.
    pub(super) deadline: Timestamp,
    /// Hinted work of a mean part, in the unit of the hints.
    pub(super) mean_part_hint: Option<f64>,
    /// Work relative to a usual query of the request class.
    pub(super) relative_work: f64,
    pub(super) parts: Vec<PartId>,
    pub(super) answered_weight: f64,
    pub(super) answered_parts: usize,
    pub(super) step: QueryStep,
    pub(super) is_first_step_complete: bool,
    /// The zone that it is routed to, where zones are regarded.
    pub(super) zone: Option<ZoneId>,
    /// Forwarded by another site: the retries left of those delegated with it.
    pub(super) delegated_retries: Option<u32>,
}

/// A query some part of which may have to be placed; ordered by age.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingQuery {
    pub(super) serial: u64,
    pub(super) query: QueryId,
}

/// What the end of an attempt is handled with.
#[derive(Clone, Copy)]
pub(super) struct AttemptContext {
    pub(super) replica: ReplicaId,
}

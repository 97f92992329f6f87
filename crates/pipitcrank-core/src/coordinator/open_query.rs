//! Open queries, their parts, and the attempts of those parts.

use super::zones::ZoneId;
use crate::ids::{PartId, QueryId, ReplicaId, RequestClassId};
use crate::time::Timestamp;

/// One attempt of a part.
pub(super) struct AttemptRecord {
    pub(super) replica: ReplicaId,
    pub(super) sent_at: Timestamp,
    /// Time at which the retry budget counts the attempt: when it was decided, or when it was sent.
    pub(super) counted_at: Timestamp,
    pub(super) is_outstanding: bool,
    /// Whether the attempt has ended without running at the replica.
    pub(super) never_ran: bool,
}

/// One part of a query.
#[derive(Default)]
pub(super) struct PartState {
    pub(super) query: QueryId,
    pub(super) class: RequestClassId,
    pub(super) shard: u32,
    /// Weight of the part as a fraction of the whole answer.
    pub(super) weight: f64,
    /// Expected work of the part, in seconds.
    pub(super) work: f64,
    pub(super) attempts: Vec<AttemptRecord>,
    /// Whether the part waits for placement in the next dispatch pass.
    pub(super) is_waiting: bool,
    /// Whether the part is answered or its query has ended.
    pub(super) is_done: bool,
    /// Number of attempts that another site has made or may make for this part.
    pub(super) remote_attempts: u32,
}

impl PartState {
    pub(super) fn attempt_count(&self) -> u32 {
        self.attempts.len() as u32 + self.remote_attempts
    }

    pub(super) fn outstanding_count(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_outstanding).count()
    }

    /// Returns whether no attempt of the part has run at a replica.
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

/// Current step of a query.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum QueryStep {
    #[default]
    First,
    /// The second step, which follows the answer to the first with further parts.
    Second,
}

/// A query without a final answer.
#[derive(Default)]
pub(super) struct OpenQuery {
    /// Distinguishes queries that used the same id one after another.
    pub(super) serial: u64,
    pub(super) class: RequestClassId,
    pub(super) arrived: Timestamp,
    /// End of the latency objective.
    pub(super) objective_at: Timestamp,
    /// Time from which a partial answer is given. It lies before the objective, so that the answer arrives in
    /// time.
    pub(super) answer_by: Timestamp,
    /// Deadline of the client.
    pub(super) deadline: Timestamp,
    /// Hinted work per part, averaged over the parts, in the unit of the hints.
    pub(super) mean_part_hint: Option<f64>,
    /// Work relative to a typical query of the request class.
    pub(super) relative_work: f64,
    pub(super) parts: Vec<PartId>,
    pub(super) answered_weight: f64,
    pub(super) answered_parts: usize,
    pub(super) step: QueryStep,
    pub(super) is_first_step_complete: bool,
    /// Zone that the query is routed to, if zones are configured.
    pub(super) zone: Option<ZoneId>,
    /// Number of delegated retries that remain, if the query was forwarded by another site.
    pub(super) delegated_retries: Option<u32>,
}

/// A query that may have waiting parts. Ordered by arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingQuery {
    pub(super) serial: u64,
    pub(super) query: QueryId,
}

/// State needed when an attempt ends.
#[derive(Clone, Copy)]
pub(super) struct AttemptContext {
    pub(super) replica: ReplicaId,
}

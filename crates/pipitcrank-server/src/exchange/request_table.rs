//! The exchange's tables of queries, parts, replicas and attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use pipitcrank_core::ids::{AttemptId, AttemptOutcome, ReplicaId, RequestClassId};
use pipitcrank_core::interner::Interner;
use pipitcrank_core::time::Timestamp;

use super::attempt_handle::{AttemptHandle, PartIds};
use super::query::{DelegatedRequest, ResponseSink};
use super::recent_queries::RecentQueries;
use crate::audit::Audit;
use crate::runtime::counters::Counters;
use crate::runtime::memory_budget::Reservation;

pub(super) struct OpenQuery {
    pub(super) ticket: u64,
    /// Sink for the final answer; `None` once the query is answered.
    pub(super) response: Option<Box<dyn ResponseSink>>,
    /// Part indices, in the order of the request.
    pub(super) parts: Vec<u32>,
    pub(super) class: RequestClassId,
    pub(super) idempotency_key: Option<Arc<str>>,
    pub(super) delegated: Option<DelegatedRequest>,
    /// Memory reserved for the query; held until its release.
    pub(super) _memory: Reservation,
    /// Whether an attempt passed the send guard and the query was not rejected as never run.
    pub(super) may_have_run: bool,
    /// Whether a second run of the query may repeat its effect.
    pub(super) is_repeatable: bool,
}

pub(super) struct OpenPart {
    pub(super) id: Rc<str>,
    /// Index of its query; `None` once the query is released, since the index may be reused while an attempt at this
    /// part is outstanding.
    pub(super) query: Option<u32>,
    pub(super) shard: u32,
    pub(super) weight: f64,
    pub(super) work: Option<f64>,
    pub(super) text: Arc<str>,
    pub(super) value: Option<String>,
    /// Memory reserved for a long value.
    pub(super) value_memory: Option<Reservation>,
    /// Number of attempts started.
    pub(super) attempts: u32,
    /// Outcome of the attempt that ended last.
    pub(super) last_outcome: Option<AttemptOutcome>,
}

pub(super) struct ReplicaEntry {
    /// Distinguishes the replica from all others that have had its id.
    pub(super) generation: u64,
    pub(super) address: Option<SocketAddr>,
    pub(super) cell: u32,
    pub(super) zone: Option<String>,
    pub(super) started: Option<Timestamp>,
    /// Number of the remote site whose cell this entry represents; `None` for a local replica.
    pub(super) site: Option<u16>,
    /// Time at which the endpoint list first marked the replica as draining or omitted it; `None` while it is up.
    pub(super) down_since: Option<Timestamp>,
}

impl ReplicaEntry {
    pub(super) fn is_local(&self) -> bool {
        self.site.is_none()
    }
}

pub(super) struct OutstandingAttempt {
    pub(super) generation: u64,
    pub(super) replica: ReplicaId,
    pub(super) deadline: Timestamp,
    /// Whether the attempt has passed the send guard. Its frame is then being written or already written.
    pub(super) authorized: bool,
}

/// Commands of the `Coordinator`, executed at the end of the batch.
pub(super) enum Command {
    SendAttempt(ReplicaId, AttemptHandle),
    CancelAttempt(ReplicaId, AttemptHandle),
    SendLoadProbe(ReplicaId),
    SetAddress(ReplicaId, SocketAddr),
    RemoveReplica(ReplicaId),
}

/// Tables by index. An entry is removed when the `Coordinator` releases it.
#[derive(Default)]
pub(super) struct RequestTable {
    pub(super) query_ids: Interner,
    pub(super) part_ids: Interner,
    pub(super) replica_uids: Interner,
    pub(super) queries: BTreeMap<u32, OpenQuery>,
    pub(super) parts: BTreeMap<u32, OpenPart>,
    pub(super) replicas: BTreeMap<u32, ReplicaEntry>,
    /// Query index by ticket.
    pub(super) tickets: BTreeMap<u64, u32>,
    pub(super) outstanding: BTreeMap<AttemptId, OutstandingAttempt>,
    /// Deadlines of the outstanding attempts.
    pub(super) attempt_deadlines: BTreeSet<(Timestamp, AttemptId)>,
    /// The `Coordinator`'s timers with their labels; removed as they fire.
    pub(super) timers: BTreeSet<(Timestamp, u64)>,
    /// Ended queries whose ids are not admitted again.
    pub(super) recent: RecentQueries,
    pub(super) commands: Vec<Command>,
    pub(super) counters: Counters,
    /// The run-time audit, if enabled.
    pub(super) audit: Option<Audit>,
    pub(super) now: Timestamp,
    pub(super) last_generation: u64,
}

impl PartIds for RequestTable {
    fn part_id(&self, attempt: AttemptHandle) -> Rc<str> {
        self.parts[&attempt.id.part.0].id.clone()
    }
}

impl RequestTable {
    /// Returns a number that no other attempt or replica of this process has had.
    pub(super) fn next_generation(&mut self) -> u64 {
        self.last_generation += 1;
        self.last_generation
    }

    /// Handle of the outstanding attempt that has this id now.
    pub(super) fn handle(&self, id: AttemptId) -> Option<AttemptHandle> {
        self.outstanding.get(&id).map(|entry| AttemptHandle { id, generation: entry.generation })
    }

    /// The entry of the attempt; `None` if it has ended, even if another attempt has its id now.
    pub(super) fn outstanding(&self, attempt: AttemptHandle) -> Option<&OutstandingAttempt> {
        self.outstanding.get(&attempt.id).filter(|entry| entry.generation == attempt.generation)
    }

    /// The entry of the attempt, for changes.
    pub(super) fn outstanding_mut(&mut self, attempt: AttemptHandle) -> Option<&mut OutstandingAttempt> {
        self.outstanding.get_mut(&attempt.id).filter(|entry| entry.generation == attempt.generation)
    }

    /// Removes an attempt from the outstanding ones. Returns its replica, or `None` if the attempt has already ended.
    pub(super) fn close_attempt(
        &mut self,
        attempt: AttemptHandle,
        outcome: AttemptOutcome,
    ) -> Option<ReplicaId> {
        let &OutstandingAttempt { replica, deadline, .. } = self.outstanding(attempt)?;
        self.outstanding.remove(&attempt.id);
        if let Some(audit) = &mut self.audit {
            audit.attempt_ended(attempt.id, outcome);
        }
        self.attempt_deadlines.remove(&(deadline, attempt.id));
        Some(replica)
    }

    /// Number of open queries and parts. An answered part does not count as open.
    pub(super) fn open_count(&self) -> usize {
        let open = self.parts.values().filter(|part| part.value.is_none() && part.query.is_some());
        self.queries.len() + open.count()
    }

    /// Generation of the replica that has this id now.
    pub(super) fn replica_generation(&self, replica: ReplicaId) -> Option<u64> {
        self.replicas.get(&replica.0).map(|entry| entry.generation)
    }

    /// Replicas of this site.
    pub(super) fn local_replicas(&self) -> impl Iterator<Item = (u32, &ReplicaEntry)> {
        self.replicas.iter().filter(|(_, entry)| entry.is_local()).map(|(&index, entry)| (index, entry))
    }

    /// Reports all local replicas to the audit, since a complete list may have omitted some.
    pub(super) fn audit_local_replicas(&mut self) {
        let Some(audit) = &mut self.audit else { return };
        for (&replica, entry) in self.replicas.iter().filter(|(_, entry)| entry.is_local()) {
            audit.replica_listed(ReplicaId(replica), entry.down_since);
        }
    }
}

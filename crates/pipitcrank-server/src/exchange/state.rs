//! The exchange's state, its inputs and its read-only view.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use pipitcrank_core::coordinator::Coordinator;
use pipitcrank_core::ids::{AttemptOutcome, PartId, ReplicaId, RequestClassId};
use pipitcrank_core::time::Timestamp;

use super::attempt_handle::AttemptHandle;
use super::endpoint::Endpoint;
use super::event::{EndedAttempt, EndedProbe, EndpointChange, Event, Submission};
use super::query::{DelegatedRequest, QueryRequest, QueryResponse, REQUEST_LOG_TARGET, ResponseSink};
use super::request_table::{ReplicaEntry, RequestTable};
use crate::audit::{Audit, AuditRules};
use crate::replicas::frames::LoadReport;
use crate::runtime::counter_names::{discovery, dropped_answer, group};
use crate::runtime::counters::Counters;
use crate::runtime::memory_budget::MemoryBudget;

/// Retries delegated with forwarded parts. An entry is removed when the delegation is returned or expires.
pub(super) struct DelegatedRetries {
    /// Index and id of each part. The id detects an index that was reused for another part.
    pub(super) parts: Vec<(PartId, Rc<str>)>,
    pub(super) retries: u32,
    pub(super) expires: Timestamp,
}

/// Queries, replicas and attempts of one co-ordinator process, together with its `Coordinator`.
pub struct Exchange {
    pub(super) coordinator: Coordinator,
    pub(super) table: RequestTable,
    /// Events queued for the next batch.
    pub(super) events: Vec<Event>,
    /// Tickets whose clients have disconnected; each is removed when its event is processed.
    pub(super) disconnected: BTreeSet<u64>,
    pub(super) max_open: usize,
    /// Number of queries and parts open in the other process of this co-ordinator during an upgrade.
    pub(super) open_in_peer: usize,
    pub(super) parts_per_call: usize,
    pub(super) memory: MemoryBudget,
    /// Zone names by id; empty if queries are not routed by zone.
    pub(super) zones: Vec<String>,
    /// Zone that represents a remote site's region, by the site's name.
    pub(super) site_zones: BTreeMap<String, String>,
    pub(super) delegations: BTreeMap<u64, DelegatedRetries>,
    pub(super) last_delegation: u64,
}

impl Exchange {
    /// `max_open`: limit of open queries and parts, at which further queries are rejected. `parts_per_call`: maximum
    /// number of parts in one call to a replica.
    pub fn new(
        coordinator: Coordinator,
        max_open: usize,
        parts_per_call: usize,
        counters: Counters,
    ) -> Exchange {
        Exchange {
            coordinator,
            table: RequestTable { counters, ..RequestTable::default() },
            events: Vec::new(),
            disconnected: BTreeSet::new(),
            max_open,
            open_in_peer: 0,
            parts_per_call: parts_per_call.max(1),
            memory: MemoryBudget::unlimited(),
            zones: Vec::new(),
            site_zones: BTreeMap::new(),
            delegations: BTreeMap::new(),
            last_delegation: 0,
        }
    }

    /// Enables the run-time audit, which checks sends and responses against `rules`.
    pub fn enable_audit(&mut self, rules: AuditRules) {
        self.table.audit = Some(Audit::new(rules, self.table.counters.clone()));
    }

    /// Limits the memory of open queries and of the answers to their parts.
    pub fn set_memory_budget(&mut self, budget: MemoryBudget) {
        self.memory = budget;
    }

    /// Sets the time of the inputs that follow.
    pub fn set_now(&mut self, now: Timestamp) {
        self.table.now = now;
    }

    /// Queues a client's query. `ticket` identifies the query until its final answer and is never reused.
    pub fn submit(&mut self, ticket: u64, request: QueryRequest, response: Box<dyn ResponseSink>) {
        self.events.push(Event::Submitted(Submission { ticket, request, response, delegated: None }));
    }

    /// Queues a query forwarded by another site.
    pub fn submit_forwarded(
        &mut self,
        ticket: u64,
        request: QueryRequest,
        delegated: DelegatedRequest,
        response: Box<dyn ResponseSink>,
    ) {
        let delegated = Some(delegated);
        self.events.push(Event::Submitted(Submission { ticket, request, response, delegated }));
    }

    /// Records that the query's client has disconnected.
    pub fn client_disconnected(&mut self, ticket: u64) {
        if let Some(audit) = &mut self.table.audit {
            audit.client_closed(self.table.now, ticket);
        }
        self.disconnected.insert(ticket);
        self.events.push(Event::ClientDisconnected { ticket });
    }

    /// Records the end of an attempt. Only the first end of an attempt counts; an answer that comes later is dropped.
    pub fn attempt_ended(
        &mut self,
        attempt: AttemptHandle,
        outcome: AttemptOutcome,
        value: Option<String>,
        report: Option<LoadReport>,
    ) {
        match self.table.close_attempt(attempt, outcome) {
            Some(replica) => {
                let ended = EndedAttempt { replica, attempt: attempt.id, outcome, value, report };
                self.events.push(Event::AttemptEnded(ended));
            }
            None => self.record_late_end(attempt, outcome),
        }
    }

    /// Counts an answer to an attempt that has ended. Other ends of such an attempt carry nothing that is lost.
    fn record_late_end(&self, attempt: AttemptHandle, outcome: AttemptOutcome) {
        let is_answer =
            matches!(outcome, AttemptOutcome::Success | AttemptOutcome::Fault | AttemptOutcome::NoCapacity);
        if !is_answer {
            return;
        }
        let AttemptHandle { id, generation } = attempt;
        self.table.counters.add(group::DROPPED_ANSWERS, dropped_answer::ATTEMPT_ENDED);
        tracing::warn!(target: REQUEST_LOG_TARGET, part_index = id.part.0, attempt = id.number, generation, "answer dropped: its attempt has ended");
    }

    /// Records the end of a load probe.
    pub fn load_probe_ended(
        &mut self,
        replica: ReplicaId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let generation = self.table.replica_generation(replica);
        self.events.push(Event::LoadProbeEnded(EndedProbe { replica, generation, outcome, report }));
    }

    /// Caps the deadlines of open queries at `by`, for the shutdown of this process.
    pub fn cap_deadlines(&mut self, by: Timestamp) {
        self.events.push(Event::DeadlinesCapped { by });
    }

    /// Queues a change of the endpoint list. `complete`: whether `endpoints` contains all replicas.
    pub fn update_endpoints(&mut self, at: Timestamp, complete: bool, endpoints: Vec<Endpoint>) {
        self.table
            .counters
            .add(group::DISCOVERY, if complete { discovery::COMPLETE_LISTS } else { discovery::CHANGES });
        self.events.push(Event::EndpointsUpdated(EndpointChange { at, complete, endpoints }));
    }

    /// Whether queries can be served, that is, whether a local replica is up.
    pub fn can_serve(&self) -> bool {
        self.table.local_replicas().any(|(_, entry)| entry.down_since.is_none())
    }

    /// Whether the complete list `endpoints` equals the current one. Also true while endpoint changes are queued.
    pub fn matches_endpoints(&self, endpoints: &[Endpoint]) -> bool {
        let pending = self.events.iter().any(|event| matches!(event, Event::EndpointsUpdated(_)));
        let up = self.table.local_replicas().filter(|(_, entry)| entry.down_since.is_none()).count();
        let matches = |endpoint: &Endpoint| {
            let index = self.table.replica_uids.find(&endpoint.uid);
            let entry = index.and_then(|index| self.table.replicas.get(&index));
            let same = |entry: &ReplicaEntry| {
                (entry.address, entry.cell, entry.started)
                    == (endpoint.address, endpoint.cell, endpoint.started)
                    && entry.down_since.is_none() == endpoint.up
            };
            // A replica that is not up may already have been removed from the table.
            entry.map_or(!endpoint.up, same)
        };
        pending
            || endpoints.iter().filter(|endpoint| endpoint.up).count() == up && endpoints.iter().all(matches)
    }

    /// Whether no query is open and no event is queued.
    pub fn is_drained(&self) -> bool {
        self.events.is_empty() && self.table.queries.is_empty()
    }

    /// Whether no event is queued for the next batch.
    pub fn has_no_events(&self) -> bool {
        self.events.is_empty()
    }

    /// Whether a query with this id is open or queued.
    pub fn has_query(&self, id: &str) -> bool {
        let is_queued = |event: &Event| matches!(event, Event::Submitted(s) if s.request.id == id);
        self.table.query_ids.find(id).is_some() || self.events.iter().any(is_queued)
    }

    /// Number of open queries and parts.
    pub fn open_count(&self) -> usize {
        self.table.open_count()
    }

    /// Whether the attempt has not ended.
    pub fn is_outstanding(&self, attempt: AttemptHandle) -> bool {
        self.table.outstanding(attempt).is_some()
    }

    /// Time at which the next batch is due if no event is queued before.
    pub fn next_due(&self) -> Option<Timestamp> {
        let deadline = self.table.attempt_deadlines.first().map(|entry| entry.0);
        self.table.timers.first().map(|timer| timer.0).into_iter().chain(deadline).min()
    }

    /// Whether the endpoint list marks the replica as draining or omits it. Such a replica gets no more attempts, not
    /// even within the drain grace: the grace starts when the change could first be read, and a process that is waiting
    /// for the processor reads it late.
    pub fn is_draining(&self, replica: ReplicaId) -> bool {
        self.table.replicas.get(&replica.0).is_some_and(|entry| entry.down_since.is_some())
    }

    /// Response to a query that was open in a process that has died. The query is rejected only if a repeat is
    /// harmless, and aborted otherwise.
    pub fn response_if_lost(&self, class: RequestClassId) -> QueryResponse {
        match self.coordinator.retry_after_if_lost(class) {
            Some(retry_after) => QueryResponse::Rejected { retry_after },
            None => QueryResponse::Aborted,
        }
    }
}

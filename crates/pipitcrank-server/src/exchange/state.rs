//! The exchange's state, its inputs and its read-only view.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use pipitcrank_core::coordinator::Coordinator;
use pipitcrank_core::ids::{AttemptId, AttemptOutcome, PartId, ReplicaId, RequestClassId};
use pipitcrank_core::time::Timestamp;

use super::endpoint::Endpoint;
use super::event::{EndedAttempt, EndpointChange, Event, Submission};
use super::query::{DelegatedRequest, QueryRequest, QueryResponse, ResponseSink};
use super::request_table::{ReplicaEntry, RequestTable};
use crate::audit::{Audit, AuditRules};
use crate::replicas::frames::LoadReport;
use crate::runtime::counter_names::{discovery, group};
use crate::runtime::counters::Counters;

/// Retries delegated with forwarded parts; removed when they return or expire.
pub(super) struct DelegatedRetries {
    /// Index and id of each part: the index may come to stand for another part.
    pub(super) parts: Vec<(PartId, Rc<str>)>,
    pub(super) retries: u32,
    pub(super) expires: Timestamp,
}

/// Queries, replicas and attempts of one coordinator process, around its decision module.
pub struct Exchange {
    pub(super) coordinator: Coordinator,
    pub(super) table: RequestTable,
    /// Emptied by each batch.
    pub(super) events: Vec<Event>,
    /// Tickets of clients that have disconnected; emptied with the events.
    pub(super) disconnected: BTreeSet<u64>,
    pub(super) max_open: usize,
    /// Queries and parts open at another process of this coordinator.
    pub(super) open_in_peer: usize,
    pub(super) parts_per_call: usize,
    /// Zone names by id; empty where zones do not count.
    pub(super) zones: Vec<String>,
    /// Zone that stands for a remote site's region, by the site's name.
    pub(super) site_zones: BTreeMap<String, String>,
    pub(super) delegations: BTreeMap<u64, DelegatedRetries>,
    pub(super) last_delegation: u64,
}

impl Exchange {
    /// `max_open`: queries and parts open at once, beyond which queries are rejected. `parts_per_call`: most parts that
    /// one call to a replica carries.
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
            zones: Vec::new(),
            site_zones: BTreeMap::new(),
            delegations: BTreeMap::new(),
            last_delegation: 0,
        }
    }

    /// Enables the run-time check of the rules.
    pub fn enable_audit(&mut self, rules: AuditRules) {
        self.table.audit = Some(Audit::new(rules, self.table.counters.clone()));
    }

    /// Sets the time of all inputs that follow.
    pub fn set_now(&mut self, now: Timestamp) {
        self.table.now = now;
    }

    /// A query came in. The ticket stands for it until its final response and is never used again.
    pub fn submit(&mut self, ticket: u64, request: QueryRequest, response: Box<dyn ResponseSink>) {
        self.events.push(Event::Submitted(Submission { ticket, request, response, delegated: None }));
    }

    /// A query came in that another site forwards.
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

    /// The client of that query has disconnected.
    pub fn client_disconnected(&mut self, ticket: u64) {
        if let Some(audit) = &mut self.table.audit {
            audit.client_closed(self.table.now, ticket);
        }
        self.disconnected.insert(ticket);
        self.events.push(Event::ClientDisconnected { ticket });
    }

    /// An attempt ended; only its first end counts.
    pub fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        value: Option<String>,
        report: Option<LoadReport>,
    ) {
        if let Some(replica) = self.table.close_attempt(attempt, outcome) {
            let ended = EndedAttempt { replica, attempt, outcome, value, report };
            self.events.push(Event::AttemptEnded(ended));
        }
    }

    /// A load probe ended.
    pub fn load_probe_ended(
        &mut self,
        replica: ReplicaId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        self.events.push(Event::LoadProbeEnded { replica, outcome, report });
    }

    /// This process shuts down: all open queries are to be answered by then.
    pub fn cap_deadlines(&mut self, by: Timestamp) {
        self.events.push(Event::DeadlinesCapped { by });
    }

    /// The endpoint list changed. `complete`: `endpoints` names all replicas there are.
    pub fn update_endpoints(&mut self, at: Timestamp, complete: bool, endpoints: Vec<Endpoint>) {
        self.table
            .counters
            .add(group::DISCOVERY, if complete { discovery::COMPLETE_LISTS } else { discovery::CHANGES });
        self.events.push(Event::EndpointsUpdated(EndpointChange { at, complete, endpoints }));
    }

    /// Whether a query could be served now: some local replica is up.
    pub fn can_serve(&self) -> bool {
        self.table.local_replicas().any(|(_, entry)| entry.down_since.is_none())
    }

    /// Whether that complete list changes nothing; also true while changes wait for the next batch.
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
            // A replica that is not up may have been removed already.
            entry.map_or(!endpoint.up, same)
        };
        pending
            || endpoints.iter().filter(|endpoint| endpoint.up).count() == up && endpoints.iter().all(matches)
    }

    /// Whether no query is open.
    pub fn is_drained(&self) -> bool {
        self.events.is_empty() && self.table.queries.is_empty()
    }

    /// Whether no event waits for the next batch.
    pub fn has_no_events(&self) -> bool {
        self.events.is_empty()
    }

    /// Whether a query of that id is open.
    pub fn has_query(&self, id: &str) -> bool {
        let waits = |event: &Event| matches!(event, Event::Submitted(s) if s.request.id == id);
        self.table.query_ids.find(id).is_some() || self.events.iter().any(waits)
    }

    /// Number of open queries and parts.
    pub fn open_count(&self) -> usize {
        self.table.open_count()
    }

    /// Whether the attempt has not ended.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.table.in_flight.contains_key(&attempt)
    }

    /// When the next batch is due if no event comes before.
    pub fn next_due(&self) -> Option<Timestamp> {
        let deadline = self.table.attempt_deadlines.first().map(|entry| entry.0);
        self.table.timers.first().map(|timer| timer.0).into_iter().chain(deadline).min()
    }

    /// Whether the endpoint list names the replica as draining or left it out. It gets nothing more, not even within its
    /// grace: the grace counts from when the change could be read, and a process that waits for the processor reads late.
    pub fn is_draining(&self, replica: ReplicaId) -> bool {
        self.table.replicas.get(&replica.0).is_some_and(|entry| entry.down_since.is_some())
    }

    /// The response to a query that a process had which has died: rejected only where a repeat is harmless.
    pub fn response_if_lost(&self, class: RequestClassId) -> QueryResponse {
        match self.coordinator.retry_after_if_lost(class) {
            Some(retry_after) => QueryResponse::Rejected { retry_after },
            None => QueryResponse::Aborted,
        }
    }
}

//! Admission of queries: checks for duplicate ids, for ids that may have run, and for the limit of open queries. The `Coordinator` makes all other
//! checks.

use std::rc::Rc;
use std::sync::Arc;

use pipitcrank_core::coordinator::{NewPart, NewQuery};
use pipitcrank_core::ids::{Idempotency, PartId, QueryId};
use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::event::Submission;
use super::query::{QueryPart, QueryRequest, QueryResponse, REQUEST_LOG_TARGET};
use super::request_table::{OpenPart, OpenQuery};
use super::state::Exchange;
use crate::audit::AdmittedQuery;
use crate::runtime::counter_names::{group, query, shed};
use crate::runtime::memory_budget::MemoryAccount;

/// Memory of the records of an open query, in all tables, without its parts.
const QUERY_BYTES: usize = 1024;
/// Memory of the records of a part and of a short value, in all tables.
const PART_BYTES: usize = 768;
/// Copies of a part's id that are kept.
const ID_COPIES: usize = 4;

impl Exchange {
    /// Opens a query, or rejects it at once.
    pub(super) fn admit(&mut self, now: Timestamp, submission: Submission) {
        let Submission { ticket, request, response, delegated } = submission;
        let part_ids: Vec<Rc<str>> =
            request.parts.iter().map(|part| format!("{}.{}", request.id, part.shard).into()).collect();
        let is_repeatable = self.coordinator.idempotency(request.class) == Idempotency::Idempotent;
        if let Some(refusal) = self.refusal(now, &request.id, &part_ids, is_repeatable) {
            return response.respond(refusal);
        }
        let Some(memory) = self.memory.reserve(MemoryAccount::Queries, query_bytes(&request)) else {
            self.table.counters.add(group::SHED, shed::QUERY);
            tracing::debug!(target: REQUEST_LOG_TARGET, request = request.id, "query refused for lack of memory");
            let retry_after = self.coordinator.retry_after(request.class);
            return response.respond(QueryResponse::Rejected { retry_after });
        };
        let QueryRequest { id, class, deadline, parts, idempotency_key, text } = request;
        let delegated_retries = delegated.as_ref().map(|delegated| delegated.retries);
        let table = &mut self.table;
        table.counters.add(group::QUERIES, query::ADMITTED);
        let query = QueryId(table.query_ids.intern(&id));
        let indices: Vec<u32> = part_ids.iter().map(|part| table.part_ids.intern(part)).collect();
        table.tickets.insert(ticket, query.0);
        tracing::debug!(target: REQUEST_LOG_TARGET, request = id, parts = parts.len(), left_s = (deadline - now).as_secs_f64(), "query admitted");
        if let Some(audit) = &mut table.audit {
            let parts: Vec<PartId> = indices.iter().map(|&part| PartId(part)).collect();
            let forwarded = delegated.is_some();
            audit.admitted(now, AdmittedQuery { ticket, id: &id, class, deadline, forwarded, parts: &parts });
        }
        let response = Some(response);
        let entry = OpenQuery {
            ticket,
            response,
            parts: indices.clone(),
            class,
            idempotency_key,
            delegated,
            _memory: memory,
            may_have_run: false,
            is_repeatable,
        };
        table.queries.insert(query.0, entry);
        let works: Option<Vec<f64>> = parts.iter().map(|part| part.work).collect();
        for ((&index, id), part) in indices.iter().zip(part_ids).zip(&parts) {
            table.parts.insert(index, OpenPart::new(id, query, part, text.clone()));
        }
        let new_query = NewQuery {
            id: query,
            class,
            time_left: deadline - now,
            work_hint: works.map(|works| works.iter().sum()),
            part_count: parts.len() as f64,
        };
        self.coordinator.start_query(&mut self.table, now, new_query);
        if let Some(retries) = delegated_retries {
            self.coordinator.mark_forwarded(query, retries);
        }
        for (index, QueryPart { shard, weight, work }) in indices.into_iter().zip(parts) {
            let part = NewPart { id: PartId(index), query, shard, weight, work_hint: work };
            self.coordinator.add_part(&mut self.table, now, part);
        }
    }

    /// Response to a query that is not admitted; `None` if the query is admitted. Queries beyond the limit never reach
    /// the `Coordinator`. To reject no query while there is capacity, answered parts do not count as open and the last
    /// admitted query may exceed the limit.
    fn refusal(
        &mut self,
        now: Timestamp,
        id: &str,
        part_ids: &[Rc<str>],
        is_repeatable: bool,
    ) -> Option<QueryResponse> {
        let table = &mut self.table;
        if !is_repeatable && table.recent.contains(id) {
            table.counters.add(group::QUERIES, query::RECENT_ID);
            tracing::debug!(target: REQUEST_LOG_TARGET, request = id, "query refused, since its id may have run");
            return Some(QueryResponse::DuplicateId);
        }
        if !is_repeatable && table.recent.is_full(now) {
            table.counters.add(group::QUERIES, query::REJECTED_TOO_MANY_RECENT);
            return Some(QueryResponse::Rejected { retry_after: TimeSpan::ZERO });
        }
        let duplicate = table.query_ids.find(id).is_some()
            || part_ids.iter().any(|part| table.part_ids.find(part).is_some());
        if duplicate {
            table.counters.add(group::QUERIES, query::DUPLICATE_ID);
            return Some(QueryResponse::DuplicateId);
        }
        if table.open_count() + self.open_in_peer >= self.max_open {
            table.counters.add(group::QUERIES, query::REJECTED_OVER_LIMIT);
            return Some(QueryResponse::Rejected { retry_after: TimeSpan::ZERO });
        }
        None
    }
}

/// Upper bound of the memory of an open query: its records, and its text in a call for each part.
fn query_bytes(request: &QueryRequest) -> usize {
    let key_bytes = request.idempotency_key.as_ref().map_or(0, |key| key.len());
    let of_part = PART_BYTES + ID_COPIES * request.id.len() + request.text.len();
    QUERY_BYTES + key_bytes + request.text.len() + request.parts.len() * of_part
}

impl OpenPart {
    fn new(id: Rc<str>, query: QueryId, part: &QueryPart, text: Arc<str>) -> OpenPart {
        OpenPart {
            id,
            query: Some(query.0),
            shard: part.shard,
            weight: part.weight,
            work: part.work,
            text,
            value: None,
            value_memory: None,
            attempts: 0,
            last_outcome: None,
        }
    }
}

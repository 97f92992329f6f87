//! The `Coordinator`'s output interface on the request table: commands, responses and releases.

use pipitcrank_core::ids::{AttemptId, PartId, QueryId, RejectReason, ReplicaId};
use pipitcrank_core::output::CoordinatorOutput;
use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::attempt_handle::AttemptHandle;
use super::query::{QueryResponse, REQUEST_LOG_TARGET};
use super::request_table::{Command, OutstandingAttempt, RequestTable};
use crate::reasons::ResendReason;
use crate::runtime::counter_names::{group, query};

impl RequestTable {
    /// Passes the final answer to the query's sink. `kind`: the key of the response in `/counters`.
    fn finish(&mut self, query: QueryId, response: QueryResponse, kind: &'static str) {
        self.counters.add(group::QUERIES, kind);
        tracing::debug!(target: REQUEST_LOG_TARGET, request = self.query_ids.name(query.0), outcome = kind, "query ended with a final answer");
        self.audit_response(query, &response);
        let entry = self.queries.get_mut(&query.0);
        if let Some(sink) = entry.and_then(|entry| entry.response.take()) {
            sink.respond(response);
        }
    }

    fn refuse(&mut self, query: QueryId, response: QueryResponse, kind: &'static str, reason: RejectReason) {
        self.counters.add(group::REFUSALS, reason.name());
        tracing::debug!(target: REQUEST_LOG_TARGET, request = self.query_ids.name(query.0), reason = reason.name(), "query refused");
        self.finish(query, response, kind);
    }

    fn audit_response(&mut self, query: QueryId, response: &QueryResponse) {
        let (Some(audit), Some(entry)) = (&mut self.audit, self.queries.get(&query.0)) else { return };
        let weight_of = |shard: &u32| {
            let mut parts = entry.parts.iter().filter_map(|part| self.parts.get(part));
            parts.find(|part| part.shard == *shard).map_or(0.0, |part| part.weight)
        };
        let (weight, complete) = match response {
            QueryResponse::Answered { complete, hits } => {
                (Some(hits.iter().map(|(shard, _)| weight_of(shard)).sum()), *complete)
            }
            _ => (None, false),
        };
        audit.answered(self.now, entry.ticket, weight, complete);
    }

    /// Reason for sending a part again; `None` for its first attempt.
    fn resend_reason(&self, part: PartId) -> Option<ResendReason> {
        let entry = self.parts.get(&part.0).filter(|entry| entry.attempts > 0)?;
        let attempts = AttemptId { part, number: 0 }..=AttemptId { part, number: u32::MAX };
        if self.outstanding.range(attempts).next().is_some() {
            return Some(ResendReason::Hedge);
        }
        entry.last_outcome.map(ResendReason::After)
    }
}

impl CoordinatorOutput for RequestTable {
    fn send_attempt(&mut self, part: PartId, replica: ReplicaId, until: Timestamp) {
        if let Some(reason) = self.resend_reason(part) {
            self.counters.add(group::RESENDS, reason.name());
            let part = self.part_ids.name(part.0);
            tracing::debug!(target: REQUEST_LOG_TARGET, part, replica = replica.0, reason = reason.name(), "part sent again");
        }
        let entry = self.parts.get_mut(&part.0).expect("a part that is sent has a table entry");
        let attempt = AttemptId { part, number: entry.attempts };
        entry.attempts += 1;
        let query = entry.query.and_then(|query| self.queries.get(&query));
        let delegated = query.and_then(|query| query.delegated.as_ref());
        if let Some(delegated) = delegated.filter(|_| attempt.number > 0) {
            delegated.retries_used.set(delegated.retries_used.get() + 1);
        }
        let generation = self.next_generation();
        let entry = OutstandingAttempt { generation, replica, deadline: until, authorized: false };
        self.outstanding.insert(attempt, entry);
        self.attempt_deadlines.insert((until, attempt));
        self.commands.push(Command::SendAttempt(replica, AttemptHandle { id: attempt, generation }));
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        if let Some(entry) = self.outstanding.get(&attempt) {
            let handle = AttemptHandle { id: attempt, generation: entry.generation };
            self.commands.push(Command::CancelAttempt(entry.replica, handle));
        }
    }

    fn answer(&mut self, query: QueryId, is_complete: bool) {
        let parts = self.queries.get(&query.0).map(|entry| &entry.parts[..]).unwrap_or_default();
        let hits = parts.iter().filter_map(|part| {
            let part = self.parts.get_mut(part)?;
            part.value_memory = None;
            Some((part.shard, part.value.take()?))
        });
        let hits = hits.collect();
        let kind = if is_complete { query::COMPLETE } else { query::PARTIAL };
        self.finish(query, QueryResponse::Answered { complete: is_complete, hits }, kind);
    }

    fn reject(&mut self, query: QueryId, retry_after: TimeSpan, reason: RejectReason) {
        self.queries.get_mut(&query.0).into_iter().for_each(|entry| entry.may_have_run = false);
        self.refuse(query, QueryResponse::Rejected { retry_after }, query::REJECTED, reason);
    }

    fn abort(&mut self, query: QueryId, reason: RejectReason) {
        self.refuse(query, QueryResponse::Aborted, query::ABORTED, reason);
    }

    fn set_timer(&mut self, at: Timestamp, label: u64) {
        self.timers.insert((at, label));
    }

    fn send_load_probe(&mut self, replica: ReplicaId) {
        self.commands.push(Command::SendLoadProbe(replica));
    }

    fn watch_endpoints(&mut self) {} // The discovery client watches the endpoint list at all times.

    fn log(&mut self, text: &str) {
        tracing::info!("{text}");
    }

    fn release_query(&mut self, query: QueryId) {
        self.query_ids.release(query.0);
        let Some(entry) = self.queries.remove(&query.0) else { return };
        if entry.may_have_run && !entry.is_repeatable {
            self.recent.add(self.now, self.query_ids.name(query.0));
        }
        self.tickets.remove(&entry.ticket);
        if let Some(audit) = &mut self.audit {
            audit.release_query(entry.ticket);
        }
        // An attempt may wait for its connection after its query has ended. The query index is reused, so the part must
        // no longer refer to it.
        for part in entry.parts {
            let own = self.parts.get_mut(&part).filter(|part| part.query == Some(query.0));
            own.into_iter().for_each(|part| part.query = None);
        }
    }

    fn release_part(&mut self, part: PartId) {
        self.part_ids.release(part.0);
        self.parts.remove(&part.0);
        if let Some(audit) = &mut self.audit {
            audit.release_part(part);
        }
    }

    fn release_replica(&mut self, replica: ReplicaId) {
        self.replica_uids.release(replica.0);
        self.replicas.remove(&replica.0);
        if let Some(audit) = &mut self.audit {
            audit.release_replica(replica);
        }
        self.commands.push(Command::RemoveReplica(replica));
    }
}

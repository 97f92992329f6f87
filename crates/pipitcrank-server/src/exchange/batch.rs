//! Processing of one batch: the `Coordinator` gets the queued events, due timers and expired attempts, and the
//! transport gets the `Coordinator`'s commands.

use std::collections::BTreeMap;

use pipitcrank_core::ids::{AttemptId, AttemptOutcome, QueryId, ReplicaId};
use pipitcrank_core::time::Timestamp;

use super::attempt_handle::AttemptHandle;
use super::event::{EndedAttempt, EndedProbe, EndpointChange, Event};
use super::query::REQUEST_LOG_TARGET;
use super::request_table::Command;
use super::state::Exchange;
use super::transport::ReplicaTransport;
use crate::replicas::connection_end::outcome_name;
use crate::replicas::frames::LoadReport;
use crate::runtime::counter_names::{dropped_answer, group, query, shed};
use crate::runtime::memory_budget::{MemoryAccount, Reservation};

/// Length of a value that the memory of a part includes.
const INCLUDED_VALUE_BYTES: usize = 256;

impl Exchange {
    /// Processes the queued events, due timers and expired attempts, then executes the `Coordinator`'s commands.
    pub fn run_batch(&mut self, now: Timestamp, transport: &mut dyn ReplicaTransport) {
        self.set_now(now);
        self.handle_events(now);
        self.fire_timers(now);
        self.expire_attempts(now);
        self.coordinator.dispatch(&mut self.table, now);
        self.execute_commands(transport);
    }

    fn handle_events(&mut self, now: Timestamp) {
        let mut events = std::mem::take(&mut self.events).into_iter().peekable();
        while let Some(mut event) = events.next() {
            // The `Coordinator` examines all replicas at each change, so consecutive incremental changes are merged.
            // The merged change takes effect at the time of the first one.
            if let Event::EndpointsUpdated(EndpointChange { complete: false, endpoints, .. }) = &mut event {
                let is_change = |event: &Event| {
                    matches!(event, Event::EndpointsUpdated(EndpointChange { complete: false, .. }))
                };
                while let Some(Event::EndpointsUpdated(next)) = events.next_if(is_change) {
                    endpoints.extend(next.endpoints);
                }
            }
            self.handle_event(now, event);
        }
    }

    fn handle_event(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Submitted(submission) => self.admit(now, submission),
            Event::ClientDisconnected { ticket } => self.cancel_query(now, ticket),
            Event::AttemptEnded(EndedAttempt { replica, attempt, outcome, value, report }) => {
                self.apply_load_report(now, replica, report);
                self.finish_attempt(now, attempt, outcome, value);
            }
            Event::LoadProbeEnded(ended) => self.finish_load_probe(now, ended),
            Event::EndpointsUpdated(change) => self.apply_endpoint_change(change),
            Event::ZoneProbeRequested { zone, max_probes } => {
                self.coordinator.probe_zone(&mut self.table, now, zone, max_probes);
            }
            Event::DeadlinesCapped { by } => self.coordinator.cap_deadlines(by),
        }
    }

    fn cancel_query(&mut self, now: Timestamp, ticket: u64) {
        self.disconnected.remove(&ticket);
        if let Some(&query) = self.table.tickets.get(&ticket) {
            self.table.counters.add(group::QUERIES, query::CLIENT_DISCONNECTED);
            let request = self.table.query_ids.name(query);
            tracing::debug!(target: REQUEST_LOG_TARGET, request, "client disconnected");
            self.coordinator.cancel_query(&mut self.table, now, QueryId(query));
        }
    }

    fn fire_timers(&mut self, now: Timestamp) {
        while let Some((_, label)) = self.table.timers.first().copied().filter(|timer| timer.0 <= now) {
            self.table.timers.pop_first();
            self.coordinator.timer_fired(&mut self.table, now, label);
        }
    }

    fn expire_attempts(&mut self, now: Timestamp) {
        let is_due = |entry: &(Timestamp, AttemptId)| entry.0 <= now;
        while let Some((_, id)) = self.table.attempt_deadlines.first().copied().filter(is_due) {
            let attempt = self.table.handle(id).expect("an attempt with a deadline is outstanding");
            if let Some(replica) = self.table.close_attempt(attempt, AttemptOutcome::TimedOut) {
                self.table.commands.push(Command::CancelAttempt(replica, attempt));
                self.finish_attempt(now, id, AttemptOutcome::TimedOut, None);
            }
        }
    }

    fn finish_attempt(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        value: Option<String>,
    ) {
        let (outcome, value_memory) = self.hold_value(outcome, value.as_deref());
        self.table.counters.add(group::ATTEMPTS, outcome_name(outcome));
        let Some(part) = self.table.parts.get_mut(&attempt.part.0) else { return };
        tracing::debug!(target: REQUEST_LOG_TARGET, part = &*part.id, attempt = attempt.number, outcome = outcome_name(outcome), "attempt ended");
        part.last_outcome = Some(outcome);
        if outcome == AttemptOutcome::Success && part.value.is_none() {
            let query = part.query.and_then(|query| self.table.queries.get_mut(&query));
            let delegated = query.and_then(|query| query.delegated.as_mut());
            if let (Some(delegated), Some(value)) = (delegated, &value) {
                delegated.on_part.part_answered(part.shard, value);
            }
            part.value = value;
            part.value_memory = value_memory;
        }
        self.coordinator.attempt_ended(&mut self.table, now, attempt, outcome);
    }

    fn finish_load_probe(&mut self, now: Timestamp, ended: EndedProbe) {
        let EndedProbe { replica, generation, outcome, report } = ended;
        // The replica may have been removed since the end was reported, and its id given to another one.
        if self.table.replica_generation(replica) != generation {
            self.table.counters.add(group::DROPPED_ANSWERS, dropped_answer::REPLICA_REMOVED);
            tracing::debug!(target: REQUEST_LOG_TARGET, replica = replica.0, outcome = outcome_name(outcome), "result of a load probe dropped: its replica was removed");
            return;
        }
        self.table.counters.add(group::LOAD_PROBES, outcome_name(outcome));
        self.apply_load_report(now, replica, report);
        self.coordinator.load_probe_ended(now, replica, outcome);
    }

    /// Reserves memory for a long value. Without memory the value is dropped, and the attempt counts as failed.
    fn hold_value(
        &self,
        outcome: AttemptOutcome,
        value: Option<&str>,
    ) -> (AttemptOutcome, Option<Reservation>) {
        let bytes = value.map_or(0, str::len);
        if outcome != AttemptOutcome::Success || bytes <= INCLUDED_VALUE_BYTES {
            return (outcome, None);
        }
        match self.memory.reserve(MemoryAccount::Answers, bytes) {
            Some(memory) => (outcome, Some(memory)),
            None => {
                self.table.counters.add(group::SHED, shed::ANSWER);
                (AttemptOutcome::Fault, None)
            }
        }
    }

    fn apply_load_report(&mut self, now: Timestamp, replica: ReplicaId, report: Option<LoadReport>) {
        if let Some(LoadReport { queued, in_flight }) = report {
            self.coordinator.load_report(now, replica, queued, in_flight);
        }
    }

    /// Executes the `Coordinator`'s commands. Parts for the same replica share calls of at most `parts_per_call` parts.
    fn execute_commands(&mut self, transport: &mut dyn ReplicaTransport) {
        let commands = std::mem::take(&mut self.table.commands);
        // A bundle holds the attempts for one replica. Bundles are ordered by their first attempts.
        let mut bundles: Vec<(ReplicaId, Vec<AttemptHandle>)> = Vec::new();
        let mut positions: BTreeMap<ReplicaId, usize> = BTreeMap::new();
        for command in commands {
            match command {
                Command::SendAttempt(replica, attempt) => {
                    let position = *positions.entry(replica).or_insert(bundles.len());
                    match bundles.get_mut(position) {
                        Some((_, bundle)) => bundle.push(attempt),
                        None => bundles.push((replica, vec![attempt])),
                    }
                }
                Command::CancelAttempt(replica, attempt) => {
                    transport.cancel_attempt(replica, attempt);
                    self.attempt_ended(attempt, AttemptOutcome::Cancelled, None, None);
                }
                Command::SendLoadProbe(replica) => transport.send_load_probe(replica),
                Command::SetAddress(replica, address) => transport.set_address(replica, address),
                Command::RemoveReplica(replica) => transport.remove_replica(replica),
            }
        }
        for (replica, mut bundle) in bundles {
            while bundle.len() > self.parts_per_call {
                let rest = bundle.split_off(self.parts_per_call);
                transport.send_attempts(replica, std::mem::replace(&mut bundle, rest), &self.table);
            }
            transport.send_attempts(replica, bundle, &self.table);
        }
    }
}

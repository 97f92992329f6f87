//! Attempts: sends them, and applies their outcomes to the estimates of the replica and to the query.

use super::final_answers::PossibleAnswer;
use super::open_query::{AttemptContext, AttemptRecord};
use super::quantile::QuantileEstimator;
use super::replica_load::{Lag, LoadModel, NewAttempt, OutstandingAttempt};
use super::service_estimates::ServiceSample;
use super::slow_start::SlowStartSend;
use super::state::State;
use crate::ids::{AttemptId, AttemptOutcome, PartId, ReplicaId, RequestClassId};
use crate::output::CoordinatorOutput;
use crate::time::Timestamp;

/// Lag assigned to a replica that rejects an attempt for lack of capacity, in seconds: about the time a full
/// queue takes to drain. Without it, rejected parts move straight on to the next full replica
/// (docs/incidents/i695bd0.md).
pub(super) const NO_CAPACITY_LAG_S: f64 = 2.0;
/// Weight of the newest answer in a replica's lag.
const LAG_WEIGHT: f64 = 0.2;
/// Bounds that keep ratios of service time to work finite: minimum service time, minimum work, and maximum
/// seconds per unit of work.
const MIN_SERVICE_S: f64 = 1e-6;
const MIN_WORK: f64 = 1e-3;
const MAX_TIME_PER_WORK: f64 = 20.0;
/// Largest ratio of this co-ordinator's outstanding work at a replica to an attempt's own work at which the
/// attempt counts as the only one. Slightly above 1 to allow for rounding.
const OWN_WORK_TOLERANCE: f64 = 1.01;
/// Minimum fraction of the service time that is attributed to the part rather than to the call.
const MIN_WORK_FRACTION: f64 = 0.1;

/// An attempt that was answered.
struct Answer {
    now: Timestamp,
    replica: ReplicaId,
    class: RequestClassId,
    attempt: OutstandingAttempt,
}

impl State {
    pub(super) fn send_attempt(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: PartId,
        replica: ReplicaId,
    ) {
        let part = self.parts.get_mut(&id).expect("the part to be sent is tracked");
        let open = self.queries.get_mut(&part.query).expect("the part to be sent has an open query");
        let number = part.attempts.len() as u32;
        let is_retry = number > 0;
        match &mut open.delegated_retries {
            Some(left) if is_retry => *left = left.saturating_sub(1),
            None if is_retry => self.retry_budget.spend(now),
            _ => {}
        }
        part.attempts.push(AttemptRecord {
            replica,
            sent_at: now,
            counted_at: now,
            is_outstanding: true,
            never_ran: false,
        });
        part.is_waiting = false;
        let (work, deadline) = (part.work, open.deadline);
        let attempt = AttemptId { part: id, number };
        self.record_send(now, replica, attempt, work);
        output.send_attempt(id, replica, deadline);
        self.attempts.insert(attempt, AttemptContext { replica });
    }

    /// Adds the attempt to the load of its replica and to the traffic of the replica's zone.
    fn record_send(&mut self, now: Timestamp, replica: ReplicaId, attempt: AttemptId, work: f64) {
        let state = self.replicas.get_mut(&replica).expect("a candidate replica is tracked");
        state.load.add(NewAttempt { id: attempt, now, work, pass: self.pass }, self.call_limits);
        if self.slow_start.is_warming_up(state.started, now) {
            let window = self.slow_start.config.window;
            state.slow_start_sends.retain(|s| now - s.at <= window);
            state.slow_start_sends.push_back(SlowStartSend { at: now, work: work + self.call_limits.cost });
        }
        self.zones.count_sent(state.zone);
    }

    pub(super) fn attempt_ended(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        if let Some(context) = self.attempts.remove(&attempt) {
            self.update_replica(now, attempt, context, outcome);
            if self.replicas[&context.replica].is_unused() {
                self.remove_replica(output, context.replica);
            }
            self.needs_dispatch = true;
            self.update_query(output, now, attempt, outcome);
        }
    }

    /// Updates the estimates of the replica from an ended attempt, whether or not the query still waits for
    /// it.
    fn update_replica(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        context: AttemptContext,
        outcome: AttemptOutcome,
    ) {
        let replica = context.replica;
        let class = self.parts[&id.part].class;
        let state = self.replicas.get_mut(&replica).expect("a replica outlives its attempts");
        let attempt = state.load.remove(id);
        let is_overdue = now - attempt.sent_at > self.service.overdue_after(attempt.work_ahead);
        state.health.record_end(now, outcome, is_overdue);
        match outcome {
            AttemptOutcome::Success => self.update_estimates(Answer { now, replica, class, attempt }),
            AttemptOutcome::Fault => state.health.record_fault(now),
            // A disconnect has little weight, because some replicas close connections often, and a replica
            // that has exited is soon detected as unreachable.
            AttemptOutcome::Disconnected => state.health.record_disconnect(now),
            AttemptOutcome::Unreachable => state.health.record_unreachable(now),
            AttemptOutcome::NoCapacity => {
                state.load.set_lag(Lag { seconds: NO_CAPACITY_LAG_S, observed_at: now })
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
        }
    }

    /// Updates the lag of the replica from an answer. An answer of a local replica also updates the estimates
    /// over all replicas.
    fn update_estimates(&mut self, answer: Answer) {
        let Answer { now, replica, class, attempt } = answer;
        let state = self.replicas.get_mut(&replica).expect("a replica outlives its attempts");
        self.zones.count_answered(state.zone);
        state.health.record_success();
        let service_time = now - attempt.sent_at - state.network_delay;
        let service_seconds = service_time.as_secs_f64().max(MIN_SERVICE_S);
        let time_per_work = (service_seconds / attempt.work_ahead.max(MIN_WORK)).min(MAX_TIME_PER_WORK);
        // The service time of a remote site beyond its network delay counts as lag and does not affect the
        // estimates of local replicas.
        let is_local = state.is_local();
        let initial_time_per_work = if is_local { time_per_work } else { 1.0 };
        let seconds_per_work = self.service.seconds_per_work.value().unwrap_or(initial_time_per_work);
        let lag = (service_seconds - seconds_per_work * attempt.work_ahead).max(0.0);
        let model = LoadModel { seconds_per_work, ..self.service.load_model(now) };
        let previous_lag = if is_local { state.expected_lag(model) } else { state.load.lag().seconds };
        state
            .load
            .set_lag(Lag { seconds: previous_lag + LAG_WEIGHT * (lag - previous_lag), observed_at: now });
        if is_local {
            self.service.observe(now, ServiceSample { time_per_work, lag, work: attempt.work });
            self.update_part_work(class, &attempt, service_seconds);
        }
    }

    /// Updates the work of a typical part. Only an attempt with no other work of this co-ordinator ahead of
    /// it is used.
    fn update_part_work(
        &mut self,
        class: RequestClassId,
        attempt: &OutstandingAttempt,
        service_seconds: f64,
    ) {
        let cost = self.call_limits.cost;
        if attempt.work_ahead < (attempt.work + cost) * OWN_WORK_TOLERANCE {
            let work = (service_seconds - cost).max(service_seconds * MIN_WORK_FRACTION);
            self.classes[usize::from(class.0)].part_work.observe(work, QuantileEstimator::LOW);
        }
    }

    /// Applies the outcome of an attempt to its query.
    fn update_query(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let id = attempt.part;
        let part = self.parts.get_mut(&id).expect("a part outlives its attempts");
        let record = &mut part.attempts[attempt.number as usize];
        record.is_outstanding = false;
        record.never_ran = matches!(
            outcome,
            AttemptOutcome::NoCapacity | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent
        );
        if part.is_done {
            return self.release_part_if_unused(output, id);
        }
        if outcome == AttemptOutcome::Success {
            return self.part_answered(output, now, id);
        }
        let query = part.query;
        if part.outstanding_count() == 0 {
            self.enqueue(id);
        }
        self.check_reachable(output, now, query);
    }

    /// Marks the part as answered, and answers the query if it needs no more parts.
    fn part_answered(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, id: PartId) {
        let part = self.parts.get_mut(&id).expect("a part outlives its attempts");
        part.is_done = true;
        part.is_waiting = false;
        let (query, weight) = (part.query, part.weight);
        self.cancel_attempts(output, id);
        let open = self.queries.get_mut(&query).expect("an unanswered part has an open query");
        open.answered_weight += weight;
        open.answered_parts += 1;
        let open = &self.queries[&query];
        let is_over = || now >= open.answer_by || open.parts.iter().all(|p| self.parts[p].is_done);
        match self.possible_answer(open) {
            PossibleAnswer::Complete => self.answer_query(output, now, query, true, false),
            PossibleAnswer::Partial if is_over() => self.answer_query(output, now, query, false, false),
            PossibleAnswer::Partial | PossibleAnswer::None => {}
        }
    }
}

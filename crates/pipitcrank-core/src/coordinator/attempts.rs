//! Attempts: sending them, and what their ends mean for their replica and for their query.

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

/// Lag of a replica that rejects an attempt for lack of capacity, in seconds: about what a full queue takes to drain.
/// Without it parts go straight on to the next full replica (docs/incidents/i695bd0.md).
pub(super) const NO_CAPACITY_LAG_S: f64 = 2.0;
/// Weight of the newest answer in a replica's lag.
const LAG_WEIGHT: f64 = 0.2;
/// Bounds that keep quotients of times and work within reason: least seconds taken, least work, most seconds for a unit.
const MIN_SERVICE_S: f64 = 1e-6;
const MIN_WORK: f64 = 1e-3;
const MAX_PACE: f64 = 20.0;
/// Work ahead, relative to an attempt's own, up to which nothing else was ahead of it; above 1 for rounding.
const OWN_WORK_TOLERANCE: f64 = 1.01;
/// Least fraction of the time taken that counts as the part's work, whatever the call costs.
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
        let part = self.parts.get_mut(&id).expect("parts that are sent are held");
        let open = self.queries.get_mut(&part.query).expect("parts that are sent have open queries");
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

    /// Counts the attempt at its replica and its zone.
    fn record_send(&mut self, now: Timestamp, replica: ReplicaId, attempt: AttemptId, work: f64) {
        let state = self.replicas.get_mut(&replica).expect("candidates are held");
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
            self.learn_from_end(now, attempt, context, outcome);
            if self.replicas[&context.replica].is_unused() {
                self.remove_replica(output, context.replica);
            }
            self.needs_dispatch = true;
            self.proceed_after_end(output, now, attempt, outcome);
        }
    }

    /// What the end of an attempt tells of the replica, whether or not the query still waits for it.
    fn learn_from_end(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        context: AttemptContext,
        outcome: AttemptOutcome,
    ) {
        let replica = context.replica;
        let class = self.parts[&id.part].class;
        let state = self.replicas.get_mut(&replica).expect("replicas outlive their attempts");
        let attempt = state.load.remove(id);
        let is_overdue = now - attempt.sent_at > self.service.overdue_after(attempt.work_ahead);
        state.health.record_end(now, outcome, is_overdue);
        match outcome {
            AttemptOutcome::Success => self.learn_from_answer(Answer { now, replica, class, attempt }),
            AttemptOutcome::Fault => state.health.record_fault(now),
            // Says little: some replicas close connections often, and one that is gone is unreachable soon.
            AttemptOutcome::Disconnected => state.health.record_disconnect(now),
            AttemptOutcome::Unreachable => state.health.record_unreachable(now),
            AttemptOutcome::NoCapacity => {
                state.load.set_lag(Lag { seconds: NO_CAPACITY_LAG_S, observed_at: now })
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
        }
    }

    /// An answer tells the replica's lag; that of a local replica tells of how all replicas work as well.
    fn learn_from_answer(&mut self, answer: Answer) {
        let Answer { now, replica, class, attempt } = answer;
        let state = self.replicas.get_mut(&replica).expect("replicas outlive their attempts");
        self.zones.count_answered(state.zone);
        state.health.record_success();
        let service_time = now - attempt.sent_at - state.network_delay;
        let taken = service_time.as_secs_f64().max(MIN_SERVICE_S);
        let pace = (taken / attempt.work_ahead.max(MIN_WORK)).min(MAX_PACE);
        // What a remote site takes beyond its network delay is its lag; it tells nothing of how replicas work.
        let is_local = state.is_local();
        let first_pace = if is_local { pace } else { 1.0 };
        let seconds_per_work = self.service.seconds_per_work.value().unwrap_or(first_pace);
        let lag = (taken - seconds_per_work * attempt.work_ahead).max(0.0);
        let model = LoadModel { seconds_per_work, ..self.service.load_model(now) };
        let known_lag = if is_local { state.expected_lag(model) } else { state.load.lag().seconds };
        state.load.set_lag(Lag { seconds: known_lag + LAG_WEIGHT * (lag - known_lag), observed_at: now });
        if is_local {
            self.service.observe(now, ServiceSample { pace, lag, work: attempt.work });
            self.learn_part_work(class, &attempt, taken);
        }
    }

    /// Only an attempt with nothing of ours ahead of it tells the work of its part.
    fn learn_part_work(&mut self, class: RequestClassId, attempt: &OutstandingAttempt, taken: f64) {
        let cost = self.call_limits.cost;
        if attempt.work_ahead < (attempt.work + cost) * OWN_WORK_TOLERANCE {
            let work = (taken - cost).max(taken * MIN_WORK_FRACTION);
            self.classes[usize::from(class.0)].part_work.observe(work, QuantileEstimator::LOW);
        }
    }

    /// What the end of an attempt means for its query.
    fn proceed_after_end(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let id = attempt.part;
        let part = self.parts.get_mut(&id).expect("parts outlive their attempts");
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

    /// The part is answered; so is its query if it waits for no more.
    fn part_answered(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, id: PartId) {
        let part = self.parts.get_mut(&id).expect("parts outlive their attempts");
        part.is_done = true;
        part.is_waiting = false;
        let (query, weight) = (part.query, part.weight);
        self.cancel_attempts(output, id);
        let open = self.queries.get_mut(&query).expect("unanswered parts have open queries");
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

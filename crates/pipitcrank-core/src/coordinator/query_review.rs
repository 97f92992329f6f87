//! Periodic review of an open query, from its arrival to its final answer: enforces its deadlines (rule 1)
//! and hedges overdue attempts.

use super::final_answers::PossibleAnswer;
use super::open_query::OpenQuery;
use super::state::{State, Timer};
use crate::ids::{AttemptId, PartId, QueryId, RejectReason};
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

/// Time between two reviews of a query: a few ticks, far below any latency objective.
const REVIEW_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
/// Fraction of a query's parts that must be answered before the early overdue limit applies to the others.
const EARLY_OVERDUE_MIN_ANSWERED: f64 = 0.9;
/// Fraction of the latency objective after which the remaining parts of a mostly answered query are overdue.
/// It does not depend on measured response times, because that estimate grows without bound when many
/// attempts are never answered (docs/incidents/id3caa8.md).
const EARLY_OVERDUE_FRACTION: f64 = 0.35;

impl State {
    /// Ends the query if it is due, and otherwise enqueues hedged requests for its overdue attempts. Queries
    /// end in time because of this review alone, whatever happens to their attempts.
    pub(super) fn review_query(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: QueryId,
        serial: u64,
    ) {
        let Some(open) = self.queries.get(&id).filter(|q| q.serial == serial) else { return };
        let (final_review, answer_by) = (open.deadline - self.tick, open.answer_by);
        self.end_if_due(output, now, id);
        if !self.queries.contains_key(&id) {
            return;
        }
        self.enqueue_overdue(now, id);
        self.needs_dispatch = true;
        let times = [now + REVIEW_INTERVAL, answer_by, final_review];
        let next = times.into_iter().filter(|&t| t > now).min().expect("the review interval is positive");
        self.set_timer(output, next, Timer::ReviewQuery { query: id, serial });
    }

    /// Close to the latency objective or the client's deadline, gives the best answer that the answered parts
    /// allow. Rejects the query if no answer is possible in time, or if its first attempts have waited for
    /// too long.
    fn end_if_due(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, id: QueryId) {
        let open = &self.queries[&id];
        let is_deadline_near = now >= open.deadline - self.tick;
        let answer = self.possible_answer(open);
        if answer != PossibleAnswer::None && now >= open.answer_by {
            let is_complete = answer == PossibleAnswer::Complete;
            self.answer_query(output, now, id, is_complete, is_deadline_near);
        } else if let Some(reason) = self.reason_to_end(now, open, is_deadline_near) {
            self.end_without_answer(output, now, id, reason);
        }
    }

    fn reason_to_end(
        &self,
        now: Timestamp,
        open: &OpenQuery,
        is_deadline_near: bool,
    ) -> Option<RejectReason> {
        // In a class without a late weight, an answer after the latency objective earns nothing, while the
        // query still costs work and keeps a client waiting.
        let is_worthless = self.class_of(open).late_weight <= 0.0 && now >= open.objective_at;
        if is_deadline_near {
            Some(RejectReason::DeadlineExceeded)
        } else if is_worthless {
            Some(RejectReason::ObjectiveMissed)
        } else if self.is_first_attempt_late(now, open) {
            Some(RejectReason::NoReplicaInTime)
        } else {
            None
        }
    }

    /// Enqueues a hedged request for each part whose newest attempt is overdue.
    fn enqueue_overdue(&mut self, now: Timestamp, id: QueryId) {
        let open = &self.queries[&id];
        if now >= open.objective_at {
            return;
        }
        let latest = max_wait(open);
        for part in open.parts.clone() {
            if self.is_overdue(now, part, latest)
                && !self.parts[&part].is_waiting
                && self.may_attempt(now, part)
            {
                self.enqueue(part);
            }
        }
    }

    /// Returns whether the newest outstanding attempt of the part is overdue.
    fn is_overdue(&self, now: Timestamp, id: PartId, latest: TimeSpan) -> bool {
        let part = &self.parts[&id];
        let Some(number) = part.attempts.iter().rposition(|a| a.is_outstanding) else { return false };
        let replica = &self.replicas[&part.attempts[number].replica];
        let attempt_id = AttemptId { part: id, number: number as u32 };
        let attempt = &replica.load.outstanding[&attempt_id];
        let overdue_after = self.service.overdue_after(attempt.work_ahead).min(latest);
        now - attempt.sent_at > overdue_after + replica.network_delay
    }
}

/// Time after which any attempt of the query is overdue.
fn max_wait(open: &OpenQuery) -> TimeSpan {
    let is_mostly_answered =
        open.answered_parts as f64 >= open.parts.len() as f64 * EARLY_OVERDUE_MIN_ANSWERED;
    (open.objective_at - open.arrived) * if is_mostly_answered { EARLY_OVERDUE_FRACTION } else { 1.0 }
}

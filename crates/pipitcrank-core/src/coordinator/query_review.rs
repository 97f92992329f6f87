//! Reviews of an open query, from its arrival to its final answer: its deadlines (rule 1) and its overdue attempts.

use super::final_answers::PossibleAnswer;
use super::open_query::OpenQuery;
use super::state::{State, Timer};
use crate::ids::{AttemptId, PartId, QueryId, RejectReason};
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

/// Time between two reviews of a query: a few ticks, far below any latency objective.
const REVIEW_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
/// Fraction of a query's parts that have to be answered for the others to be overdue early.
const MOSTLY_ANSWERED: f64 = 0.9;
/// Fraction of the latency objective after which these are overdue, whatever other attempts took: where many attempts
/// are never answered the estimate of overdue runs away (docs/incidents/id3caa8.md).
const EARLY_OVERDUE_FRACTION: f64 = 0.35;

impl State {
    /// Ends the query when its time has come, and has overdue attempts hedged otherwise. That each query ends in its
    /// time rests on this alone, whatever becomes of its attempts.
    pub(super) fn review_query(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: QueryId,
        serial: u64,
    ) {
        let Some(open) = self.queries.get(&id).filter(|q| q.serial == serial) else { return };
        let (last_chance, answer_by) = (open.deadline - self.tick, open.answer_by);
        self.end_if_due(output, now, id);
        if !self.queries.contains_key(&id) {
            return;
        }
        self.enqueue_overdue(now, id);
        self.needs_dispatch = true;
        let times = [now + REVIEW_INTERVAL, answer_by, last_chance];
        let next = times.into_iter().filter(|&t| t > now).min().expect("the next review is ahead");
        self.set_timer(output, next, Timer::ReviewQuery { query: id, serial });
    }

    /// The best answer that the parts allow when the latency objective or the client's deadline is near; a rejection
    /// where there is none in time, or where the first attempts have waited for too long.
    fn end_if_due(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, id: QueryId) {
        let open = &self.queries[&id];
        let is_last_chance = now >= open.deadline - self.tick;
        let answer = self.possible_answer(open);
        if answer != PossibleAnswer::None && now >= open.answer_by {
            let is_complete = answer == PossibleAnswer::Complete;
            self.answer_query(output, now, id, is_complete, is_last_chance);
        } else if let Some(reason) = self.reason_to_give_up(now, open, is_last_chance) {
            self.give_up(output, now, id, reason);
        }
    }

    fn reason_to_give_up(
        &self,
        now: Timestamp,
        open: &OpenQuery,
        is_last_chance: bool,
    ) -> Option<RejectReason> {
        // Past the objective a request class that earns nothing late is only work, and a client held.
        let is_worthless = self.class_of(open).late_weight <= 0.0 && now >= open.objective_at;
        if is_last_chance {
            Some(RejectReason::DeadlineExceeded)
        } else if is_worthless {
            Some(RejectReason::ObjectiveMissed)
        } else if self.is_first_attempt_late(now, open) {
            Some(RejectReason::NoReplicaInTime)
        } else {
            None
        }
    }

    /// Has parts whose newest attempt is overdue placed once more, as hedged requests.
    fn enqueue_overdue(&mut self, now: Timestamp, id: QueryId) {
        let open = &self.queries[&id];
        if now >= open.objective_at {
            return;
        }
        let latest = longest_wait(open);
        for part in open.parts.clone() {
            if self.is_overdue(now, part, latest)
                && !self.parts[&part].is_waiting
                && self.may_attempt(now, part)
            {
                self.enqueue(part);
            }
        }
    }

    /// Whether the newest attempt out is.
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

/// Time after which attempts of the query are overdue in any case.
fn longest_wait(open: &OpenQuery) -> TimeSpan {
    let is_mostly_answered = open.answered_parts as f64 >= open.parts.len() as f64 * MOSTLY_ANSWERED;
    (open.objective_at - open.arrived) * if is_mostly_answered { EARLY_OVERDUE_FRACTION } else { 1.0 }
}

//! How queries end: answered, completely or in part (rule 12); rejected where repeating is harmless, aborted otherwise
//! (rule 6); or cancelled. A query has exactly one final answer.

use super::open_query::{OpenQuery, QueryStep};
use super::state::State;
use crate::ids::{AttemptId, Idempotency, PartId, QueryId, RejectReason, RequestClassId};
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

/// Weight of the parts from which a query may be answered, in the step that it is in.
pub(super) struct AnswerThresholds {
    pub(super) partial: f64,
    pub(super) complete: f64,
}

/// The best answer that the parts answered so far allow.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PossibleAnswer {
    None,
    Partial,
    Complete,
}

impl State {
    /// By how much sums of weights may fall short of a threshold.
    const WEIGHT_TOLERANCE: f64 = 1e-4;
    /// Fraction of the latency objective for which a query may wait for its first attempts; also its retry-after.
    const FIRST_ATTEMPT_FRACTION: f64 = 0.1;

    pub(super) fn thresholds(&self, open: &OpenQuery) -> AnswerThresholds {
        let class = self.class_of(open);
        let complete = if open.step == QueryStep::First { class.complete_threshold } else { 1.0 };
        let allows_partial = class.partial_threshold < class.complete_threshold;
        let partial = if allows_partial { class.partial_threshold } else { complete };
        AnswerThresholds {
            partial: partial - Self::WEIGHT_TOLERANCE,
            complete: complete - Self::WEIGHT_TOLERANCE,
        }
    }

    pub(super) fn possible_answer(&self, open: &OpenQuery) -> PossibleAnswer {
        let thresholds = self.thresholds(open);
        let is_allowed = open.answered_parts > 0 && open.answered_weight >= thresholds.partial;
        if !is_allowed {
            return PossibleAnswer::None;
        }
        let is_step_complete = open.step == QueryStep::First
            || open.is_first_step_complete && open.answered_parts == open.parts.len();
        if is_step_complete && open.answered_weight >= thresholds.complete {
            PossibleAnswer::Complete
        } else {
            PossibleAnswer::Partial
        }
    }

    /// Answers the query, or its first step. `is_last_chance`: its deadline leaves no time for a second step.
    pub(super) fn answer_query(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: QueryId,
        is_complete: bool,
        is_last_chance: bool,
    ) {
        output.answer(id, is_complete);
        let open = &self.queries[&id];
        let has_second_step = open.step == QueryStep::First && self.class_of(open).has_second_step;
        self.target_utilization.record_query(now <= open.objective_at);
        self.classes[usize::from(open.class.0)].client_stayed(now - open.arrived);
        if !has_second_step {
            return self.end_query(output, id);
        }
        let parts = self.begin_second_step(id, is_complete);
        self.end_parts(output, parts);
        if is_last_chance {
            self.give_up(output, now, id, RejectReason::DeadlineExceeded);
        }
    }

    /// Returns the parts of the first step.
    fn begin_second_step(&mut self, id: QueryId, is_first_complete: bool) -> Vec<PartId> {
        let open = self.queries.get_mut(&id).expect("answered queries are open");
        open.step = QueryStep::Second;
        open.is_first_step_complete = is_first_complete;
        open.answered_weight = 0.0;
        open.answered_parts = 0;
        std::mem::take(&mut open.parts)
    }

    /// Ends the query without an answer: rejected with a retry-after where repeating it is harmless, aborted otherwise.
    pub(super) fn give_up(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: QueryId,
        reason: RejectReason,
    ) {
        let open = &self.queries[&id];
        // Rejections count as well: when no answer is in time, they alone tell of clients that stayed.
        self.classes[usize::from(open.class.0)].client_stayed(now - open.arrived);
        let is_idempotent = self.class_of(open).idempotency == Idempotency::Idempotent;
        let is_begun = open.parts.iter().any(|p| !self.parts[p].attempts.is_empty());
        if is_idempotent || open.parts.iter().all(|p| self.parts[p].never_ran()) {
            output.reject(id, self.retry_after(open.class), reason);
        } else {
            output.abort(id, reason);
        }
        if is_begun {
            self.target_utilization.record_query(false);
        }
        self.end_query(output, id);
    }

    /// The retry-after of a query that was lost with the process that held it; none if it is aborted.
    pub(super) fn retry_after_if_lost(&self, class: RequestClassId) -> Option<TimeSpan> {
        let idempotency = self.class_config(class).idempotency;
        (idempotency == Idempotency::Idempotent).then(|| self.retry_after(class))
    }

    /// As long as a query may wait for its first attempts, up to what may be stated.
    fn retry_after(&self, class: RequestClassId) -> TimeSpan {
        let longest = self.retry_policy.max_retry_after.unwrap_or(TimeSpan::ZERO);
        let objective = self.class_config(class).latency_objective;
        (objective * Self::FIRST_ATTEMPT_FRACTION).min(longest)
    }

    /// Whether the query has waited for its first attempts for too long.
    pub(super) fn is_first_attempt_late(&self, now: Timestamp, open: &OpenQuery) -> bool {
        let longest_wait = (open.objective_at - open.arrived) * Self::FIRST_ATTEMPT_FRACTION;
        now - open.arrived > longest_wait && open.parts.iter().all(|p| self.parts[p].attempts.is_empty())
    }

    /// Gives up the query when the parts that can still be answered do not reach an answer.
    pub(super) fn check_reachable(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: QueryId,
    ) {
        let open = &self.queries[&id];
        let may_be_answered = |p: &&PartId| {
            let part = &self.parts[*p];
            part.is_done || part.outstanding_count() > 0 || self.could_attempt(now, **p)
        };
        let reachable: f64 = open.parts.iter().filter(may_be_answered).map(|p| self.parts[p].weight).sum();
        if reachable < self.thresholds(open).partial {
            self.give_up(output, now, id, RejectReason::AnswerUnreachable);
        }
    }

    /// The client has closed, or the query was ended from outside.
    pub(super) fn cancel_query(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, id: QueryId) {
        let Some(open) = self.queries.get(&id) else { return };
        let (class, age) = (&mut self.classes[usize::from(open.class.0)], now - open.arrived);
        if age < class.config.latency_objective {
            class.client_left(age);
        }
        self.end_query(output, id);
    }

    /// All queries held end by then at the latest. The platform may kill this process before their clients' deadlines,
    /// and what was answered in part would be lost.
    pub(super) fn cap_deadlines(&mut self, latest: Timestamp) {
        for open in self.queries.values_mut().filter(|open| latest < open.deadline) {
            open.deadline = latest;
            open.objective_at = open.objective_at.min(latest);
            open.answer_by = open.answer_by.min(latest - self.tick);
        }
    }

    fn end_query(&mut self, output: &mut dyn CoordinatorOutput, id: QueryId) {
        let open = self.queries.remove(&id).expect("queries that end are open");
        self.end_parts(output, open.parts);
        output.release_query(id);
    }

    fn end_parts(&mut self, output: &mut dyn CoordinatorOutput, parts: Vec<PartId>) {
        for id in parts {
            self.cancel_attempts(output, id);
            let part = self.parts.get_mut(&id).expect("parts outlive their query");
            part.is_waiting = false;
            part.is_done = true;
            self.release_part_if_unused(output, id);
        }
    }

    pub(super) fn cancel_attempts(&self, output: &mut dyn CoordinatorOutput, id: PartId) {
        if !self.retry_policy.may_cancel {
            return;
        }
        let attempts = self.parts[&id].attempts.iter().enumerate();
        for (number, _) in attempts.filter(|(_, attempt)| attempt.is_outstanding) {
            output.cancel_attempt(AttemptId { part: id, number: number as u32 });
        }
    }

    /// Releases the part if its query has ended or moved on and none of its attempts is out.
    pub(super) fn release_part_if_unused(&mut self, output: &mut dyn CoordinatorOutput, id: PartId) {
        let part = &self.parts[&id];
        let is_in_use = self.queries.get(&part.query).is_some_and(|q| q.parts.contains(&id));
        if !is_in_use && part.outstanding_count() == 0 {
            self.parts.remove(&id);
            output.release_part(id);
        }
    }
}

//! Final answers of queries: answered completely or partially (rule 12), rejected if a repeat is harmless and
//! otherwise aborted (rule 6), or cancelled. Each query has exactly one final answer.

use super::open_query::{OpenQuery, QueryStep};
use super::state::State;
use crate::ids::{AttemptId, Idempotency, PartId, QueryId, RejectReason, RequestClassId};
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

/// Weight of the answered parts from which a query may be answered in its current step.
pub(super) struct AnswerThresholds {
    pub(super) partial: f64,
    pub(super) complete: f64,
}

/// Best answer that the parts answered so far allow.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PossibleAnswer {
    None,
    Partial,
    Complete,
}

impl State {
    /// Tolerance for rounding when sums of weights are compared with a threshold.
    const WEIGHT_TOLERANCE: f64 = 1e-4;
    /// Fraction of the latency objective that a query may wait for its first attempts. It also determines the
    /// retry-after.
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

    /// Answers the query, or its first step. If `is_deadline_near` is set, there is no time left for a second
    /// step.
    pub(super) fn answer_query(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: QueryId,
        is_complete: bool,
        is_deadline_near: bool,
    ) {
        output.answer(id, is_complete);
        let open = &self.queries[&id];
        let has_second_step = open.step == QueryStep::First && self.class_of(open).has_second_step;
        self.target_utilization.record_query(now <= open.objective_at);
        self.classes[usize::from(open.class.0)].record_delivery(now - open.arrived);
        if !has_second_step {
            return self.end_query(output, id);
        }
        let parts = self.begin_second_step(id, is_complete);
        self.end_parts(output, parts);
        if is_deadline_near {
            self.end_without_answer(output, now, id, RejectReason::DeadlineExceeded);
        }
    }

    /// Starts the second step and returns the parts of the first one.
    fn begin_second_step(&mut self, id: QueryId, is_first_complete: bool) -> Vec<PartId> {
        let open = self.queries.get_mut(&id).expect("an answered query is open");
        open.step = QueryStep::Second;
        open.is_first_step_complete = is_first_complete;
        open.answered_weight = 0.0;
        open.answered_parts = 0;
        std::mem::take(&mut open.parts)
    }

    /// Ends the query without an answer. It is rejected with a retry-after if a repeat is harmless, and
    /// aborted otherwise.
    pub(super) fn end_without_answer(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: QueryId,
        reason: RejectReason,
    ) {
        let open = &self.queries[&id];
        // Rejections count as well: when no answer is in time, they are the only evidence of clients that
        // stay connected.
        self.classes[usize::from(open.class.0)].record_delivery(now - open.arrived);
        let is_idempotent = self.class_of(open).idempotency == Idempotency::Idempotent;
        let was_attempted = open.parts.iter().any(|p| !self.parts[p].attempts.is_empty());
        if is_idempotent || open.parts.iter().all(|p| self.parts[p].never_ran()) {
            output.reject(id, self.retry_after(open.class), reason);
        } else {
            output.abort(id, reason);
        }
        if was_attempted {
            self.target_utilization.record_query(false);
        }
        self.end_query(output, id);
    }

    /// Returns the retry-after for a query that was lost together with its process, or `None` if the query
    /// has to be aborted.
    pub(super) fn retry_after_if_lost(&self, class: RequestClassId) -> Option<TimeSpan> {
        let idempotency = self.class_config(class).idempotency;
        (idempotency == Idempotency::Idempotent).then(|| self.retry_after(class))
    }

    /// Returns the retry-after for a query of the class: the time that such a query may wait for its first
    /// attempts, capped at the configured maximum.
    pub(super) fn retry_after(&self, class: RequestClassId) -> TimeSpan {
        let longest = self.retry_policy.max_retry_after.unwrap_or(TimeSpan::ZERO);
        let objective = self.class_config(class).latency_objective;
        (objective * Self::FIRST_ATTEMPT_FRACTION).min(longest)
    }

    /// Returns whether the query has waited too long for its first attempts.
    pub(super) fn is_first_attempt_late(&self, now: Timestamp, open: &OpenQuery) -> bool {
        let max_wait = (open.objective_at - open.arrived) * Self::FIRST_ATTEMPT_FRACTION;
        now - open.arrived > max_wait && open.parts.iter().all(|p| self.parts[p].attempts.is_empty())
    }

    /// Ends the query if the parts that can still be answered are not enough for an answer.
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
            self.end_without_answer(output, now, id, RejectReason::AnswerUnreachable);
        }
    }

    /// Ends a query whose client has closed its connection, or that was cancelled by the caller.
    pub(super) fn cancel_query(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, id: QueryId) {
        let Some(open) = self.queries.get(&id) else { return };
        let (class, age) = (&mut self.classes[usize::from(open.class.0)], now - open.arrived);
        if age < class.config.latency_objective {
            class.record_abandonment(age);
        }
        self.end_query(output, id);
    }

    /// Caps the deadlines of all open queries. The platform may kill this process before the clients'
    /// deadlines, and partial results would be lost.
    pub(super) fn cap_deadlines(&mut self, latest: Timestamp) {
        for open in self.queries.values_mut().filter(|open| latest < open.deadline) {
            open.deadline = latest;
            open.objective_at = open.objective_at.min(latest);
            open.answer_by = open.answer_by.min(latest - self.tick);
        }
    }

    fn end_query(&mut self, output: &mut dyn CoordinatorOutput, id: QueryId) {
        let open = self.queries.remove(&id).expect("a query that ends is open");
        self.end_parts(output, open.parts);
        output.release_query(id);
    }

    fn end_parts(&mut self, output: &mut dyn CoordinatorOutput, parts: Vec<PartId>) {
        for id in parts {
            self.cancel_attempts(output, id);
            let part = self.parts.get_mut(&id).expect("a part outlives its query");
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

    /// Releases the part if its query has ended or moved on to the next step, and no attempt of the part is
    /// outstanding.
    pub(super) fn release_part_if_unused(&mut self, output: &mut dyn CoordinatorOutput, id: PartId) {
        let part = &self.parts[&id];
        let is_in_use = self.queries.get(&part.query).is_some_and(|q| q.parts.contains(&id));
        if !is_in_use && part.outstanding_count() == 0 {
            self.parts.remove(&id);
            output.release_part(id);
        }
    }
}

//! Decides whether a part may be attempted once more: within the deadline of its query (rule 1), without a
//! forbidden repeat (rule 6), and within the retry budget (rule 11).

use super::state::State;
use crate::ids::{AttemptDenied, AttemptId, Idempotency, PartId};
use crate::time::Timestamp;

impl State {
    /// Returns whether rules 1, 6, 7 and 11 allow one more attempt of the part.
    pub(super) fn may_attempt(&mut self, now: Timestamp, id: PartId) -> bool {
        if !self.could_attempt(now, id) {
            return false;
        }
        let part = &self.parts[&id];
        if part.attempts.is_empty() {
            return true;
        }
        let delegated = self.queries.get(&part.query).and_then(|q| q.delegated_retries);
        delegated.map_or_else(|| self.retry_budget.remaining(now), f64::from) >= 1.0
    }

    /// Returns whether rules 1, 6 and 7 allow one more attempt of the part, now or once the retry budget
    /// (rule 11) has refilled.
    pub(super) fn could_attempt(&self, now: Timestamp, id: PartId) -> bool {
        let part = &self.parts[&id];
        let Some(open) = self.queries.get(&part.query) else { return false };
        self.may_repeat(now, id, part.attempts.len())
            && !part.is_done
            && now < open.deadline - self.tick
            && part.attempt_count() < self.retry_policy.max_attempts
            && (part.outstanding_count() == 0 || self.retry_policy.may_hedge)
    }

    /// Returns whether rule 6 allows the attempt that follows `earlier` others. A repeat of a request that
    /// is idempotent by key must reach the replica while the replica still recognises the key.
    fn may_repeat(&self, now: Timestamp, id: PartId, earlier: usize) -> bool {
        let part = &self.parts[&id];
        let may_have_run = part.attempts.iter().take(earlier).find(|a| !a.never_ran);
        let class = self.class_config(part.class);
        match (class.idempotency, may_have_run) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotentByKey, Some(first)) => {
                now - first.sent_at + self.retry_policy.max_network_delay < class.idempotency_window
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// Checks rules 6 and 11 once more when the attempt is sent.
    pub(super) fn begin_attempt(&mut self, now: Timestamp, attempt: AttemptId) -> Result<(), AttemptDenied> {
        let index = attempt.number as usize;
        if !self.may_repeat(now, attempt.part, index) {
            return Err(AttemptDenied::RepeatForbidden);
        }
        let part = &self.parts[&attempt.part];
        let is_forwarded = self.queries.get(&part.query).is_some_and(|q| q.delegated_retries.is_some());
        if attempt.number == 0 || is_forwarded {
            return Ok(());
        }
        if !self.retry_budget.try_begin_retry(part.attempts[index].counted_at, now) {
            return Err(AttemptDenied::RetryBudgetSpent);
        }
        let part = self.parts.get_mut(&attempt.part).expect("a part outlives its attempts");
        // The caller may requeue the attempt and begin it again, so the time of its last charge is stored.
        part.attempts[index].counted_at = now;
        Ok(())
    }
}

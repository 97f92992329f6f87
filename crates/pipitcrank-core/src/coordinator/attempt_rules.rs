//! Decides whether a part may be attempted once more: within the deadline of its query (rule 1), without a
//! forbidden repeat (rule 6), and within the retry budget (rule 11).

use super::state::State;
use crate::ids::{AttemptDenied, AttemptId, Idempotency, PartId};
use crate::time::Timestamp;

impl State {
    /// Applies rules 1, 6, 7 and 11 to one more attempt.
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

    /// Applies rules 1, 6 and 7 only. The retry budget is left out because it refills.
    pub(super) fn could_attempt(&self, now: Timestamp, id: PartId) -> bool {
        let part = &self.parts[&id];
        let Some(open) = self.queries.get(&part.query) else { return false };
        self.may_repeat(now, id, part.attempts.len())
            && !part.is_done
            && now < open.deadline - self.tick
            && part.attempt_count() < self.retry_policy.max_attempts
            && (part.outstanding_count() == 0 || self.retry_policy.may_hedge)
    }

    /// Applies rule 6 to the attempt that follows `earlier` others. The time at which a repeat reaches the
    /// replica counts, and by then the replica must still recognise the idempotency key.
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

    /// Applies rules 6 and 11 at the time the attempt is sent.
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
        // The caller may requeue the attempt and begin it again.
        part.attempts[index].counted_at = now;
        Ok(())
    }
}

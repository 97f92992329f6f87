//! Two processes as one co-ordinator, while one hands over to the other. What each may spend is divided by
//! `pipitcrank_handover`.

use super::state::State;
use crate::time::Timestamp;

impl State {
    /// Id of the delegation to the process that hands over.
    pub(super) const PREDECESSOR: u64 = u64::MAX;

    pub(super) fn limit_to_delegated_retries(&mut self, count: u32, expires_at: Timestamp) {
        self.retry_budget.limit_to(count, expires_at);
        self.slow_start.close();
    }

    pub(super) fn delegate_to_predecessor(&mut self, count: u32, expires_at: Timestamp) {
        self.retry_budget.delegate(Self::PREDECESSOR, count, expires_at);
    }

    pub(super) fn settle_with_predecessor(&mut self, now: Timestamp, made: u32) {
        self.retry_budget.settle_delegation(now, Self::PREDECESSOR, made);
    }

    /// What the other process did is not known: it is held to have spent all it might, so nothing of a kind goes until
    /// the window in which that counts has passed.
    pub(super) fn resume_without_peer(&mut self, now: Timestamp) {
        self.retry_budget.reclaim(now, Self::PREDECESSOR);
        self.slow_start.reopen(now);
        self.needs_dispatch = true;
    }
}

//! Two processes that act as one co-ordinator during a handover. `pipitcrank_handover` splits the budgets
//! between them.

use super::state::State;
use crate::time::Timestamp;

impl State {
    /// Id of the delegation to the predecessor process.
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

    /// Ends the split of the budgets when it is not known what the other process spent. That process is
    /// assumed to have spent all it was allowed, so retries and slow-start sends are blocked for the length
    /// of their windows.
    pub(super) fn resume_without_peer(&mut self, now: Timestamp) {
        self.retry_budget.reclaim(now, Self::PREDECESSOR);
        self.slow_start.reopen(now);
        self.needs_dispatch = true;
    }
}

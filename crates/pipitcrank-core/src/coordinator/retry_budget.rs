//! The retry budget: limits attempts beyond the first of each part, relative to the admitted queries and
//! parts (rule 11). Both are counted over the same sliding window.

use std::collections::VecDeque;

use super::delegated_retries::{DelegatedRetries, Delegation};
use crate::sliding_count::SlidingCount;
use crate::time::{TimeSpan, Timestamp};

/// Limits on the number of retries in any window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed per admitted query or part.
    pub fraction: f64,
    /// Retries allowed in addition, independent of admissions.
    pub free: f64,
    /// Length of the sliding window. Zero disables the budget, so that retries are not limited.
    pub window: TimeSpan,
}

/// Upper bound of what this process may still spend while another process holds the budget.
#[derive(Clone, Copy)]
struct Allotment {
    remaining: f64,
    expires_at: Timestamp,
}

/// Counts admissions and retries, and computes how many retries remain.
#[derive(Default)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    /// Admissions within the window.
    pub(super) admissions: SlidingCount,
    /// Times of retries within the window, oldest first.
    pub(super) retries: VecDeque<Timestamp>,
    /// Delegations. Those that expire unsettled count as made.
    pub(super) delegated: DelegatedRetries,
    allotment: Option<Allotment>,
    /// No retries are allowed before this time.
    closed_until: Timestamp,
}

impl RetryBudget {
    /// Largest fraction of the remaining retries that is delegated at once. The rest is kept for the parts of
    /// this process.
    const DELEGATED_FRACTION: f64 = 0.25;

    /// Creates a budget with empty counts.
    pub fn from_config(config: RetryBudgetConfig) -> RetryBudget {
        RetryBudget { config, closed_until: Timestamp::from_micros(i64::MIN), ..RetryBudget::default() }
    }

    /// Creates a budget from single values. Without a window retries are not limited.
    pub fn new(fraction: f64, free: f64, window: Option<TimeSpan>) -> RetryBudget {
        let window = window.unwrap_or(TimeSpan::ZERO);
        RetryBudget::from_config(RetryBudgetConfig { fraction, free, window })
    }

    /// Returns the configuration of the budget.
    pub fn config(&self) -> RetryBudgetConfig {
        self.config
    }

    /// Returns the number of retries that may be made now. Delegated retries may be made at any time until
    /// they expire. Therefore only those admissions count that will still be in the window at the last
    /// expiry; otherwise local and delegated retries together could exceed the budget of one window.
    pub fn remaining(&mut self, now: Timestamp) -> f64 {
        let expired: Vec<Delegation> = self.delegated.take_expired(now).collect();
        for delegation in expired {
            (0..delegation.count).for_each(|_| self.insert_retry(delegation.expires_at));
        }
        // An admission at the edge of the window is outside it, a retry at the edge is inside.
        self.admissions.remove_expired(now, self.config.window);
        while self.retries.front().is_some_and(|&t| now - t > self.config.window) {
            self.retries.pop_front();
        }
        if self.is_unlimited() {
            return f64::INFINITY;
        }
        match self.allotment {
            _ if now < self.closed_until => 0.0,
            Some(allotment) if now < allotment.expires_at => allotment.remaining,
            Some(_) => 0.0,
            None => self.remaining_until(self.delegated.last_expiry().unwrap_or(now)),
        }
    }

    /// Charges one retry.
    pub fn spend(&mut self, now: Timestamp) {
        self.insert_retry(now);
        if let Some(allotment) = &mut self.allotment {
            allotment.remaining -= 1.0;
        }
    }

    /// Moves the charge of a retry from `counted_at` to `now`, when the retry is sent. Returns false if the
    /// retry may no longer be sent. Without this check, retries that waited for a connection would be sent
    /// in addition to the retries of the next window.
    pub fn try_begin_retry(&mut self, counted_at: Timestamp, now: Timestamp) -> bool {
        if self.is_unlimited() {
            return true;
        }
        if let Some(position) = self.retries.iter().position(|&t| t == counted_at) {
            self.retries.remove(position);
        }
        // A retry from an allotment was already charged when it was decided.
        let may_begin = self.allotment.map_or_else(|| self.remaining(now) >= 1.0, |a| now < a.expires_at);
        if may_begin {
            self.insert_retry(now);
        }
        may_begin
    }

    /// Records the admission of a query or a part.
    pub fn record_admission(&mut self, now: Timestamp) {
        self.admissions.remove_expired(now, self.config.window);
        self.admissions.add(now, 1);
    }

    /// Removes the newest admission, because the site that forwarded the query counts it.
    pub(super) fn undo_admission(&mut self) {
        self.admissions.remove_newest();
    }

    /// Delegates up to `max_count` retries under this id until `expires_at`, which must lie within the
    /// window. Returns the number delegated.
    pub fn delegate_up_to(
        &mut self,
        now: Timestamp,
        delegation_id: u64,
        max_count: u32,
        expires_at: Timestamp,
    ) -> u32 {
        if self.is_unlimited() {
            return max_count;
        }
        // An allotment covers only the parts of this process, so none of it is delegated.
        if self.allotment.is_some() {
            return 0;
        }
        let last_expiry = self.delegated.last_expiry().unwrap_or(expires_at).max(expires_at);
        let outlasts_window = expires_at - now > self.config.window;
        let remaining = if self.remaining(now) < 1.0 || outlasts_window {
            0.0
        } else {
            self.remaining_until(last_expiry)
        };
        let count = ((remaining * Self::DELEGATED_FRACTION).floor().max(0.0) as u32).min(max_count);
        if count > 0 {
            self.delegate(delegation_id, count, expires_at);
        }
        count
    }

    /// Delegates exactly `count` retries until `expires_at`.
    pub fn delegate(&mut self, delegation_id: u64, count: u32, expires_at: Timestamp) {
        self.delegated.insert(delegation_id, Delegation { count, expires_at });
    }

    /// Settles a delegation of which `made` retries were used. Has no effect after its expiry, when all of
    /// its retries were counted as made.
    pub fn settle_delegation(&mut self, now: Timestamp, delegation_id: u64, made: u32) {
        if let Some(delegation) = self.delegated.remove(delegation_id) {
            (0..made.min(delegation.count)).for_each(|_| self.insert_retry(now));
        }
    }

    /// Limits this process to `count` retries before `expires_at`, because another process holds the budget.
    pub(super) fn limit_to(&mut self, count: u32, expires_at: Timestamp) {
        self.allotment = Some(Allotment { remaining: f64::from(count), expires_at });
    }

    /// Returns how many retries of the allotment remain, or 0 without one.
    pub(super) fn allotment_left(&self) -> u32 {
        self.allotment.map_or(0, |a| a.remaining.max(0.0) as u32)
    }

    /// Returns the whole budget to this process. The number of retries made under the delegation is unknown,
    /// so no retries are allowed for one window.
    pub(super) fn reclaim(&mut self, now: Timestamp, delegation_id: u64) {
        self.allotment = None;
        self.delegated.remove(delegation_id);
        self.closed_until = now + self.config.window;
    }

    /// Number of entries by which the admissions within the window are stored.
    pub fn admission_entries(&self) -> usize {
        self.admissions.stored_runs()
    }

    /// Counts a retry at `at`. Expired delegations are counted late, so it need not be the newest.
    fn insert_retry(&mut self, at: Timestamp) {
        let position = self.retries.partition_point(|&t| t <= at);
        self.retries.insert(position, at);
    }

    fn is_unlimited(&self) -> bool {
        self.config.window == TimeSpan::ZERO
    }

    /// Returns how many retries remain if only those admissions count that are still in the window at
    /// `until`.
    fn remaining_until(&self, until: Timestamp) -> f64 {
        let admitted = self.admissions.count_within(until, self.config.window);
        self.config.free + self.config.fraction * admitted as f64
            - self.retries.len() as f64
            - f64::from(self.delegated.total())
    }
}

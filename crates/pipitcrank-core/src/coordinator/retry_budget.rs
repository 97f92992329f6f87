//! The retry budget: how many attempts beyond a part's first may be made, relative to the queries and parts admitted
//! (rule 11). Both are counted over one sliding window.

use std::collections::VecDeque;

use super::delegated_retries::{DelegatedRetries, Delegation};
use crate::time::{TimeSpan, Timestamp};

/// How many retries are allowed in any window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries for each query or part admitted.
    pub fraction: f64,
    /// Retries beside these.
    pub free: f64,
    /// Length of the sliding window; zero is no budget, and retries are not limited.
    pub window: TimeSpan,
}

/// All that this process may still spend while another process has the budget.
#[derive(Clone, Copy)]
struct Allotment {
    remaining: f64,
    expires_at: Timestamp,
}

/// Counts admissions and retries, and says how many retries remain.
#[derive(Default)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    /// Times of admissions; emptied as they leave the window.
    pub(super) admissions: VecDeque<Timestamp>,
    /// Times of retries; emptied as they leave the window.
    pub(super) retries: VecDeque<Timestamp>,
    /// Counted as made when they expire unsettled.
    pub(super) delegated: DelegatedRetries,
    allotment: Option<Allotment>,
    /// No retries before then.
    closed_until: Timestamp,
}

impl RetryBudget {
    /// Largest fraction of what remains that is delegated at once: this process's own parts may need retries as well.
    const DELEGATED_FRACTION: f64 = 0.25;

    /// A budget with nothing counted yet.
    pub fn from_config(config: RetryBudgetConfig) -> RetryBudget {
        RetryBudget { config, closed_until: Timestamp::from_micros(i64::MIN), ..RetryBudget::default() }
    }

    /// The same from single values; without a window retries are not limited.
    pub fn new(fraction: f64, free: f64, window: Option<TimeSpan>) -> RetryBudget {
        let window = window.unwrap_or(TimeSpan::ZERO);
        RetryBudget::from_config(RetryBudgetConfig { fraction, free, window })
    }

    /// What it was made from.
    pub fn config(&self) -> RetryBudgetConfig {
        self.config
    }

    /// Retries that may be made now. Delegated retries may be made at any time until they expire, so only admissions
    /// count that are still in the window then: otherwise both together could exceed the budget of one window.
    pub fn remaining(&mut self, now: Timestamp) -> f64 {
        for delegation in self.delegated.take_expired(now) {
            (0..delegation.count).for_each(|_| self.retries.push_back(delegation.expires_at));
        }
        // An admission on the window's edge counts as out of it, a retry on the edge as in it.
        self.admissions.retain(|&t| now - t < self.config.window);
        self.retries.retain(|&t| now - t <= self.config.window);
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

    /// One retry is made.
    pub fn spend(&mut self, now: Timestamp) {
        self.retries.push_back(now);
        if let Some(allotment) = &mut self.allotment {
            allotment.remaining -= 1.0;
        }
    }

    /// A retry that was counted at `counted_at` goes out now; false where it may not. Attempts may wait for their
    /// connections, and would otherwise go out beside the retries of the next window.
    pub fn try_begin_retry(&mut self, counted_at: Timestamp, now: Timestamp) -> bool {
        if self.is_unlimited() {
            return true;
        }
        if let Some(place) = self.retries.iter().position(|&t| t == counted_at) {
            self.retries.remove(place);
        }
        // A retry from an allotment was counted when it was decided.
        let may_begin = self.allotment.map_or_else(|| self.remaining(now) >= 1.0, |a| now < a.expires_at);
        if may_begin {
            self.retries.push_back(now);
        }
        may_begin
    }

    /// A query or a part is admitted.
    pub fn record_admission(&mut self, now: Timestamp) {
        self.remaining(now);
        self.admissions.push_back(now);
    }

    /// The newest admission is counted elsewhere.
    pub(super) fn undo_admission(&mut self) {
        self.admissions.pop_back();
    }

    /// Delegates up to `most` retries under that id until they expire, which has to be within the window; returns
    /// how many.
    pub fn delegate_up_to(
        &mut self,
        now: Timestamp,
        delegation_id: u64,
        most: u32,
        expires_at: Timestamp,
    ) -> u32 {
        if self.is_unlimited() {
            return most;
        }
        // An allotment is for the parts of this process alone.
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
        let count = ((remaining * Self::DELEGATED_FRACTION).floor().max(0.0) as u32).min(most);
        if count > 0 {
            self.delegate(delegation_id, count, expires_at);
        }
        count
    }

    /// Delegates exactly so many retries until they expire.
    pub fn delegate(&mut self, delegation_id: u64, count: u32, expires_at: Timestamp) {
        self.delegated.insert(delegation_id, Delegation { count, expires_at });
    }

    /// So many of the delegated retries were made, and no more will be. Nothing happens after their expiry, when all were
    /// counted as made.
    pub fn settle_delegation(&mut self, now: Timestamp, delegation_id: u64, made: u32) {
        if let Some(delegation) = self.delegated.remove(delegation_id) {
            (0..made.min(delegation.count)).for_each(|_| self.retries.push_back(now));
        }
    }

    /// From now on at most so many retries, none after `expires_at`: another process has the budget.
    pub(super) fn limit_to(&mut self, count: u32, expires_at: Timestamp) {
        self.allotment = Some(Allotment { remaining: f64::from(count), expires_at });
    }

    /// How many of those are left.
    pub(super) fn allotment_left(&self) -> u32 {
        self.allotment.map_or(0, |a| a.remaining.max(0.0) as u32)
    }

    /// This process has the whole budget again; how many were made is not known, so no retries for a window.
    pub(super) fn reclaim(&mut self, now: Timestamp, delegation_id: u64) {
        self.allotment = None;
        self.delegated.remove(delegation_id);
        self.closed_until = now + self.config.window;
    }

    fn is_unlimited(&self) -> bool {
        self.config.window == TimeSpan::ZERO
    }

    /// What remains if only those admissions count that are still in the window at `until`.
    fn remaining_until(&self, until: Timestamp) -> f64 {
        let admitted = self.admissions.iter().filter(|&&t| until - t < self.config.window).count();
        self.config.free + self.config.fraction * admitted as f64
            - self.retries.len() as f64
            - f64::from(self.delegated.total())
    }
}

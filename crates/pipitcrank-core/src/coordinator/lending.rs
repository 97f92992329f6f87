//! Further calls lent to others: to the old process of an upgrade, to another site for the parts it was sent. Whoever has
//! them may make them at any time until they end, so both together have to keep rule 6 whenever that is.

use super::RetryBudget;
use crate::time::{TimeSpan, Timestamp};

impl RetryBudget {
    /// The same with those arrivals alone that count at that time.
    pub(super) fn lasting(&self, by: Timestamp) -> f64 {
        let taken = self.admitted.iter().filter(|&&t| by - t < self.config.window).count();
        let lent: u32 = self.lent.values().map(|l| l.0).sum();
        self.config.free + self.config.fraction * taken as f64 - self.retries.len() as f64 - f64::from(lent)
    }

    /// Most of what is left that is lent at once: others' parts may need further calls as well.
    const LENT_SHARE: f64 = 0.25;

    /// Lends up to so many until then, which has to come within the window; how many.
    pub fn delegate_up_to(&mut self, now: Timestamp, who: u64, most: u32, until: Timestamp) -> u32 {
        if self.config.window == TimeSpan::ZERO {
            return most;
        }
        // What a process that hands over keeps is its own parts' alone.
        if self.purse.is_some() {
            return 0;
        }
        let by = self.lent.values().map(|l| l.1).max().unwrap_or(until).max(until);
        let left = if self.remaining(now) < 1.0 || until - now > self.config.window {
            0.0
        } else {
            self.lasting(by)
        };
        let n = ((left * Self::LENT_SHARE).floor().max(0.0) as u32).min(most);
        if n > 0 {
            self.lent.insert(who, (n, until));
        }
        n
    }

    /// Delegates so many until then.
    pub fn delegate(&mut self, who: u64, n: u32, until: Timestamp) {
        self.lent.insert(who, (n, until));
    }

    /// Whoever it was lent to made so many; nothing where its time is over, as then all count.
    pub fn settle_delegation(&mut self, now: Timestamp, who: u64, made: u32) {
        if let Some((n, _)) = self.lent.remove(&who) {
            (0..made.min(n)).for_each(|_| self.retries.push_back(now));
        }
    }
}

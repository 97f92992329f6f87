//! The retry budget: how many attempts beyond a part's first may be made, of what was taken (rule 6). What of it others may
//! spend is in `lending.rs`.

use std::collections::{BTreeMap, VecDeque};

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

/// Rule 6: attempts beyond a part's first, against what was taken, both over one sliding window.
#[derive(Default)]
pub struct RetryBudget {
    pub(super) config: RetryBudgetConfig,
    /// Times of arrivals and of further calls; emptied as they leave the window.
    pub(super) admitted: VecDeque<Timestamp>,
    pub(super) retries: VecDeque<Timestamp>,
    /// Calls that others may make for this co-ordinator until then, by who; made, if not told until then.
    pub(super) lent: BTreeMap<u64, (u32, Timestamp)>,
    /// Where another process has the budget: all that this one may make, and until when; none before `shut`.
    pub(super) purse: Option<(f64, Timestamp)>,
    pub(super) shut: Timestamp,
}

impl RetryBudget {
    /// A budget with nothing counted yet.
    pub fn from_config(config: RetryBudgetConfig) -> RetryBudget {
        RetryBudget { config, shut: Timestamp::from_micros(i64::MIN), ..RetryBudget::default() }
    }

    /// The same from single values; without a window retries are not limited.
    pub fn new(fraction: f64, free: f64, window: Option<TimeSpan>) -> RetryBudget {
        let window = window.unwrap_or(TimeSpan::ZERO);
        RetryBudget::from_config(RetryBudgetConfig { fraction, free, window })
    }

    /// Further calls that may be made now. What is lent may be made at any time until it ends, so only
    /// arrivals count that still do then. Guards against two who spend in turn more than one window allows.
    pub fn remaining(&mut self, now: Timestamp) -> f64 {
        for (_, (n, until)) in self.lent.extract_if(.., |_, l| l.1 <= now) {
            (0..n).for_each(|_| self.retries.push_back(until));
        }
        // An arrival on the window's edge is taken as out, a further call on it as in.
        self.admitted.retain(|&t| now - t < self.config.window);
        self.retries.retain(|&t| now - t <= self.config.window);
        if self.config.window == TimeSpan::ZERO {
            return f64::INFINITY;
        }
        match self.purse {
            _ if now < self.shut => 0.0,
            Some((left, until)) if now < until => left,
            Some(_) => 0.0,
            None => self.lasting(self.lent.values().map(|l| l.1).max().unwrap_or(now)),
        }
    }

    /// One further call is made.
    pub fn spend(&mut self, now: Timestamp) {
        self.retries.push_back(now);
        self.purse = self.purse.map(|(left, until)| (left - 1.0, until));
    }

    /// A further call that was counted then begins now, where the host can tell; false where it may not. Guards against calls
    /// that wait for their connections and go out beside those of the next window.
    pub fn begins(&mut self, counted: Timestamp, now: Timestamp) -> bool {
        if self.config.window == TimeSpan::ZERO {
            return true;
        }
        if let Some(place) = self.retries.iter().position(|&t| t == counted) {
            self.retries.remove(place);
        }
        // What a process that hands over kept was counted as it was decided.
        let may = self.purse.map_or_else(|| self.remaining(now) >= 1.0, |(_, until)| now < until);
        if may {
            self.retries.push_back(now);
        }
        may
    }

    /// A query or a part is admitted.
    pub fn record_admission(&mut self, now: Timestamp) {
        self.remaining(now);
        self.admitted.push_back(now);
    }
}

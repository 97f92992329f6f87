//! The retry budget: how many attempts beyond a part's first may be made, of what was taken (rule 6). What of it others may
//! spend is in `lending.rs`.

use std::collections::{BTreeMap, VecDeque};

use crate::time::{TimeSpan, Timestamp};

/// Rule 6: attempts beyond a part's first, against what was taken, both over one sliding window.
#[derive(Default)]
pub struct RetryBudget {
    pub(super) share: f64,
    pub(super) free: f64,
    pub(super) span: TimeSpan,
    /// Times of arrivals and of further calls; emptied as they leave the window.
    pub(super) taken: VecDeque<Timestamp>,
    pub(super) further: VecDeque<Timestamp>,
    /// Calls that others may make for this co-ordinator until then, by who; made, if not told until then.
    pub(super) lent: BTreeMap<u64, (u32, Timestamp)>,
    /// Where another process has the budget: all that this one may make, and until when; none before `shut`.
    pub(super) purse: Option<(f64, Timestamp)>,
    pub(super) shut: Timestamp,
}

impl RetryBudget {
    pub fn new(share: f64, free: f64, span: Option<TimeSpan>) -> RetryBudget {
        let span = span.unwrap_or(TimeSpan::ZERO);
        RetryBudget { share, free, span, shut: Timestamp::from_micros(i64::MIN), ..RetryBudget::default() }
    }

    /// Further calls that may be made now. What is lent may be made at any time until it ends, so only
    /// arrivals count that still do then. Guards against two who spend in turn more than one window allows.
    pub fn left(&mut self, now: Timestamp) -> f64 {
        for (_, (n, until)) in self.lent.extract_if(.., |_, l| l.1 <= now) {
            (0..n).for_each(|_| self.further.push_back(until));
        }
        // An arrival on the window's edge is taken as out, a further call on it as in.
        self.taken.retain(|&t| now - t < self.span);
        self.further.retain(|&t| now - t <= self.span);
        if self.span == TimeSpan::ZERO {
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
        self.further.push_back(now);
        self.purse = self.purse.map(|(left, until)| (left - 1.0, until));
    }

    /// A further call that was counted then begins now, where the host can tell; false where it may not. Guards against calls
    /// that wait for their connections and go out beside those of the next window.
    pub fn begins(&mut self, counted: Timestamp, now: Timestamp) -> bool {
        if self.span == TimeSpan::ZERO {
            return true;
        }
        if let Some(place) = self.further.iter().position(|&t| t == counted) {
            self.further.remove(place);
        }
        // What a process that hands over kept was counted as it was decided.
        let may = self.purse.map_or_else(|| self.left(now) >= 1.0, |(_, until)| now < until);
        if may {
            self.further.push_back(now);
        }
        may
    }

    pub fn take(&mut self, now: Timestamp) {
        self.left(now);
        self.taken.push_back(now);
    }
}

//! Counts events within a sliding window. Its memory and the cost of an update depend on the number of distinct points in
//! time in the window, not on the number of events, so that a flood of events cannot make either grow.

use std::collections::VecDeque;

use crate::time::{TimeSpan, Timestamp};

/// Events at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Run {
    at: Timestamp,
    count: usize,
}

/// A count of events by time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlidingCount {
    /// Oldest first.
    runs: VecDeque<Run>,
    total: usize,
}

impl SlidingCount {
    /// Creates a count of events at these times, in any order.
    pub fn from_times(mut times: Vec<Timestamp>) -> SlidingCount {
        times.sort_unstable();
        let mut count = SlidingCount::default();
        times.into_iter().for_each(|at| count.add(at, 1));
        count
    }

    /// Adds events at `at`, which must not be before any event added earlier.
    pub fn add(&mut self, at: Timestamp, count: usize) {
        match self.runs.back_mut() {
            Some(newest) if newest.at == at => newest.count += count,
            _ => self.runs.push_back(Run { at, count }),
        }
        self.total += count;
    }

    /// Removes the newest event, if there is one.
    pub fn remove_newest(&mut self) {
        let Some(newest) = self.runs.back_mut() else { return };
        newest.count -= 1;
        self.total -= 1;
        if newest.count == 0 {
            self.runs.pop_back();
        }
    }

    /// Removes the events that are `span` or more in the past.
    pub fn remove_expired(&mut self, now: Timestamp, span: TimeSpan) {
        while let Some(oldest) = self.runs.front().filter(|run| now - run.at >= span) {
            self.total -= oldest.count;
            self.runs.pop_front();
        }
    }

    /// Number of events.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Number of events that are less than `span` before `until`.
    pub fn count_within(&self, until: Timestamp, span: TimeSpan) -> usize {
        let older = self.runs.iter().take_while(|run| until - run.at >= span);
        self.total - older.map(|run| run.count).sum::<usize>()
    }

    /// Time of each event, oldest first.
    pub fn times(&self) -> impl Iterator<Item = Timestamp> + '_ {
        self.runs.iter().flat_map(|run| std::iter::repeat_n(run.at, run.count))
    }

    /// Number of distinct points in time that are stored.
    pub fn stored_runs(&self) -> usize {
        self.runs.len()
    }
}

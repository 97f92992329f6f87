//! Slow start: how much work may go to a replica that has just started (rule 4).

use std::collections::VecDeque;

use crate::time::{TimeSpan, Timestamp};

/// Rule 4: what this co-ordinator may send to a replica that has just started.
#[derive(Clone, Debug, Default)]
pub struct SlowStartConfig {
    /// Fraction of its capacity that a replica has at its start.
    pub initial_capacity: f64,
    /// Time in which the capacity rises to all of it.
    pub warm_up: TimeSpan,
    /// Multiple of its capacity that a replica bears.
    pub overload_factor: f64,
    /// Length of the sliding window over which work sent is counted.
    pub window: TimeSpan,
    /// How many co-ordinators there are, this one counted.
    pub coordinators: u32,
}

/// The rule, and since when it lets anything through.
#[derive(Default)]
pub(super) struct SlowStart {
    pub(super) config: SlowStartConfig,
    /// Nothing to cold replicas before then: another process has the allowance, or had it.
    pub(super) shut: Timestamp,
}

impl SlowStart {
    pub(super) fn new(config: SlowStartConfig) -> SlowStart {
        SlowStart { config, shut: Timestamp::from_micros(i64::MIN) }
    }

    /// Of the allowance that the rule replicas, how much is used: the rest is for uneven co-ordinators and
    /// small replicas. At 0.6 a release starved the fresh replicas and jammed the others (if0ee79).
    const USED: f64 = 0.8;
    /// Windows without a query whose room is saved: one of hundreds is asked in few, and all would use little of the room.
    pub(super) const SAVED: f64 = 2.0;

    pub(super) fn is_cold(&self, started: Option<Timestamp>, now: Timestamp) -> bool {
        started.is_some_and(|t| now - t < self.config.warm_up)
    }

    /// Work that may go to the replica now. `carried` is the work a second that a replica carries for this
    /// co-ordinator: in use below capacity, so a careful stand-in for this co-ordinator's share of it. The
    /// slowest legal warming is assumed; at least one part is in work at a time. Room for a share of a part goes by the lot
    /// drawn for the window: hundreds together send what there is room for. One lot for all: queries need all their replicas.
    pub(super) fn room(
        &self,
        started: Option<Timestamp>,
        now: Timestamp,
        carried: f64,
        lot: f64,
        sent: &VecDeque<(Timestamp, f64)>,
    ) -> f64 {
        let Some(started) = started.filter(|_| self.is_cold(started, now)) else { return f64::INFINITY };
        if now < self.shut {
            return 0.0;
        }
        let age =
            ((now - started).as_secs_f64() / self.config.warm_up.as_secs_f64().max(1e-6)).clamp(0.0, 1.0);
        let share = self.config.initial_capacity + (1.0 - self.config.initial_capacity) * age;
        let before = sent.iter().filter(|(t, _)| now - *t <= self.config.window).map(|(_, w)| w).sum::<f64>();
        let all = |carried: f64| {
            Self::USED * self.config.overload_factor * share * carried * self.config.window.as_secs_f64()
        };
        let first = before == 0.0 && lot < all(carried.max(1.0 / f64::from(self.config.coordinators.max(1))));
        if first { all(carried).max(f64::MIN_POSITIVE) } else { all(carried) - before - lot }
    }
}

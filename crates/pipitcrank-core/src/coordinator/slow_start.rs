//! Slow start: how much work may go to a replica that has just started (rule 4).

use std::collections::VecDeque;

use crate::time::{TimeSpan, Timestamp};

/// Rule 4: what this co-ordinator may send to a replica that has just started.
#[derive(Default)]
pub struct SlowStart {
    pub cold_from: f64,
    pub cold: TimeSpan,
    pub factor: f64,
    pub window: TimeSpan,
    /// Nothing to cold replicas before then: another process has the allowance, or had it.
    pub shut: Timestamp,
    /// How many co-ordinators there are, this one counted.
    pub among: u32,
}

impl SlowStart {
    /// Of the allowance that the rule replicas, how much is used: the rest is for uneven co-ordinators and
    /// small replicas. At 0.6 a release starved the fresh replicas and jammed the others (if0ee79).
    const USED: f64 = 0.8;
    /// Windows without a query whose room is saved: one of hundreds is asked in few, and all would use little of the room.
    pub(super) const SAVED: f64 = 2.0;

    pub(super) fn is_cold(&self, started: Option<Timestamp>, now: Timestamp) -> bool {
        started.is_some_and(|t| now - t < self.cold)
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
        let age = ((now - started).as_secs_f64() / self.cold.as_secs_f64().max(1e-6)).clamp(0.0, 1.0);
        let share = self.cold_from + (1.0 - self.cold_from) * age;
        let before = sent.iter().filter(|(t, _)| now - *t <= self.window).map(|(_, w)| w).sum::<f64>();
        let all = |carried: f64| Self::USED * self.factor * share * carried * self.window.as_secs_f64();
        let first = before == 0.0 && lot < all(carried.max(1.0 / f64::from(self.among.max(1))));
        if first { all(carried).max(f64::MIN_POSITIVE) } else { all(carried) - before - lot }
    }
}

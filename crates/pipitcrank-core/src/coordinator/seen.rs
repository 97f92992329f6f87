//! Sums that the cover looks at again and again, worked out once. Nothing is decided here: each is what the plain sum is, to
//! the last bit, so that a cheaper turn is the same turn.

use super::{Coordinator, ReplicaState};
use crate::ids::PartId;
use crate::time::Timestamp;

/// For when, at which rate and usual lag; then lag, work out and calls out.
pub(super) type Seen = ((Timestamp, f64, f64), (f64, f64, usize));

impl ReplicaState {
    /// Lag, work out and calls out: looked at for each part that waits, and the same for all of a turn.
    pub(super) fn seen(&self, now: Timestamp, rate: f64, usual: f64, call_cost: f64) -> (f64, f64, usize) {
        let key = (now, rate, usual);
        if let Some((_, seen)) = self.seen.get().filter(|(at, _)| *at == key) {
            return seen;
        }
        let seen = (self.lag_now(now, rate, usual), self.work_out(call_cost), self.calls().len());
        self.seen.set(Some((key, seen)));
        seen
    }
}

impl Coordinator {
    pub(super) fn work(&self, parts: &[PartId]) -> f64 {
        parts.iter().map(|p| self.parts[p].work).sum()
    }

    /// Work of the first part, the first two, and so on.
    pub(super) fn sums(&self, parts: &[PartId]) -> Vec<f64> {
        let mut sum = 0.0;
        let next = |p: &PartId| {
            sum += self.parts[p].work;
            sum
        };
        parts.iter().map(next).collect()
    }
}

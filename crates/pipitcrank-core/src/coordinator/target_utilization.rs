//! Limit on the queued work at a replica, relative to the time left for a query.

/// Fraction of the time left that queued work may fill. It is raised in small steps by queries that end in
/// time and cut by those that are late.
#[derive(Default)]
pub(super) struct TargetUtilization(f64);

impl TargetUtilization {
    pub(super) const MIN: f64 = 0.2;
    /// Maximum utilization. It is below 1 to leave room for estimation errors.
    pub(super) const MAX: f64 = 0.7;
    /// Initial utilization. It is low because signs of overload arrive late and at all co-ordinators at once.
    const INITIAL: f64 = 0.25;
    const INCREASE: f64 = 0.01;
    const DECREASE_FACTOR: f64 = 0.8;

    pub(super) fn initial() -> TargetUtilization {
        TargetUtilization(Self::INITIAL)
    }

    pub(super) fn restored(value: f64) -> TargetUtilization {
        TargetUtilization(value)
    }

    pub(super) fn value(&self) -> f64 {
        self.0
    }

    pub(super) fn is_valid(value: f64) -> bool {
        (Self::MIN..=Self::MAX).contains(&value)
    }

    /// Records whether a query that was sent to replicas has ended in time.
    pub(super) fn record_query(&mut self, is_in_time: bool) {
        let value = if is_in_time { self.0 + Self::INCREASE } else { self.0 * Self::DECREASE_FACTOR };
        self.0 = value.clamp(Self::MIN, Self::MAX);
    }
}

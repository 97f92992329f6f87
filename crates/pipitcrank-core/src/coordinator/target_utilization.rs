//! How much of the time left may be filled with work waiting at a replica.

/// A fraction of the time left. It rises a little with each query in time and falls with each that is late.
#[derive(Default)]
pub(super) struct TargetUtilization(f64);

impl TargetUtilization {
    pub(super) const MIN: f64 = 0.2;
    /// Below 1: room for the spread of the estimates.
    pub(super) const MAX: f64 = 0.7;
    /// Low, as reports of overload come late and to all co-ordinators at once.
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

    /// A query that was begun has ended.
    pub(super) fn record_query(&mut self, is_in_time: bool) {
        let value = if is_in_time { self.0 + Self::INCREASE } else { self.0 * Self::DECREASE_FACTOR };
        self.0 = value.clamp(Self::MIN, Self::MAX);
    }
}

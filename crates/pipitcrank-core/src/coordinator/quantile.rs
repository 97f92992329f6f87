//! A running estimate of a quantile.

/// Follows a quantile of the values observed, in small multiplicative steps.
#[derive(Default)]
pub(super) struct QuantileEstimator(Option<f64>);

impl QuantileEstimator {
    /// Quantile that stands for work done with nothing else in its way: waiting hardly enters it.
    pub(super) const LOW: f64 = 0.1;
    /// Quantile of the response time past which an attempt is hedged.
    pub(super) const HIGH: f64 = 0.985;
    /// Size of a step, as a fraction of the estimate.
    const STEP: f64 = 0.03;

    pub(super) fn new(initial: Option<f64>) -> QuantileEstimator {
        QuantileEstimator(initial)
    }

    /// The estimate; none before the first observation.
    pub(super) fn value(&self) -> Option<f64> {
        self.0
    }

    pub(super) fn observe(&mut self, value: f64, quantile: f64) {
        let estimate = self.0.unwrap_or(value);
        let is_below = value < estimate;
        let factor = if is_below { 1.0 - Self::STEP * (1.0 - quantile) } else { 1.0 + Self::STEP * quantile };
        self.0 = Some(estimate * factor);
    }
}

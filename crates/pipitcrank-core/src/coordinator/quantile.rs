//! A streaming estimate of a quantile.

/// Tracks a quantile of the observed values in small multiplicative steps.
#[derive(Default)]
pub(super) struct QuantileEstimator(Option<f64>);

impl QuantileEstimator {
    /// Low quantile, used for the service time without queueing, because waiting time hardly affects it.
    pub(super) const LOW: f64 = 0.1;
    /// High quantile of the response time, beyond which an attempt is hedged.
    pub(super) const HIGH: f64 = 0.985;
    /// Step size as a fraction of the estimate.
    const STEP: f64 = 0.03;

    pub(super) fn new(initial: Option<f64>) -> QuantileEstimator {
        QuantileEstimator(initial)
    }

    /// Returns the estimate, or `None` before the first observation.
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

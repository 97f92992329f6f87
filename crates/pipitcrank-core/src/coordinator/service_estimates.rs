//! What was learned of how replicas work, over all of them.

use super::quantile::QuantileEstimator;
use super::replica_load::{Lag, LoadModel};
use crate::time::{TimeSpan, Timestamp};

/// Work a second that was answered of late; it fades exponentially.
#[derive(Clone, Copy, Default)]
pub(super) struct CarriedRate {
    pub(super) work_per_second: f64,
    pub(super) observed_at: Timestamp,
}

impl CarriedRate {
    /// Time constant of the fading, in seconds: about the length of a burst.
    const FADE_S: f64 = 8.0;

    pub(super) fn at(self, now: Timestamp) -> f64 {
        self.work_per_second * (-(now - self.observed_at).as_secs_f64() / Self::FADE_S).exp()
    }

    fn add(&mut self, now: Timestamp, work: f64) {
        *self = CarriedRate { work_per_second: self.at(now) + work / Self::FADE_S, observed_at: now };
    }
}

/// One answer of a local replica.
pub(super) struct ServiceSample {
    /// Seconds taken for a unit of work ahead.
    pub(super) pace: f64,
    /// Seconds lost behind others' work.
    pub(super) lag: f64,
    /// Work of the part answered.
    pub(super) work: f64,
}

/// Estimates over all local replicas.
#[derive(Default)]
pub(super) struct ServiceEstimates {
    /// Seconds in which most attempts end, for a unit of work ahead.
    pub(super) overdue_pace: QuantileEstimator,
    /// Seconds that a replica takes for a unit of work with nothing else in its way.
    pub(super) seconds_per_work: QuantileEstimator,
    pub(super) lag: Lag,
    pub(super) carried: CarriedRate,
}

impl ServiceEstimates {
    /// First estimate of the pace past which an attempt is overdue.
    const INITIAL_OVERDUE_PACE: f64 = 3.0;
    /// Weight of the newest answer in the lag.
    const LAG_WEIGHT: f64 = 0.03;
    /// Added to the time after which an attempt is overdue: short stalls of healthy replicas.
    const OVERDUE_GRACE: TimeSpan = TimeSpan::from_millis(100);

    pub(super) fn new() -> ServiceEstimates {
        let overdue_pace = QuantileEstimator::new(Some(Self::INITIAL_OVERDUE_PACE));
        ServiceEstimates { overdue_pace, ..ServiceEstimates::default() }
    }

    pub(super) fn overdue_pace(&self) -> f64 {
        self.overdue_pace.value().unwrap_or(1.0)
    }

    pub(super) fn seconds_per_work(&self) -> f64 {
        self.seconds_per_work.value().unwrap_or(1.0)
    }

    /// Time from which an attempt with that much work ahead is overdue.
    pub(super) fn overdue_after(&self, work_ahead: f64) -> TimeSpan {
        TimeSpan::from_secs_f64(work_ahead * self.overdue_pace()) + Self::OVERDUE_GRACE
    }

    pub(super) fn load_model(&self, now: Timestamp) -> LoadModel {
        LoadModel { now, seconds_per_work: self.seconds_per_work(), usual_lag: self.lag.remaining(now) }
    }

    pub(super) fn observe(&mut self, now: Timestamp, sample: ServiceSample) {
        let lag = self.lag.seconds + Self::LAG_WEIGHT * (sample.lag - self.lag.seconds);
        self.lag = Lag { seconds: lag, observed_at: now };
        self.overdue_pace.observe(sample.pace, QuantileEstimator::HIGH);
        self.seconds_per_work.observe(sample.pace, QuantileEstimator::LOW);
        self.carried.add(now, sample.work);
    }
}

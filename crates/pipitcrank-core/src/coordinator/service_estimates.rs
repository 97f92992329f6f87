//! Estimates of service times over all local replicas.

use super::quantile::QuantileEstimator;
use super::replica_load::{Lag, LoadModel};
use crate::time::{TimeSpan, Timestamp};

/// Exponentially decaying average of the work answered per second.
#[derive(Clone, Copy, Default)]
pub(super) struct ThroughputEstimate {
    pub(super) work_per_second: f64,
    pub(super) observed_at: Timestamp,
}

impl ThroughputEstimate {
    /// Time constant of the decay, in seconds: about the length of a burst.
    const DECAY_TIME_S: f64 = 8.0;

    pub(super) fn at(self, now: Timestamp) -> f64 {
        self.work_per_second * (-(now - self.observed_at).as_secs_f64() / Self::DECAY_TIME_S).exp()
    }

    fn add(&mut self, now: Timestamp, work: f64) {
        *self = ThroughputEstimate {
            work_per_second: self.at(now) + work / Self::DECAY_TIME_S,
            observed_at: now,
        };
    }
}

/// Measurements from one answer of a local replica.
pub(super) struct ServiceSample {
    /// Seconds per unit of work ahead.
    pub(super) time_per_work: f64,
    /// Seconds of delay caused by the work of other co-ordinators.
    pub(super) lag: f64,
    /// Work of the answered part.
    pub(super) work: f64,
}

/// Estimates over all local replicas.
#[derive(Default)]
pub(super) struct ServiceEstimates {
    /// Seconds per unit of work ahead within which most attempts end.
    pub(super) overdue_time_per_work: QuantileEstimator,
    /// Seconds that a replica takes per unit of work without queueing.
    pub(super) seconds_per_work: QuantileEstimator,
    pub(super) lag: Lag,
    pub(super) throughput: ThroughputEstimate,
}

impl ServiceEstimates {
    /// Initial estimate of the seconds per unit of work from which an attempt is overdue.
    const INITIAL_OVERDUE_TIME_PER_WORK: f64 = 3.0;
    /// Weight of the newest answer in the lag.
    const LAG_WEIGHT: f64 = 0.03;
    /// Grace period added to the time after which an attempt is overdue, for short stalls of healthy
    /// replicas.
    const OVERDUE_GRACE: TimeSpan = TimeSpan::from_millis(100);

    pub(super) fn new() -> ServiceEstimates {
        let overdue_time_per_work = QuantileEstimator::new(Some(Self::INITIAL_OVERDUE_TIME_PER_WORK));
        ServiceEstimates { overdue_time_per_work, ..ServiceEstimates::default() }
    }

    pub(super) fn overdue_time_per_work(&self) -> f64 {
        self.overdue_time_per_work.value().unwrap_or(1.0)
    }

    pub(super) fn seconds_per_work(&self) -> f64 {
        self.seconds_per_work.value().unwrap_or(1.0)
    }

    /// Time after which an attempt with this much work ahead is overdue.
    pub(super) fn overdue_after(&self, work_ahead: f64) -> TimeSpan {
        TimeSpan::from_secs_f64(work_ahead * self.overdue_time_per_work()) + Self::OVERDUE_GRACE
    }

    pub(super) fn load_model(&self, now: Timestamp) -> LoadModel {
        LoadModel { now, seconds_per_work: self.seconds_per_work(), typical_lag: self.lag.remaining(now) }
    }

    pub(super) fn observe(&mut self, now: Timestamp, sample: ServiceSample) {
        let lag = self.lag.seconds + Self::LAG_WEIGHT * (sample.lag - self.lag.seconds);
        self.lag = Lag { seconds: lag, observed_at: now };
        self.overdue_time_per_work.observe(sample.time_per_work, QuantileEstimator::HIGH);
        self.seconds_per_work.observe(sample.time_per_work, QuantileEstimator::LOW);
        self.throughput.add(now, sample.work);
    }
}

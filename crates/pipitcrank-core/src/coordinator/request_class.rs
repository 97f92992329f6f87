//! Request classes: their configuration, and estimates of the work of their parts and of early abandonment by
//! their clients.

use super::quantile::QuantileEstimator;
use crate::ids::Idempotency;
use crate::time::TimeSpan;

/// Configuration of one request class.
#[derive(Clone, Debug)]
pub struct RequestClassConfig {
    /// Name of the class. Learned state is restored by this name only.
    pub name: String,
    /// Effect of running a part of this class twice.
    pub idempotency: Idempotency,
    /// Time for which replicas recognise a repeated part by its key.
    pub idempotency_window: TimeSpan,
    /// Time within which an answer earns its full weight.
    pub latency_objective: TimeSpan,
    /// Seconds added to the latency objective per unit of hinted work.
    pub objective_stretch: f64,
    /// Fraction of the priority weight that an answer after the latency objective still earns. At 0 a query
    /// ends at its objective.
    pub late_weight: f64,
    /// Upper bound of the stretched latency objective.
    pub hard_limit: TimeSpan,
    /// Weight of the answered parts from which an answer is complete, 0 to 1.
    pub complete_threshold: f64,
    /// Weight of the answered parts from which a partial answer is allowed, 0 to 1. Partial answers are not
    /// allowed if this is not below `complete_threshold`.
    pub partial_threshold: f64,
    /// Whether queries of this class have a second step, which the client requests with further parts after
    /// the first step is answered.
    pub has_second_step: bool,
}

/// A request class with its estimates.
pub(super) struct RequestClassState {
    pub(super) config: RequestClassConfig,
    /// Seconds that a part takes without queueing.
    pub(super) part_work: QuantileEstimator,
    /// Natural logarithm of the typical hint of a part.
    pub(super) typical_hint_ln: Option<f64>,
    /// Estimated fraction of clients that close the connection before the deadline they stated.
    pub(super) abandonment_rate: f64,
    /// Age of a query at which clients that leave early close the connection.
    pub(super) abandonment_age: TimeSpan,
}

impl RequestClassState {
    /// Fraction of the latency objective before which a client that leaves did not wait for an answer.
    const MIN_PATIENCE_FRACTION: f64 = 0.1;
    /// Weight of the newest abandonment in the abandonment rate.
    const ABANDONMENT_WEIGHT: f64 = 0.2;
    /// Weight of the newest hint in the typical hint.
    const HINT_WEIGHT: f64 = 0.05;
    /// Exponent applied to the ratio of a hint to the typical hint. It is far below 1 because hints vary more
    /// than service times do.
    const HINT_EXPONENT: f64 = 0.2;
    /// Weight of the newest abandonment in the abandonment age if it came earlier. It is high because the
    /// answer has to arrive before most clients leave.
    const EARLIER_AGE_WEIGHT: f64 = 0.5;
    /// Weight of the newest abandonment in the abandonment age if it came later.
    const LATER_AGE_WEIGHT: f64 = 0.1;
    /// Abandonment rate below which the abandonment age is that of the newest abandonment alone.
    const LOW_ABANDONMENT_RATE: f64 = 0.1;
    /// Fraction of the abandonment age from which a query that is delivered to a connected client raises that
    /// age.
    const NEAR_AGE_FRACTION: f64 = 0.8;
    /// Factor by which a query delivered near or past the abandonment age raises that age.
    const AGE_GROWTH_FACTOR: f64 = 1.02;
    /// Factor by which a query delivered near or past the abandonment age reduces the abandonment rate.
    const RATE_DECAY_NEAR: f64 = 0.9;
    /// Factor by which a query delivered well before the abandonment age reduces the abandonment rate.
    const RATE_DECAY: f64 = 0.98;
    /// Fraction of the abandonment age that replaces the latency objective when the abandonment rate is high.
    const USED_AGE_FRACTION: f64 = 0.9;
    /// Abandonment rate from which the latency objective is shortened to the abandonment age.
    const ABANDONMENT_LIMIT: f64 = 0.35;
    /// Fraction of the latency objective that serves as the work of a part before the first answer.
    const INITIAL_WORK_FRACTION: f64 = 0.1;

    pub(super) fn new(config: RequestClassConfig) -> RequestClassState {
        RequestClassState {
            config,
            part_work: QuantileEstimator::new(None),
            typical_hint_ln: None,
            abandonment_rate: 0.0,
            abandonment_age: TimeSpan::ZERO,
        }
    }

    /// Records that a client closed the connection at this age of its query. Clients may do so before the
    /// deadline they state; see docs/incidents/i85cd7c.md. One that leaves at once says nothing about the others: an
    /// objective shortened to its age would have their queries rejected.
    pub(super) fn record_abandonment(&mut self, age: TimeSpan) {
        if age < self.config.latency_objective * Self::MIN_PATIENCE_FRACTION {
            return;
        }
        let is_earlier = age < self.abandonment_age;
        let newest = if is_earlier { Self::EARLIER_AGE_WEIGHT } else { Self::LATER_AGE_WEIGHT };
        self.abandonment_age = if self.abandonment_rate < Self::LOW_ABANDONMENT_RATE {
            age
        } else {
            self.abandonment_age * (1.0 - newest) + age * newest
        };
        self.abandonment_rate += Self::ABANDONMENT_WEIGHT * (1.0 - self.abandonment_rate);
    }

    /// Records that a client was still connected when its query was answered or rejected at this age. Reduces
    /// the abandonment rate, and raises the abandonment age if the query was near or past it.
    pub(super) fn record_delivery(&mut self, age: TimeSpan) {
        let is_past = age > self.abandonment_age * Self::NEAR_AGE_FRACTION;
        self.abandonment_rate *= if is_past { Self::RATE_DECAY_NEAR } else { Self::RATE_DECAY };
        self.abandonment_age = self.abandonment_age * if is_past { Self::AGE_GROWTH_FACTOR } else { 1.0 };
    }

    /// Seconds of work of a typical part.
    pub(super) fn typical_work(&self) -> f64 {
        let initial = self.config.latency_objective.as_secs_f64() * Self::INITIAL_WORK_FRACTION;
        self.part_work.value().unwrap_or(initial)
    }

    /// Returns the latency objective, or a fraction of the abandonment age if many clients leave before the
    /// objective.
    pub(super) fn effective_objective(&self) -> TimeSpan {
        if self.abandonment_rate < Self::ABANDONMENT_LIMIT {
            self.config.latency_objective
        } else {
            self.config.latency_objective.min(self.abandonment_age * Self::USED_AGE_FRACTION)
        }
    }

    /// Updates the typical hint with the mean part hint of a new query, and returns the work of the query
    /// relative to a typical one of the class.
    pub(super) fn observe_hint(&mut self, mean_part_hint: Option<f64>) -> f64 {
        let Some(hint) = mean_part_hint else { return 1.0 };
        let typical = self.typical_hint_ln.get_or_insert(hint.ln());
        *typical += Self::HINT_WEIGHT * (hint.ln() - *typical);
        ((hint.ln() - *typical) * Self::HINT_EXPONENT).exp()
    }
}

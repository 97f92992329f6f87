//! Request classes: their configuration, and what was learned of their parts' work and of their clients' patience.

use super::quantile::QuantileEstimator;
use crate::ids::Idempotency;
use crate::time::TimeSpan;

/// One request class as configured.
#[derive(Clone, Debug)]
pub struct RequestClassConfig {
    /// Its name; learned state is restored under this name alone.
    pub name: String,
    /// What a second run of one of its parts would do.
    pub idempotency: Idempotency,
    /// How long replicas recognise a repeated part by its key.
    pub idempotency_window: TimeSpan,
    /// Time in which an answer earns its full weight.
    pub latency_objective: TimeSpan,
    /// Seconds added to the latency objective for each unit of hinted work.
    pub objective_stretch: f64,
    /// Fraction of the priority weight that an answer after the latency objective still earns; at 0 a query ends there.
    pub late_weight: f64,
    /// Longest the latency objective may be stretched.
    pub hard_limit: TimeSpan,
    /// Weight of the parts from which an answer is complete, 0 to 1.
    pub complete_threshold: f64,
    /// Weight of the parts from which a partial answer is allowed, 0 to 1; none are if it is `complete_threshold` or more.
    pub partial_threshold: f64,
    /// Whether its queries have a second step, which is asked for with further parts after the first is answered.
    pub has_second_step: bool,
}

/// A request class and what was learned of it.
pub(super) struct RequestClassState {
    pub(super) config: RequestClassConfig,
    /// Seconds that a part takes by itself.
    pub(super) part_work: QuantileEstimator,
    /// Logarithm of the usual hint of a part.
    pub(super) usual_hint_ln: Option<f64>,
    /// Estimated fraction of clients that leave before the deadline they state.
    pub(super) early_leave_rate: f64,
    /// Age of a query at which such clients leave.
    pub(super) early_leave_age: TimeSpan,
}

impl RequestClassState {
    /// Weight of the newest early leaver in the rate of these.
    const LEAVE_WEIGHT: f64 = 0.2;
    /// Weight of the newest hint in the usual one.
    const HINT_WEIGHT: f64 = 0.05;
    /// How far a hint's distance from the usual one is believed, as an exponent: hints scatter more than times do.
    const HINT_TRUST: f64 = 0.2;
    /// Weight of the newest early leaver in the age at which they leave, if it is below that age: the answer has to be
    /// there before most leave.
    const EARLIER_AGE_WEIGHT: f64 = 0.5;
    /// The same if it is above.
    const LATER_AGE_WEIGHT: f64 = 0.1;
    /// Rate of early leavers below which the age of the newest alone counts.
    const FEW_LEAVERS: f64 = 0.1;
    /// Fraction of the age at which clients leave, past which one that stayed raises that age.
    const NEAR_LEAVE_AGE: f64 = 0.8;
    /// By how much it does.
    const LEAVE_AGE_GROWTH: f64 = 1.02;
    /// What such a client leaves of the rate of early leavers.
    const RATE_DECAY_NEAR: f64 = 0.9;
    /// What any other client that stayed leaves of it.
    const RATE_DECAY: f64 = 0.98;
    /// Fraction of the age at which clients leave that is used where many do.
    const USED_LEAVE_AGE: f64 = 0.9;
    /// Rate of early leavers from which the latency objective is shortened to their patience.
    const EARLY_LEAVE_LIMIT: f64 = 0.35;
    /// Fraction of the latency objective that stands for a part's work before any answer.
    const INITIAL_WORK_FRACTION: f64 = 0.1;

    pub(super) fn new(config: RequestClassConfig) -> RequestClassState {
        RequestClassState {
            config,
            part_work: QuantileEstimator::new(None),
            usual_hint_ln: None,
            early_leave_rate: 0.0,
            early_leave_age: TimeSpan::ZERO,
        }
    }

    /// A client left before its deadline. Clients may close before the deadline they state; see
    /// docs/incidents/i85cd7c.md.
    pub(super) fn client_left(&mut self, age: TimeSpan) {
        let is_earlier = age < self.early_leave_age;
        let newest = if is_earlier { Self::EARLIER_AGE_WEIGHT } else { Self::LATER_AGE_WEIGHT };
        self.early_leave_age = if self.early_leave_rate < Self::FEW_LEAVERS {
            age
        } else {
            self.early_leave_age * (1.0 - newest) + age * newest
        };
        self.early_leave_rate += Self::LEAVE_WEIGHT * (1.0 - self.early_leave_rate);
    }

    /// A client was there for its answer or rejection at that age. Past or near the age at which clients leave, that age
    /// is raised; at any age the rate of early leavers falls.
    pub(super) fn client_stayed(&mut self, age: TimeSpan) {
        let is_past = age > self.early_leave_age * Self::NEAR_LEAVE_AGE;
        self.early_leave_rate *= if is_past { Self::RATE_DECAY_NEAR } else { Self::RATE_DECAY };
        self.early_leave_age = self.early_leave_age * if is_past { Self::LEAVE_AGE_GROWTH } else { 1.0 };
    }

    /// Seconds of work of a usual part.
    pub(super) fn usual_work(&self) -> f64 {
        let initial = self.config.latency_objective.as_secs_f64() * Self::INITIAL_WORK_FRACTION;
        self.part_work.value().unwrap_or(initial)
    }

    /// The latency objective, or the age at which clients leave where many leave before it.
    pub(super) fn effective_objective(&self) -> TimeSpan {
        if self.early_leave_rate < Self::EARLY_LEAVE_LIMIT {
            self.config.latency_objective
        } else {
            self.config.latency_objective.min(self.early_leave_age * Self::USED_LEAVE_AGE)
        }
    }

    /// Takes the hint of a mean part of a new query into account; the query's work relative to the class's usual.
    pub(super) fn observe_hint(&mut self, mean_part_hint: Option<f64>) -> f64 {
        let Some(hint) = mean_part_hint else { return 1.0 };
        let usual = self.usual_hint_ln.get_or_insert(hint.ln());
        *usual += Self::HINT_WEIGHT * (hint.ln() - *usual);
        ((hint.ln() - *usual) * Self::HINT_TRUST).exp()
    }
}

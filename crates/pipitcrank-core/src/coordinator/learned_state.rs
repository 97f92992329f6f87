//! Learned state of a co-ordinator in the form that another process restores. Points in time are stored as
//! ages, so that they can be mapped to another clock. Open queries and outstanding attempts are not included.
//!
//! The types are encoded by position (postcard): neither the order nor the type of a field may change.

use serde::{Deserialize, Serialize};

use super::target_utilization::TargetUtilization;
use crate::time::TimeSpan;

/// All learned state of a co-ordinator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// State of each request class.
    pub classes: Vec<LearnedClassState>,
    /// State of each replica, by its index in the process that wrote it.
    pub replicas: Vec<(u32, LearnedReplicaState)>,
    /// Ages of the admitted queries and parts that count towards the retry budget, oldest first.
    pub admitted: Vec<TimeSpan>,
    /// Ages of the retries charged to the retry budget, oldest first.
    pub retries: Vec<TimeSpan>,
    /// Numbers of retries delegated to other sites, each with the time until it expires. How many of them
    /// were made is not stored.
    pub delegated_retries: Vec<(u32, TimeSpan)>,
    pub(super) overdue_time_per_work: Option<f64>,
    pub(super) seconds_per_work: Option<f64>,
    pub(super) target_utilization: f64,
    /// Work answered per second, and the age of that estimate.
    pub(super) throughput: (f64, TimeSpan),
    /// Lag over all local replicas in seconds, and the age of that estimate.
    pub(super) lag: (f64, TimeSpan),
}

/// Learned state of one request class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedClassState {
    /// Name of the class. Empty if the writing process did not store names; request classes are then matched
    /// by position.
    #[serde(default)]
    pub(super) name: String,
    pub(super) part_work: Option<f64>,
    pub(super) typical_hint_ln: Option<f64>,
    pub(super) abandonment_rate: f64,
    pub(super) abandonment_age: TimeSpan,
}

/// Learned state of one replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedReplicaState {
    /// Age of the replica's process, if known.
    pub started: Option<TimeSpan>,
    pub(super) fault_rate: f64,
    /// Lag of the replica in seconds, and the age of that estimate.
    pub(super) lag: (f64, TimeSpan),
    /// Time until the end of the replica's ejection.
    pub(super) ejected_for: Option<TimeSpan>,
    /// Age and work of each send during slow start.
    pub slow_start_sends: Vec<(TimeSpan, f64)>,
}

impl LearnedState {
    /// Names of the request classes, by their indices in the process that wrote the state. A name is empty if that
    /// process stored none.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|class| class.name.as_str())
    }

    /// Returns whether all numbers are finite and within bounds, and all ages are non-negative.
    pub fn is_valid(&self) -> bool {
        self.classes.iter().all(LearnedClassState::is_valid)
            && self.replicas.iter().all(|(_, replica)| replica.is_valid())
            && self.delegated_retries.iter().all(|(_, left)| is_past(*left))
            && self.admitted.iter().chain(&self.retries).all(|&age| is_past(age))
            && is_positive_or_none(self.overdue_time_per_work)
            && is_positive_or_none(self.seconds_per_work)
            && TargetUtilization::is_valid(self.target_utilization)
            && is_aged_amount(self.throughput)
            && is_aged_amount(self.lag)
    }
}

impl LearnedClassState {
    fn is_valid(&self) -> bool {
        is_positive_or_none(self.part_work)
            && self.typical_hint_ln.is_none_or(f64::is_finite)
            && is_rate(self.abandonment_rate)
            && is_past(self.abandonment_age)
    }
}

impl LearnedReplicaState {
    fn is_valid(&self) -> bool {
        is_rate(self.fault_rate)
            && is_aged_amount(self.lag)
            && self.slow_start_sends.iter().all(|&(age, work)| is_past(age) && is_amount(work))
    }
}

fn is_past(age: TimeSpan) -> bool {
    age >= TimeSpan::ZERO
}

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn is_rate(value: f64) -> bool {
    is_amount(value) && value <= 1.0
}

fn is_positive_or_none(value: Option<f64>) -> bool {
    value.is_none_or(|value| is_amount(value) && value > 0.0)
}

fn is_aged_amount((value, age): (f64, TimeSpan)) -> bool {
    is_amount(value) && is_past(age)
}

#[cfg(test)]
mod stored_forms;

//! What a coordinator has learned, in the form that another process restores. Points in time stand as ages, so that they
//! can be placed on another clock. Open queries and outstanding attempts are not in it.
//!
//! The forms are stored by position (postcard): neither the order nor the type of a field may change.

use serde::{Deserialize, Serialize};

use super::target_utilization::TargetUtilization;
use crate::time::TimeSpan;

/// All that a coordinator has learned.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// What was learned of each request class.
    pub classes: Vec<LearnedClassState>,
    /// What was learned of each replica, by its index in the process that wrote it.
    pub replicas: Vec<(u32, LearnedReplicaState)>,
    /// Ages of the queries and parts that count for the retry budget, oldest first.
    pub admitted: Vec<TimeSpan>,
    /// Ages of the retries that count against it, oldest first.
    pub retries: Vec<TimeSpan>,
    /// Retries delegated to other sites with parts, and the time until they expire. How many were made is not in it.
    pub delegated_retries: Vec<(u32, TimeSpan)>,
    pub(super) overdue_pace: Option<f64>,
    pub(super) seconds_per_work: Option<f64>,
    pub(super) target_utilization: f64,
    /// Work a second, and its age.
    pub(super) carried: (f64, TimeSpan),
    /// Seconds, and their age.
    pub(super) lag: (f64, TimeSpan),
}

/// What was learned of one request class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedClassState {
    /// Empty from a process that did not write it: then the request classes are taken in their order.
    #[serde(default)]
    pub(super) name: String,
    pub(super) part_work: Option<f64>,
    pub(super) usual_hint_ln: Option<f64>,
    pub(super) early_leave_rate: f64,
    pub(super) early_leave_age: TimeSpan,
}

/// What was learned of one replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedReplicaState {
    /// Time since it started, where that is known.
    pub started: Option<TimeSpan>,
    pub(super) fault_rate: f64,
    /// Seconds, and their age.
    pub(super) lag: (f64, TimeSpan),
    /// Time until its ejection ends.
    pub(super) ejected_for: Option<TimeSpan>,
    /// Ages of what was sent to it during slow start, and the work of each.
    pub slow_start_sends: Vec<(TimeSpan, f64)>,
}

impl LearnedState {
    /// Whether all numbers are finite and within their bounds, and all ages are of the past.
    pub fn is_valid(&self) -> bool {
        self.classes.iter().all(LearnedClassState::is_sound)
            && self.replicas.iter().all(|(_, replica)| replica.is_sound())
            && self.delegated_retries.iter().all(|(_, left)| is_past(*left))
            && self.admitted.iter().chain(&self.retries).all(|&age| is_past(age))
            && is_positive_or_none(self.overdue_pace)
            && is_positive_or_none(self.seconds_per_work)
            && TargetUtilization::is_valid(self.target_utilization)
            && is_aged_amount(self.carried)
            && is_aged_amount(self.lag)
    }
}

impl LearnedClassState {
    fn is_sound(&self) -> bool {
        is_positive_or_none(self.part_work)
            && self.usual_hint_ln.is_none_or(f64::is_finite)
            && is_rate(self.early_leave_rate)
            && is_past(self.early_leave_age)
    }
}

impl LearnedReplicaState {
    fn is_sound(&self) -> bool {
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

//! Export of the learned state and its import in another process.

use std::collections::{BTreeMap, VecDeque};

use super::learned_state::{LearnedClassState, LearnedReplicaState, LearnedState};
use super::quantile::QuantileEstimator;
use super::replica_load::Lag;
use super::replica_state::ReplicaState;
use super::request_class::RequestClassState;
use super::service_estimates::ThroughputEstimate;
use super::slow_start::SlowStartSend;
use super::state::State;
use super::target_utilization::TargetUtilization;
use crate::ids::ReplicaId;
use crate::sliding_count::SlidingCount;
use crate::time::{TimeSpan, Timestamp};

/// Start times of a replica that differ by less than this belong to the same process. They are derived from
/// the wall clock, which may have been adjusted in between.
const SAME_START: TimeSpan = TimeSpan::from_millis(500);

impl State {
    /// Returns the learned state as of `now`, without entries that have left their window.
    pub(super) fn learned_state(&mut self, now: Timestamp) -> LearnedState {
        self.retry_budget.remaining(now);
        let ages = |times: &VecDeque<Timestamp>| times.iter().map(|&t| now - t).collect();
        let window = self.slow_start.config.window;
        let service = &self.service;
        LearnedState {
            classes: self.classes.iter().map(learned_class).collect(),
            replicas: self.replicas.iter().map(|(id, r)| (id.0, learned_replica(r, now, window))).collect(),
            admitted: self.retry_budget.admissions.times().map(|t| now - t).collect(),
            retries: ages(&self.retry_budget.retries),
            delegated_retries: (self.retry_budget.delegated.iter())
                .map(|delegation| (delegation.count, delegation.expires_at - now))
                .collect(),
            overdue_time_per_work: service.overdue_time_per_work.value(),
            seconds_per_work: service.seconds_per_work.value(),
            target_utilization: self.target_utilization.value(),
            throughput: (service.throughput.work_per_second, now - service.throughput.observed_at),
            lag: (service.lag.seconds, now - service.lag.observed_at),
        }
    }

    /// Restores state that another process learned `age` ago. Replicas are identified by the indices of this
    /// process.
    pub(super) fn restore_learned_state(&mut self, now: Timestamp, age: TimeSpan, learned: LearnedState) {
        let written_at = now - age;
        self.restore_classes(&learned.classes);
        self.restore_replicas(written_at, learned.replicas);
        let times = |ages: Vec<TimeSpan>| ages.into_iter().map(|age| written_at - age).collect::<Vec<_>>();
        self.retry_budget.admissions = SlidingCount::from_times(times(learned.admitted));
        let mut retries = times(learned.retries);
        retries.sort_unstable();
        self.retry_budget.retries = retries.into();
        for (index, (count, left)) in learned.delegated_retries.into_iter().enumerate() {
            let delegation_id = Self::PREDECESSOR - 1 - index as u64;
            self.retry_budget.delegate(delegation_id, count, written_at + left);
        }
        let overdue_time_per_work =
            learned.overdue_time_per_work.or(self.service.overdue_time_per_work.value());
        self.service.overdue_time_per_work = QuantileEstimator::new(overdue_time_per_work);
        self.service.seconds_per_work = QuantileEstimator::new(learned.seconds_per_work);
        self.target_utilization = TargetUtilization::restored(learned.target_utilization);
        let (work_per_second, age) = learned.throughput;
        self.service.throughput = ThroughputEstimate { work_per_second, observed_at: written_at - age };
        self.service.lag = restored_lag(written_at, learned.lag);
        self.needs_dispatch = true;
    }

    /// Restores request classes by name, so that after a configuration change no class gets the state of
    /// another. State of a process that stored no names is restored by position.
    fn restore_classes(&mut self, learned: &[LearnedClassState]) {
        let is_unnamed = learned.iter().all(|l| l.name.is_empty());
        let is_same_count = learned.len() == self.classes.len();
        for (index, class) in self.classes.iter_mut().enumerate() {
            let learned = if is_unnamed {
                learned.get(index).filter(|_| is_same_count)
            } else {
                learned.iter().find(|l| l.name == class.config.name)
            };
            if let Some(learned) = learned {
                class.part_work = QuantileEstimator::new(learned.part_work);
                class.typical_hint_ln = learned.typical_hint_ln;
                class.abandonment_rate = learned.abandonment_rate;
                class.abandonment_age = learned.abandonment_age;
            }
        }
    }

    /// Restores replicas, except those that have been restarted since, because their state belongs to another
    /// process.
    fn restore_replicas(&mut self, written_at: Timestamp, learned: Vec<(u32, LearnedReplicaState)>) {
        let mut learned: BTreeMap<u32, LearnedReplicaState> = learned.into_iter().collect();
        for (ReplicaId(index), replica) in &mut self.replicas {
            let Some(learned) = learned.remove(index) else { continue };
            if !is_same_process(replica, &learned, written_at) {
                continue;
            }
            replica.health.fault_rate = learned.fault_rate;
            replica.health.ejected_until = learned.ejected_for.map(|left| written_at + left);
            replica.load.set_lag(restored_lag(written_at, learned.lag));
            replica.slow_start_sends = (learned.slow_start_sends.into_iter())
                .map(|(age, work)| SlowStartSend { at: written_at - age, work })
                .collect();
        }
    }
}

fn learned_class(class: &RequestClassState) -> LearnedClassState {
    LearnedClassState {
        name: class.config.name.clone(),
        part_work: class.part_work.value(),
        typical_hint_ln: class.typical_hint_ln,
        abandonment_rate: class.abandonment_rate,
        abandonment_age: class.abandonment_age,
    }
}

fn learned_replica(replica: &ReplicaState, now: Timestamp, window: TimeSpan) -> LearnedReplicaState {
    let lag = replica.load.lag();
    let ejected_until = replica.health.ejected_until;
    let sends = replica.slow_start_sends.iter().map(|send| (now - send.at, send.work));
    LearnedReplicaState {
        started: replica.started.map(|t| now - t),
        fault_rate: replica.health.fault_rate,
        lag: (lag.seconds, now - lag.observed_at),
        ejected_for: ejected_until.map(|t| t - now).filter(|&left| left > TimeSpan::ZERO),
        slow_start_sends: sends.filter(|(age, _)| *age <= window).collect(),
    }
}

fn restored_lag(written_at: Timestamp, (seconds, age): (f64, TimeSpan)) -> Lag {
    Lag { seconds, observed_at: written_at - age }
}

fn is_same_process(replica: &ReplicaState, learned: &LearnedReplicaState, written_at: Timestamp) -> bool {
    match (replica.started, learned.started) {
        (Some(ours), Some(age)) => (ours - (written_at - age)).as_micros().abs() < SAME_START.as_micros(),
        (ours, theirs) => ours.is_none() && theirs.is_none(),
    }
}

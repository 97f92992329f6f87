//! Model of the replicas of a zone as one queue. The queue answers parts at its full capacity while all
//! replicas are healthy and warm, and fewer while they are slow or warm up. A part that waits longer than the
//! latency objective is late. A full queue rejects parts.

use std::collections::VecDeque;

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Longest time that a part may wait without being late.
const LATENCY_OBJECTIVE_S: f64 = 1.0;
/// Largest length of the queue, in seconds of work.
const QUEUE_LIMIT_S: f64 = 2.0;
/// Capacity of a replica right after a restart, as a fraction of its capacity when warm.
const INITIAL_WARM_FRACTION: f64 = 0.3;
/// Time from a restart until the replica is warm.
const WARM_UP: TimeSpan = TimeSpan::from_millis(8000);
/// Number of parts that may be sent to warming replicas within the slow-start window, as a multiple of the
/// number that they can answer in it.
const SLOW_START_FACTOR: f64 = 4.0;
/// Length of the slow-start window in seconds.
const SLOW_START_WINDOW_S: f64 = 1.5;
/// Lower bound of the capacity in divisions, so that the quotient stays finite.
const MIN_CAPACITY: f64 = 1e-9;

/// Replicas of one zone.
pub struct ZoneReplicas {
    /// Number of replicas.
    pub count: u16,
    /// Capacity of one warm replica in parts per second.
    replica_capacity: f64,
    /// Whether all replicas have failed.
    pub failed: bool,
    /// Factor by which all replicas are slower than usual.
    pub slowdown: f64,
    restarted_at: Option<Timestamp>,
    /// Number of parts in the queue.
    queued: f64,
    /// Parts that arrived in each step of the slow-start window.
    arrivals: VecDeque<f64>,
    /// Number of parts sent beyond the slow-start allowance so far.
    pub slow_start_excess: f64,
}

/// Numbers of parts that arrived in a step, by their outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepOutcome {
    /// Parts answered within the latency objective.
    pub in_time: f64,
    /// Parts answered late.
    pub late: f64,
    /// Parts rejected because the queue was full.
    pub rejected: f64,
    /// Parts never answered because the replicas had failed.
    pub unanswered: f64,
}

impl ZoneReplicas {
    /// Creates `count` healthy, warm replicas, each with a capacity of `replica_capacity` parts per second.
    pub fn new(count: u16, replica_capacity: f64) -> ZoneReplicas {
        ZoneReplicas {
            count,
            replica_capacity,
            failed: false,
            slowdown: 1.0,
            restarted_at: None,
            queued: 0.0,
            arrivals: VecDeque::new(),
            slow_start_excess: 0.0,
        }
    }

    /// Capacity in parts per second while all replicas are healthy and warm.
    pub fn full_capacity(&self) -> f64 {
        f64::from(self.count) * self.replica_capacity
    }

    fn warm_fraction(&self, now: Timestamp) -> f64 {
        self.restarted_at.map_or(1.0, |since| {
            let progress = ((now - since).as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
            INITIAL_WARM_FRACTION + (1.0 - INITIAL_WARM_FRACTION) * progress
        })
    }

    /// Whether the replicas warm up after a restart.
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        self.restarted_at.is_some_and(|since| now - since < WARM_UP)
    }

    /// Fails all replicas. Waiting parts are lost.
    pub fn fail(&mut self) {
        self.failed = true;
        self.queued = 0.0;
    }

    /// Restarts all replicas, which then warm up. Waiting parts are lost.
    pub fn restart(&mut self, now: Timestamp) {
        self.failed = false;
        self.restarted_at = Some(now);
        self.queued = 0.0;
    }

    /// Time in seconds that a part arriving now waits.
    pub fn queue_delay_s(&self, now: Timestamp) -> f64 {
        let capacity = self.full_capacity() * self.warm_fraction(now) / self.slowdown;
        self.queued / capacity.max(MIN_CAPACITY)
    }

    /// Advances by a step in which `parts` parts arrive.
    pub fn step(&mut self, now: Timestamp, parts: f64, step: TimeSpan) -> StepOutcome {
        if self.failed {
            return StepOutcome { unanswered: parts, ..StepOutcome::default() };
        }
        let step_s = step.as_secs_f64();
        self.record_arrivals(now, parts, step_s);
        let answered = self.full_capacity() * self.warm_fraction(now) / self.slowdown * step_s;
        let free_slots = (answered / step_s * QUEUE_LIMIT_S - self.queued).max(0.0);
        let accepted = parts.min(free_slots + answered);
        let delay = self.queue_delay_s(now);
        self.queued = (self.queued + accepted - answered).max(0.0);
        let (in_time, late) = if delay <= LATENCY_OBJECTIVE_S { (accepted, 0.0) } else { (0.0, accepted) };
        StepOutcome { in_time, late, rejected: parts - accepted, unanswered: 0.0 }
    }

    fn record_arrivals(&mut self, now: Timestamp, parts: f64, step_s: f64) {
        let steps = (SLOW_START_WINDOW_S / step_s).round() as usize;
        self.arrivals.push_back(parts);
        if self.arrivals.len() > steps {
            self.arrivals.pop_front();
        }
        if self.is_warming_up(now) {
            let allowed =
                SLOW_START_FACTOR * self.warm_fraction(now) * self.full_capacity() * SLOW_START_WINDOW_S;
            let excess = self.arrivals.iter().sum::<f64>() - allowed;
            self.slow_start_excess += excess.max(0.0).min(parts);
        }
    }
}

#[cfg(test)]
mod tests;

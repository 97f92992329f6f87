//! A zone's replicas as one queue: it answers so many parts a second while all replicas are healthy and warm, fewer while
//! they are slow or warm up. A part that waits longer than the latency objective is late; a full queue rejects.

use std::collections::VecDeque;

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// A part that waits longer is late.
const LATENCY_OBJECTIVE_S: f64 = 1.0;
/// Length of the queue, in seconds of work.
const QUEUE_LIMIT_S: f64 = 2.0;
/// A restarted replica's capacity as a fraction of a warm one's, and the time until it is warm.
const INITIAL_WARM_FRACTION: f64 = 0.3;
const WARM_UP: TimeSpan = TimeSpan::from_millis(8000);
/// What replicas that warm up may be sent within the window, as a multiple of their capacity.
const SLOW_START_FACTOR: f64 = 4.0;
const SLOW_START_WINDOW_S: f64 = 1.5;
/// Keeps a division by the capacity finite.
const MIN_CAPACITY: f64 = 1e-9;

/// One zone's replicas.
pub struct ZoneReplicas {
    /// How many replicas there are.
    pub count: u16,
    /// Parts a second of one warm replica.
    capacity_each: f64,
    /// Whether none answers.
    pub failed: bool,
    /// Factor by which all are slower than usual.
    pub slowdown: f64,
    restarted_at: Option<Timestamp>,
    /// Parts that wait.
    queue: f64,
    /// Parts that arrived in each step of the slow-start window.
    arrivals: VecDeque<f64>,
    /// Parts sent beyond the slow-start allowance so far.
    pub slow_start_excess: f64,
}

/// What became of the parts that arrived in a step.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepOutcome {
    /// Answered within the latency objective.
    pub in_time: f64,
    /// Answered late.
    pub late: f64,
    /// Rejected, as the queue is full.
    pub rejected: f64,
    /// Never answered.
    pub unanswered: f64,
}

impl ZoneReplicas {
    /// `count` healthy, warm replicas that answer `capacity_each` parts a second.
    pub fn new(count: u16, capacity_each: f64) -> ZoneReplicas {
        ZoneReplicas {
            count,
            capacity_each,
            failed: false,
            slowdown: 1.0,
            restarted_at: None,
            queue: 0.0,
            arrivals: VecDeque::new(),
            slow_start_excess: 0.0,
        }
    }

    /// Parts a second while all are healthy and warm.
    pub fn full_capacity(&self) -> f64 {
        f64::from(self.count) * self.capacity_each
    }

    fn warm_fraction(&self, now: Timestamp) -> f64 {
        self.restarted_at.map_or(1.0, |since| {
            let progress = ((now - since).as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
            INITIAL_WARM_FRACTION + (1.0 - INITIAL_WARM_FRACTION) * progress
        })
    }

    /// Whether they warm up after a restart.
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        self.restarted_at.is_some_and(|since| now - since < WARM_UP)
    }

    /// All fail; what waits is lost.
    pub fn fail(&mut self) {
        self.failed = true;
        self.queue = 0.0;
    }

    /// All restart, and warm up.
    pub fn restart(&mut self, now: Timestamp) {
        self.failed = false;
        self.restarted_at = Some(now);
        self.queue = 0.0;
    }

    /// How long a part that arrives now waits, in seconds.
    pub fn queue_delay_s(&self, now: Timestamp) -> f64 {
        let capacity = self.full_capacity() * self.warm_fraction(now) / self.slowdown;
        self.queue / capacity.max(MIN_CAPACITY)
    }

    /// Advances by a step in which `parts` arrive.
    pub fn step(&mut self, now: Timestamp, parts: f64, step: TimeSpan) -> StepOutcome {
        if self.failed {
            return StepOutcome { unanswered: parts, ..StepOutcome::default() };
        }
        let step_s = step.as_secs_f64();
        self.record_arrivals(now, parts, step_s);
        let answered = self.full_capacity() * self.warm_fraction(now) / self.slowdown * step_s;
        let free = (answered / step_s * QUEUE_LIMIT_S - self.queue).max(0.0);
        let accepted = parts.min(free + answered);
        let delay = self.queue_delay_s(now);
        self.queue = (self.queue + accepted - answered).max(0.0);
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

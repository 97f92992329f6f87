//! A zone's leaves as one queue: so many parts a second while all are well and warm, less while some are lost or cold. What
//! waits longer than its SLO time allows is worth nothing; beyond a waiting room it is turned away.

use std::collections::VecDeque;

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// What waits for longer earns nothing.
const SLO_S: f64 = 1.0;
/// The waiting room, in seconds of work.
const ROOM_S: f64 = 2.0;
/// Warming: share of a warm replica at the start, and for how long it grows; what a cold replica may get over a window, as
/// rule 4 has it.
const COLD_FROM: f64 = 0.3;
const COLD: TimeSpan = TimeSpan::from_millis(8000);
const COLD_FACTOR: f64 = 4.0;
const COLD_WINDOW_S: f64 = 1.5;

pub struct Replicas {
    /// Leaves, and parts a second that one bears.
    pub count: u16,
    bears: f64,
    /// All give nothing; or they are so many times slower.
    pub lost: bool,
    pub slower: f64,
    started: Option<Timestamp>,
    queue: f64,
    /// What came in the steps of the last window.
    came: VecDeque<f64>,
    pub pushed_over: f64,
}

/// What became of what came in a step, in parts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Step {
    pub in_time: f64,
    pub late: f64,
    pub turned_away: f64,
    /// Never answered.
    pub unanswered: f64,
}

impl Replicas {
    pub fn new(count: u16, bears: f64) -> Replicas {
        let (queue, came) = (0.0, VecDeque::new());
        Replicas { count, bears, lost: false, slower: 1.0, started: None, queue, came, pushed_over: 0.0 }
    }

    /// Parts a second when all are well and warm.
    pub fn whole(&self) -> f64 {
        f64::from(self.count) * self.bears
    }

    fn warmth(&self, now: Timestamp) -> f64 {
        self.started.map_or(1.0, |t| {
            COLD_FROM + (1.0 - COLD_FROM) * ((now - t).as_secs_f64() / COLD.as_secs_f64()).min(1.0)
        })
    }

    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.started.is_some_and(|t| now - t < COLD)
    }

    pub fn lose(&mut self) {
        (self.lost, self.queue) = (true, 0.0);
    }

    /// They start anew, cold.
    pub fn start(&mut self, now: Timestamp) {
        (self.lost, self.started, self.queue) = (false, Some(now), 0.0);
    }

    /// Seconds that what comes now has to wait.
    pub fn wait_s(&self, now: Timestamp) -> f64 {
        self.queue / (self.whole() * self.warmth(now) / self.slower).max(1e-9)
    }

    /// So many parts come within a step.
    pub fn step(&mut self, now: Timestamp, parts: f64, step: TimeSpan) -> Step {
        if self.lost {
            return Step { unanswered: parts, ..Step::default() };
        }
        let steps = (COLD_WINDOW_S / step.as_secs_f64()).round() as usize;
        self.came.push_back(parts);
        if self.came.len() > steps {
            self.came.pop_front();
        }
        let warm = self.warmth(now);
        if self.is_cold(now) {
            let may = COLD_FACTOR * warm * self.whole() * COLD_WINDOW_S;
            self.pushed_over += (self.came.iter().sum::<f64>() - may).max(0.0).min(parts);
        }
        let does = self.whole() * warm / self.slower * step.as_secs_f64();
        let room = (does / step.as_secs_f64() * ROOM_S - self.queue).max(0.0);
        let taken = parts.min(room + does);
        let wait = self.wait_s(now);
        self.queue = (self.queue + taken - does).max(0.0);
        let (in_time, late) = if wait <= SLO_S { (taken, 0.0) } else { (0.0, taken) };
        Step { in_time, late, turned_away: parts - taken, unanswered: 0.0 }
    }
}

#[cfg(test)]
mod tests;

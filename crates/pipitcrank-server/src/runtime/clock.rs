//! The process's clock: timestamps of the core on the machine's monotonic clock.
//!
//! The wall clock may be stepped at any time. It is used for one thing alone: to place a replica's start, which the
//! discovery service gives in Unix time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// The wall clock drifts against the monotonic one by less than this between two samples, unless it was stepped.
const STEP_US: i64 = 100_000;
/// Steps that are remembered; the oldest is forgotten first.
const MAX_OFFSETS: usize = 16;
/// Start times that are remembered; the earliest is forgotten first.
const MAX_STARTS: usize = 8192;

/// A clock that counts from when it was made; clones are the same clock.
#[derive(Clone)]
pub struct Clock {
    start: Instant,
    wall: Arc<Mutex<WallClock>>,
}

/// One reading of both clocks.
struct WallSample {
    now: Timestamp,
    /// Unix time less the process's time, in microseconds.
    offset: i64,
}

/// What the wall clock was seen to show, against the monotonic one.
struct WallClock {
    /// Offsets as sampled, in microseconds: the newest last, an older one for each step of the wall clock.
    offsets: Vec<i64>,
    /// Start times as they were placed first, by Unix time in milliseconds.
    starts: BTreeMap<i64, Timestamp>,
}

impl WallClock {
    fn new(offset: i64) -> WallClock {
        WallClock { offsets: vec![offset], starts: BTreeMap::new() }
    }

    fn record_offset(&mut self, offset: i64) {
        match self.offsets.last_mut() {
            Some(last) if (offset - *last).abs() < STEP_US => *last = offset,
            _ => self.offsets.push(offset),
        }
        if self.offsets.len() > MAX_OFFSETS {
            self.offsets.remove(0);
        }
    }

    /// Places a start. Where the wall clock was stepped it is not known by which time the start was given: the latest moment
    /// that it can mean and that is not in the future counts, so that no slow start is skipped or lasts as long as the step.
    /// A start keeps its place, whatever steps follow; `sample` is called only for one that has none.
    fn start_time(&mut self, unix_ms: i64, sample: impl FnOnce() -> WallSample) -> Timestamp {
        if let Some(&at) = self.starts.get(&unix_ms) {
            return at;
        }
        let WallSample { now, offset } = sample();
        self.record_offset(offset);
        let unix_us = unix_ms.saturating_mul(1000);
        let candidates =
            self.offsets.iter().map(|offset| Timestamp::from_micros(unix_us.saturating_sub(*offset)));
        let at = candidates.filter(|at| *at <= now).max().unwrap_or(now);
        self.starts.insert(unix_ms, at);
        if self.starts.len() > MAX_STARTS {
            self.starts.pop_first();
        }
        at
    }
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let start = Instant::now();
        Clock { start, wall: Arc::new(Mutex::new(WallClock::new(unix_now_us()))) }
    }

    /// Time since the clock was made.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as i64)
    }

    /// Compares the wall clock. To be called often, so that a step is known before a start is given by the stepped clock.
    pub fn sample_wall_clock(&self) {
        let offset = self.sample().offset;
        self.wall().record_offset(offset);
    }

    /// When a replica started that gives its start in Unix milliseconds; never later than now.
    pub fn started_at(&self, unix_ms: i64) -> Timestamp {
        self.wall().start_time(unix_ms, || self.sample())
    }

    /// That point in time for the runtime's timers.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.as_micros().max(0) as u64)).into()
    }

    fn sample(&self) -> WallSample {
        let unix_us = unix_now_us();
        let now = self.now();
        WallSample { now, offset: unix_us - now.as_micros() }
    }

    fn wall(&self) -> MutexGuard<'_, WallClock> {
        self.wall.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unix_now_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64
}

/// A span of the core as the standard library's type; a negative one is zero.
pub fn duration(span: TimeSpan) -> Duration {
    Duration::from_micros(span.as_micros().max(0) as u64)
}

#[cfg(test)]
mod tests;

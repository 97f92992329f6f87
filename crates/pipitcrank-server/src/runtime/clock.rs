//! The process's clock: the core's timestamps on the machine's monotonic clock.
//!
//! The wall clock may be stepped at any time. It is used only to convert replicas' start times, which the discovery service
//! reports in Unix time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Least change of the wall clock's offset between two samples that counts as a step; a smaller change is drift.
const STEP_US: i64 = 100_000;
/// Limit of the remembered wall clock offsets; the oldest is removed first.
const MAX_OFFSETS: usize = 16;
/// Limit of the remembered start times; the earliest is removed first.
const MAX_STARTS: usize = 8192;

/// A clock that counts from its creation; clones share the same time.
#[derive(Clone)]
pub struct Clock {
    start: Instant,
    wall: Arc<Mutex<WallClock>>,
}

/// One reading of both clocks.
struct WallSample {
    now: Timestamp,
    /// Unix time minus the process's time, in microseconds.
    offset: i64,
}

/// History of the wall clock's offset to the monotonic clock.
struct WallClock {
    /// Offsets in microseconds, one for each period between two steps of the wall clock, the current one last.
    offsets: Vec<i64>,
    /// Start times as first converted, by Unix time in milliseconds.
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

    /// Converts a start time. After a step of the wall clock it is unknown which offset the start time refers to; the
    /// latest result that is not in the future is used, so that no slow start is skipped or prolonged by the length of the
    /// step. Later steps do not change a converted start time; `sample` is called only for a start time seen for the first
    /// time.
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
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        let start = Instant::now();
        Clock { start, wall: Arc::new(Mutex::new(WallClock::new(unix_now_us()))) }
    }

    /// Time since the clock's creation.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as i64)
    }

    /// Samples the wall clock's offset. Must be called often, so that a step is detected before a start time refers to the
    /// stepped clock.
    pub fn sample_wall_clock(&self) {
        let offset = self.sample().offset;
        self.wall().record_offset(offset);
    }

    /// Converts a replica's start time from Unix milliseconds; the result is never in the future.
    pub fn started_at(&self, unix_ms: i64) -> Timestamp {
        self.wall().start_time(unix_ms, || self.sample())
    }

    /// Converts a timestamp for the timers of tokio.
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

/// Converts a time span of the core; a negative one becomes zero.
pub fn duration(span: TimeSpan) -> Duration {
    Duration::from_micros(span.as_micros().max(0) as u64)
}

#[cfg(test)]
mod tests;

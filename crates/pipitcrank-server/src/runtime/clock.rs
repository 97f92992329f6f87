//! The one clock: the module's points in time on the machine's monotonic clock. The wall clock may be stepped at any time;
//! it is used for one thing alone, to place a replica's start that discovery tells in Unix time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Counts from its making.
#[derive(Clone)]
pub struct Clock {
    start: Instant,
    wall: Arc<Mutex<WallClock>>,
}

/// What the wall clock was seen to show, against the monotonic one.
struct WallClock {
    /// Unix time less this clock's, in microseconds: the newest last, an older one where the wall clock was stepped.
    offsets: Vec<i64>,
    /// Starts as they were placed first, by Unix time in milliseconds.
    placed: BTreeMap<i64, Timestamp>,
}

/// The wall clock moves on against the monotonic one by less than this between two looks, unless it was stepped.
const STEP_US: i64 = 100_000;
/// Steps and starts that are remembered; the oldest are forgotten first.
const MOST_OFFSETS: usize = 16;
const MOST_PLACED: usize = 8192;

impl WallClock {
    fn new(offset: i64) -> WallClock {
        WallClock { offsets: vec![offset], placed: BTreeMap::new() }
    }

    fn first(&self) -> i64 {
        self.offsets.first().copied().unwrap_or(0)
    }

    fn saw(&mut self, offset: i64) {
        match self.offsets.last_mut() {
            Some(last) if (offset - *last).abs() < STEP_US => *last = offset,
            _ => self.offsets.push(offset),
        }
        if self.offsets.len() > MOST_OFFSETS {
            self.offsets.remove(0);
        }
    }

    /// Which clock a start was told by is not known where that was stepped: the latest moment that it can mean and that is
    /// not still to come. Guards against a slow start that is skipped after a step back, and one that lasts for as long as
    /// the step after one forward. A start keeps its place, whatever steps follow.
    fn place(&mut self, now: Timestamp, unix_ms: i64) -> Timestamp {
        if let Some(&at) = self.placed.get(&unix_ms) {
            return at;
        }
        let may_mean = self
            .offsets
            .iter()
            .map(|offset| Timestamp::from_micros(unix_us(unix_ms).saturating_sub(*offset)));
        let at = may_mean.filter(|at| *at <= now).max().unwrap_or(now);
        self.placed.insert(unix_ms, at);
        if self.placed.len() > MOST_PLACED {
            self.placed.pop_first();
        }
        at
    }
}

fn unix_us(ms: i64) -> i64 {
    ms.saturating_mul(1000)
}

impl Clock {
    pub fn start() -> Clock {
        let start = Instant::now();
        Clock { start, wall: Arc::new(Mutex::new(WallClock::new(wall_us()))) }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.start.elapsed().as_micros() as i64)
    }

    /// To be called often, so that a step of the wall clock is known before a start is told by it.
    pub fn look_at_wall(&self) {
        let offset = wall_us() - self.now().as_micros();
        self.wall.lock().unwrap_or_else(PoisonError::into_inner).saw(offset);
    }

    /// The moment of a Unix time in milliseconds as the wall clock stood first; it may lie before this clock's start.
    pub fn at_unix_ms(&self, ms: i64) -> Timestamp {
        let first = self.wall.lock().unwrap_or_else(PoisonError::into_inner).first();
        Timestamp::from_micros(unix_us(ms).saturating_sub(first))
    }

    /// When a replica started that says so in Unix time, in milliseconds; never later than now.
    pub fn started_at(&self, unix_ms: i64) -> Timestamp {
        // Each list names most starts again: those have their place, and no clock is read for them.
        if let Some(&at) = self.wall.lock().unwrap_or_else(PoisonError::into_inner).placed.get(&unix_ms) {
            return at;
        }
        self.look_at_wall();
        self.wall.lock().unwrap_or_else(PoisonError::into_inner).place(self.now(), unix_ms)
    }

    /// That point in time for the runtime's timers.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.as_micros().max(0) as u64)).into()
    }
}

fn wall_us() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64
}

pub fn duration(span: TimeSpan) -> Duration {
    Duration::from_micros(span.as_micros().max(0) as u64)
}

#[cfg(test)]
mod tests;

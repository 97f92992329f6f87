//! Points in time and spans between them, in whole microseconds. Sums saturate; only those that mean something compile.

use std::ops::{Add, Mul, Sub};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the epoch of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(i64);

/// A span of time, in microseconds; it may be negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct TimeSpan(i64);

impl Timestamp {
    /// That many seconds after the epoch, to the nearest microsecond.
    pub fn from_secs_f64(s: f64) -> Timestamp {
        Timestamp((s * 1e6).round() as i64)
    }

    /// That many microseconds after the epoch.
    pub const fn from_micros(us: i64) -> Timestamp {
        Timestamp(us)
    }

    /// Seconds since the epoch.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Microseconds since the epoch.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
}

impl TimeSpan {
    /// No time.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// That many milliseconds.
    pub const fn from_millis(ms: i64) -> TimeSpan {
        TimeSpan(ms.saturating_mul(1000))
    }

    /// In microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// That many seconds, to the nearest microsecond.
    pub fn from_secs_f64(s: f64) -> TimeSpan {
        TimeSpan((s * 1e6).round() as i64)
    }

    /// In seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<TimeSpan> for Timestamp {
    type Output = Timestamp;
    fn add(self, by: TimeSpan) -> Timestamp {
        Timestamp(self.0.saturating_add(by.0))
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Timestamp;
    fn sub(self, by: TimeSpan) -> Timestamp {
        Timestamp(self.0.saturating_sub(by.0))
    }
}

impl Sub for Timestamp {
    type Output = TimeSpan;
    fn sub(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Sub for TimeSpan {
    type Output = TimeSpan;
    fn sub(self, less: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(less.0))
    }
}

impl Add for TimeSpan {
    type Output = TimeSpan;
    fn add(self, more: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_add(more.0))
    }
}

impl Mul<f64> for TimeSpan {
    type Output = TimeSpan;
    fn mul(self, by: f64) -> TimeSpan {
        TimeSpan((self.0 as f64 * by).round() as i64)
    }
}

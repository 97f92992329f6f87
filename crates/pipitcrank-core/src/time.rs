//! Points in time and time spans in whole microseconds. Arithmetic saturates, and only meaningful
//! combinations compile.

use std::ops::{Add, Mul, Sub};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the epoch of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(i64);

/// A time span in microseconds. It may be negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct TimeSpan(i64);

impl Timestamp {
    /// Creates a point in time from seconds since the epoch, rounded to the nearest microsecond.
    pub fn from_secs_f64(s: f64) -> Timestamp {
        Timestamp((s * 1e6).round() as i64)
    }

    /// Creates a point in time from microseconds since the epoch.
    pub const fn from_micros(us: i64) -> Timestamp {
        Timestamp(us)
    }

    /// Returns the seconds since the epoch.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the microseconds since the epoch.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
}

impl TimeSpan {
    /// The empty time span.
    pub const ZERO: TimeSpan = TimeSpan(0);

    /// Creates a time span from milliseconds.
    pub const fn from_millis(ms: i64) -> TimeSpan {
        TimeSpan(ms.saturating_mul(1000))
    }

    /// Returns the time span in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Creates a time span from seconds, rounded to the nearest microsecond.
    pub fn from_secs_f64(s: f64) -> TimeSpan {
        TimeSpan((s * 1e6).round() as i64)
    }

    /// Returns the time span in seconds.
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

//! Times of the system's clocks, and conversion of times.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pipitcrank_core::time::TimeSpan;

/// Time since 1970 in microseconds: tells a process from any before it.
pub(crate) fn micros_since_epoch() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// A setting's duration as the state machines have it.
pub(crate) fn time_span(duration: Duration) -> TimeSpan {
    TimeSpan::from_secs_f64(duration.as_secs_f64())
}

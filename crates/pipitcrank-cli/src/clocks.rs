//! The wall clock, and conversion of durations.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pipitcrank_core::time::TimeSpan;

/// Microseconds since 1970. As an instance number they distinguish a process from its predecessors.
pub(crate) fn micros_since_epoch() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Converts the duration of a setting to the time type of the state machines.
pub(crate) fn time_span(duration: Duration) -> TimeSpan {
    TimeSpan::from_secs_f64(duration.as_secs_f64())
}

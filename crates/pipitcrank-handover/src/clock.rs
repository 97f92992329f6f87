//! The machine's monotonic clock.

use rustix::time::{ClockId, clock_gettime};

/// Returns `CLOCK_MONOTONIC` in microseconds; the clock is shared by all processes of the machine.
pub fn monotonic_micros() -> i64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

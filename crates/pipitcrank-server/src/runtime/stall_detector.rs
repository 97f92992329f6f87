//! Detects stalls of the process. Input read after a stall may have been unread for the whole length of the stall.

use std::sync::atomic::{AtomicI64, Ordering};

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Longest gap between two ticks that does not count as a stall. Ticks occur every 50 ms, and the slack of 150 ms in the
/// deadlines sent to replicas covers input that was unread during such a gap.
const STALL_THRESHOLD: TimeSpan = TimeSpan::from_millis(100);
/// Time after a stall within which input received during it is read; the length of the stall if that is shorter.
const BACKLOG: TimeSpan = TimeSpan::from_millis(250);

/// Records the last stall, in microseconds of the process's clock. Only one thread writes.
pub struct StallDetector {
    last_tick: AtomicI64,
    stall_ended: AtomicI64,
    stall_length: AtomicI64,
}

impl StallDetector {
    /// Creates a detector without a recorded stall.
    pub fn new(now: Timestamp) -> StallDetector {
        StallDetector {
            last_tick: AtomicI64::new(now.as_micros()),
            stall_ended: AtomicI64::new(i64::MIN / 2),
            stall_length: AtomicI64::new(0),
        }
    }

    /// Detects a stall by the time since the last call. Must be called periodically and with each request.
    pub fn tick(&self, now: Timestamp) {
        let gap = now.as_micros() - self.last_tick.swap(now.as_micros(), Ordering::Relaxed);
        if gap > STALL_THRESHOLD.as_micros() {
            self.stall_ended.store(now.as_micros(), Ordering::Relaxed);
            self.stall_length.store(gap, Ordering::Relaxed);
        }
    }

    /// Upper bound of the time for which a request read now was unread because of a stall; zero if there was none.
    pub fn unread_for(&self, now: Timestamp) -> TimeSpan {
        let since = now.as_micros() - self.stall_ended.load(Ordering::Relaxed);
        let length = TimeSpan::from_millis(self.stall_length.load(Ordering::Relaxed) / 1000);
        if since < BACKLOG.min(length).as_micros() { length } else { TimeSpan::ZERO }
    }
}

#[cfg(test)]
mod tests;

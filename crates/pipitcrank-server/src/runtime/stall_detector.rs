//! Detects that the process has just stalled: what is read from its sockets then may have lain there for as long.

use std::sync::atomic::{AtomicI64, Ordering};

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Longest gap between two ticks that is no stall. Ticks come each 50 ms; what lay unread within this gap is covered by the
/// 150 ms of slack that a replica's deadline has.
const STALL_THRESHOLD: TimeSpan = TimeSpan::from_millis(100);
/// What had come during a stall is read within this after its end, or within as long as the stall was if that is shorter.
const BACKLOG: TimeSpan = TimeSpan::from_millis(250);

/// Remembers the last stall. Microseconds of the process's clock; one thread writes.
pub struct StallDetector {
    last_tick: AtomicI64,
    stall_ended: AtomicI64,
    stall_length: AtomicI64,
}

impl StallDetector {
    /// A detector that has seen no stall.
    pub fn new(now: Timestamp) -> StallDetector {
        StallDetector {
            last_tick: AtomicI64::new(now.as_micros()),
            stall_ended: AtomicI64::new(i64::MIN / 2),
            stall_length: AtomicI64::new(0),
        }
    }

    /// To be called periodically and with each request.
    pub fn tick(&self, now: Timestamp) {
        let gap = now.as_micros() - self.last_tick.swap(now.as_micros(), Ordering::Relaxed);
        if gap > STALL_THRESHOLD.as_micros() {
            self.stall_ended.store(now.as_micros(), Ordering::Relaxed);
            self.stall_length.store(gap, Ordering::Relaxed);
        }
    }

    /// How long a request read now may have lain unread, beyond what is usual.
    pub fn unread_for(&self, now: Timestamp) -> TimeSpan {
        let since = now.as_micros() - self.stall_ended.load(Ordering::Relaxed);
        let length = TimeSpan::from_millis(self.stall_length.load(Ordering::Relaxed) / 1000);
        if since < BACKLOG.min(length).as_micros() { length } else { TimeSpan::ZERO }
    }
}

#[cfg(test)]
mod tests;

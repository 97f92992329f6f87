//! Whether this process has just stood still: what lies in its sockets then is as old as that, and nobody says how old.

use std::sync::atomic::{AtomicI64, Ordering};

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Looks come each 50 ms. With less than this between two of them what lay unread is within the slack that the time told to
/// a replica has, 150 ms.
const ASLEEP: TimeSpan = TimeSpan::from_millis(100);
/// What had come before is read within this after waking, some thousand requests, and within as long as the sleep was.
const BACKLOG: TimeSpan = TimeSpan::from_millis(250);

/// Microseconds of the process's clock; one thread writes.
pub struct StallDetector {
    looked: AtomicI64,
    woke: AtomicI64,
    slept: AtomicI64,
}

impl StallDetector {
    pub fn new(now: Timestamp) -> StallDetector {
        StallDetector {
            looked: AtomicI64::new(now.as_micros()),
            woke: AtomicI64::new(i64::MIN / 2),
            slept: AtomicI64::new(0),
        }
    }

    /// Called all the time, and with each request.
    pub fn look(&self, now: Timestamp) {
        let late = now.as_micros() - self.looked.swap(now.as_micros(), Ordering::Relaxed);
        if late > ASLEEP.as_micros() {
            self.woke.store(now.as_micros(), Ordering::Relaxed);
            self.slept.store(late, Ordering::Relaxed);
        }
    }

    /// How long a request read now may have waited to be read, beyond what is usual.
    pub fn unread_for(&self, now: Timestamp) -> TimeSpan {
        let since = now.as_micros() - self.woke.load(Ordering::Relaxed);
        let slept = TimeSpan::from_millis(self.slept.load(Ordering::Relaxed) / 1000);
        if since < BACKLOG.min(slept).as_micros() { slept } else { TimeSpan::ZERO }
    }
}

#[cfg(test)]
mod tests;

//! Whether this process has just stood still: what lies in its sockets then is as old as that, and nobody says how old.

use std::sync::atomic::{AtomicI64, Ordering};

use pipitcrank_core::time::{At, Span};

/// Looks come each 50 ms. With less than this between two of them what lay unread is within the slack that the time told to
/// a replica has, 150 ms.
const ASLEEP: Span = Span::from_ms(100);
/// What had come before is read within this after waking, some thousand requests, and within as long as the sleep was.
const BACKLOG: Span = Span::from_ms(250);

/// Microseconds of the process's clock; one thread writes.
pub struct Awake {
    looked: AtomicI64,
    woke: AtomicI64,
    slept: AtomicI64,
}

impl Awake {
    pub fn new(now: At) -> Awake {
        Awake {
            looked: AtomicI64::new(now.us()),
            woke: AtomicI64::new(i64::MIN / 2),
            slept: AtomicI64::new(0),
        }
    }

    /// Called all the time, and with each request.
    pub fn look(&self, now: At) {
        let late = now.us() - self.looked.swap(now.us(), Ordering::Relaxed);
        if late > ASLEEP.us() {
            self.woke.store(now.us(), Ordering::Relaxed);
            self.slept.store(late, Ordering::Relaxed);
        }
    }

    /// How long a request read now may have waited to be read, beyond what is usual.
    pub fn unread_for(&self, now: At) -> Span {
        let since = now.us() - self.woke.load(Ordering::Relaxed);
        let slept = Span::from_ms(self.slept.load(Ordering::Relaxed) / 1000);
        if since < BACKLOG.min(slept).us() { slept } else { Span::ZERO }
    }
}

#[cfg(test)]
mod tests;

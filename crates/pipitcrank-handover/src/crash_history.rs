//! Restart policy for crashed workers: exponential backoff, and a maximum number of crashes within a window.

use std::collections::VecDeque;

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Number of crashes within [`CRASH_WINDOW`] that lead to a restart. At the next crash the supervisor exits too, as a
/// process without supervisor would: restarts don't help a program that can't run.
const MAX_CRASHES: usize = 3;
const CRASH_WINDOW: TimeSpan = TimeSpan::from_millis(60_000);
/// Delay of the second restart; it doubles with each further crash. The first restart is immediate.
const BASE_RESTART_DELAY: TimeSpan = TimeSpan::from_millis(100);

/// Times of the crashes of serving workers, oldest first.
#[derive(Default)]
pub struct CrashHistory(VecDeque<Timestamp>);

impl CrashHistory {
    /// Records a crash at `now`.
    pub fn record(&mut self, now: Timestamp) {
        self.0.push_back(now);
    }

    /// Removes crashes older than [`CRASH_WINDOW`].
    pub fn expire(&mut self, now: Timestamp) {
        self.0.retain(|&crash| now - crash < CRASH_WINDOW);
    }

    /// Whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the next crash leads to no restart.
    pub fn limit_reached(&self) -> bool {
        self.0.len() >= MAX_CRASHES
    }

    /// Delay of the restart after the next crash.
    pub fn next_restart_delay(&self) -> TimeSpan {
        match self.0.len() {
            0 => TimeSpan::ZERO,
            crashes => BASE_RESTART_DELAY * f64::from(1 << (crashes - 1)),
        }
    }
}

//! Restart policy for a worker that serves and crashes: exponential backoff, and a limit of crashes within a window.

use std::collections::VecDeque;

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Crashes within [`CRASH_WINDOW`] after which the supervisor ends too, as the process alone would have: restarting a
/// program that can't run does not help.
const MAX_CRASHES: usize = 3;
const CRASH_WINDOW: TimeSpan = TimeSpan::from_millis(60_000);
/// Delay of the second restart, doubled with each further crash; the first restart is immediate.
const BASE_RESTART_DELAY: TimeSpan = TimeSpan::from_millis(100);

/// When serving workers crashed, oldest first.
#[derive(Default)]
pub struct CrashHistory(VecDeque<Timestamp>);

impl CrashHistory {
    /// Adds a crash.
    pub fn record(&mut self, now: Timestamp) {
        self.0.push_back(now);
    }

    /// Forgets crashes that are older than the window.
    pub fn expire(&mut self, now: Timestamp) {
        self.0.retain(|&crash| now - crash < CRASH_WINDOW);
    }

    /// Whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a further crash is not to be followed by a restart.
    pub fn limit_reached(&self) -> bool {
        self.0.len() >= MAX_CRASHES
    }

    /// Delay of the restart after a further crash.
    pub fn next_restart_delay(&self) -> TimeSpan {
        match self.0.len() {
            0 => TimeSpan::ZERO,
            earlier => BASE_RESTART_DELAY * f64::from(1 << (earlier - 1)),
        }
    }
}

//! Intervals and lifetimes used by voters.

use pipitcrank_core::time::TimeSpan;

/// Interval between ticks of the Raft library.
pub(super) const TICK: TimeSpan = TimeSpan::from_millis(50);
/// Interval between heartbeats of a voter.
pub(super) const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Validity of a heartbeat.
pub(super) const HEARTBEAT_LIFETIME: TimeSpan = TimeSpan::from_millis(900);
/// Time without a leader after which a new generation is founded, provided that all slots send heartbeats.
/// Several elections fit into this time.
pub(super) const FOUNDING_DELAY: TimeSpan = TimeSpan::from_millis(2500);
/// Time without a leader after which a voter promises to join a new generation.
pub(super) const PROMISE_DELAY: TimeSpan = TimeSpan::from_millis(1250);
/// Validity of a promise to join a new generation.
pub(super) const PROMISE_LIFETIME: TimeSpan = TimeSpan::from_millis(3000);
/// Minimum time between two admissions: the first must be complete.
pub(super) const ADMISSION_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

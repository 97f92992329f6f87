//! Intervals and lifetimes of voters.

use pipitcrank_core::time::TimeSpan;

/// One tick of the Raft library.
pub(super) const TICK: TimeSpan = TimeSpan::from_millis(50);
/// Time between two heartbeats of a voter.
pub(super) const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// For how long a heartbeat counts.
pub(super) const HEARTBEAT_LIFETIME: TimeSpan = TimeSpan::from_millis(900);
/// Without a leader for so long, and with all slots heard, a new generation is founded: several elections would have been
/// held.
pub(super) const FOUND_AFTER: TimeSpan = TimeSpan::from_millis(2500);
/// Without a leader for so long a voter promises to join a new generation.
pub(super) const PROMISE_AFTER: TimeSpan = TimeSpan::from_millis(1250);
/// For how long a promise to join a new generation holds.
pub(super) const PROMISE_LIFETIME: TimeSpan = TimeSpan::from_millis(3000);
/// Time between two admissions: the first must be complete.
pub(super) const ADMISSION_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

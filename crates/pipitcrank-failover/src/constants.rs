//! Constants shared by several modules.

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Initial value of timestamps, before every event; differences from it do not overflow.
pub(crate) const DISTANT_PAST: Timestamp = Timestamp::from_micros(i64::MIN / 4);
/// Longer than any interval: a timer that last fired this long before the start is due at once.
pub(crate) const LONGER_THAN_ANY_INTERVAL: TimeSpan = TimeSpan::from_millis(60_000);
/// Odd multiplier (2^64 divided by the golden ratio) that spreads a process's start time over 64 bits.
pub(crate) const SPREADING_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

//! Constants that several modules use.

use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Before any event: a time that is always long ago, and from which differences do not overflow.
pub(crate) const DISTANT_PAST: Timestamp = Timestamp::from_micros(i64::MIN / 4);
/// What was due so long before the start is due at once.
pub(crate) const LONGER_THAN_ANY_INTERVAL: TimeSpan = TimeSpan::from_millis(60_000);
/// An odd multiplier (2^64 divided by the golden ratio) that spreads a process's start over 64 bits.
pub(crate) const SPREADING_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

//! Last known state of a node as stored on disk, and the selection of the parts that a restarted process may use. The
//! module does no I/O and reads no clock: callers pass the readings of the wall clock and of the monotonic clock.
//!
//! | age of the state | parts used |
//! | --- | --- |
//! | unknown, because a clock was set back | the decision on zones; decisions with lower numbers are rejected |
//! | over the limit | also the members, as addresses to contact |
//! | within the limit | also the learned state, with its age |

use pipitcrank_core::time::TimeSpan;
use pipitcrank_failover::decision::Decision;
use pipitcrank_handover::exact_decode::decode_exact;
use pipitcrank_handover::snapshot::{AgedSnapshot, Snapshot};
use pipitcrank_membership::peer::Peer;
use serde::{Deserialize, Serialize};

/// Maximum difference between the times elapsed on the two clocks; above it, one clock is assumed to have been set.
const CLOCK_TOLERANCE_US: i64 = 2_000_000;
/// Maximum number of stored members, equal to the limit in the operators' file. A member takes about 20 bytes.
pub const MAX_MEMBERS: usize = 4096;

/// Simultaneous readings of the machine's wall clock and monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Wall clock, in microseconds since 1970.
    pub wall_us: i64,
    /// Monotonic clock, in microseconds since the machine was booted.
    pub monotonic_us: i64,
}

/// State as stored on disk. Fields are encoded by position: their order and types must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LastKnownState {
    written_at: ClockReading,
    /// Encoded [`Snapshot`]; empty if the encoding failed.
    snapshot: Vec<u8>,
    /// Current decision on zones.
    pub decision: Option<Decision>,
    /// Other nodes, at most [`MAX_MEMBERS`].
    pub members: Vec<Peer>,
}

/// Parts of a [`LastKnownState`] that may be used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// Learned state of the replicas, with its age.
    pub learned: Option<AgedSnapshot>,
    /// Last known decision on zones; older decisions are rejected.
    pub decision: Option<Decision>,
    /// Nodes to contact first.
    pub members: Vec<Peer>,
}

/// Time between two readings; `None` if neither clock gives a reliable value.
pub fn elapsed(earlier: ClockReading, now: ClockReading) -> Option<TimeSpan> {
    let wall = now.wall_us - earlier.wall_us;
    let monotonic = now.monotonic_us - earlier.monotonic_us;
    let span = |us: i64| TimeSpan::from_millis(us / 1000);
    match (wall >= 0, monotonic >= 0) {
        // The machine was rebooted, which resets the monotonic clock: only the wall clock is usable.
        (true, false) => Some(span(wall)),
        // The wall clock was set back, or has not been set since the machine was booted.
        (false, _) => None,
        (true, true) if (wall - monotonic).abs() <= CLOCK_TOLERANCE_US => Some(span(monotonic)),
        // The clocks disagree. The longer time is the safe choice: an overestimated age only expires the state earlier.
        (true, true) => Some(span(wall.max(monotonic))),
    }
}

impl LastKnownState {
    /// Creates the state at `now`, with the first [`MAX_MEMBERS`] of `members`.
    pub fn new(
        now: ClockReading,
        snapshot: &Snapshot,
        decision: Option<Decision>,
        mut members: Vec<Peer>,
    ) -> LastKnownState {
        members.truncate(MAX_MEMBERS);
        LastKnownState { written_at: now, snapshot: snapshot.encode().unwrap_or_default(), decision, members }
    }

    /// Encodes the state for storage.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a state. Returns `None` if `bytes` is not exactly one state, or has more than [`MAX_MEMBERS`] members.
    pub fn decode(bytes: &[u8]) -> Option<LastKnownState> {
        decode_exact(bytes).ok().filter(|state: &LastKnownState| state.members.len() <= MAX_MEMBERS)
    }

    /// Returns the parts that may be used at `now`. The learned state is included up to an age of `max_age`.
    pub fn recover(self, now: ClockReading, max_age: TimeSpan) -> RecoveredState {
        let age = elapsed(self.written_at, now);
        let recent = age.filter(|age| *age <= max_age);
        let learned = recent.and_then(|age| {
            let snapshot = Snapshot::decode(&self.snapshot).ok()?;
            Some(AgedSnapshot { age, snapshot })
        });
        let members = if age.is_some() { self.members } else { Vec::new() };
        RecoveredState { learned, decision: self.decision, members }
    }
}

#[cfg(test)]
mod tests;

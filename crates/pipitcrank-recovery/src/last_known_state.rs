//! A node's last known state as it is kept on disk, and which parts of it a restarted process may use. No I/O, no clock:
//! the readings of both clocks are passed in.
//!
//! | age of the state | what is used |
//! | --- | --- |
//! | unknown, as a clock was set back | the decision's number, below which no decision is followed |
//! | over the limit | also the members, as addresses to contact |
//! | within the limit | also the learned state, by its age |

use pipitcrank_core::time::TimeSpan;
use pipitcrank_failover::decision::Decision;
use pipitcrank_handover::exact_decode::decode_exact;
use pipitcrank_handover::snapshot::{AgedSnapshot, Snapshot};
use pipitcrank_membership::peer::Peer;
use serde::{Deserialize, Serialize};

/// Two clocks that measured spans which differ by less have both run undisturbed.
const CLOCK_TOLERANCE_US: i64 = 2_000_000;
/// Most members kept: as many as an operators' file may name. Each takes some twenty bytes.
pub const MAX_MEMBERS: usize = 4096;

/// Readings of both clocks of the machine at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Wall clock, in microseconds since 1970.
    pub wall_us: i64,
    /// Monotonic clock, in microseconds since the machine's start.
    pub monotonic_us: i64,
}

/// The state as it is kept. Encoded by position: fields keep their order and types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LastKnownState {
    written_at: ClockReading,
    /// An encoded [`Snapshot`]; empty where it could not be encoded.
    snapshot: Vec<u8>,
    /// The current decision on zones.
    pub decision: Option<Decision>,
    /// Other nodes, [`MAX_MEMBERS`] at most.
    pub members: Vec<Peer>,
}

/// The parts of a [`LastKnownState`] that may be used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// What was learned of replicas.
    pub learned: Option<AgedSnapshot>,
    /// The last decision on zones; no older one is followed.
    pub decision: Option<Decision>,
    /// Nodes to contact first.
    pub members: Vec<Peer>,
}

/// The time from one reading to a later one; `None` where neither clock can be trusted.
pub fn elapsed(earlier: ClockReading, now: ClockReading) -> Option<TimeSpan> {
    let wall = now.wall_us - earlier.wall_us;
    let monotonic = now.monotonic_us - earlier.monotonic_us;
    let span = |us: i64| TimeSpan::from_millis(us / 1000);
    match (wall >= 0, monotonic >= 0) {
        // The machine was restarted: only the wall clock has continued.
        (true, false) => Some(span(wall)),
        // The wall clock was set back, or is not yet set after the machine's start.
        (false, _) => None,
        (true, true) if (wall - monotonic).abs() <= CLOCK_TOLERANCE_US => Some(span(monotonic)),
        // Of two spans that differ the longer one: state that is taken for older than it is expires sooner.
        (true, true) => Some(span(wall.max(monotonic))),
    }
}

impl LastKnownState {
    /// The state at `now`, with the first [`MAX_MEMBERS`] of `members`.
    pub fn new(
        now: ClockReading,
        snapshot: &Snapshot,
        decision: Option<Decision>,
        mut members: Vec<Peer>,
    ) -> LastKnownState {
        members.truncate(MAX_MEMBERS);
        LastKnownState { written_at: now, snapshot: snapshot.encode().unwrap_or_default(), decision, members }
    }

    /// The state in the form in which it is kept.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads a state, which has to be whole.
    pub fn decode(bytes: &[u8]) -> Option<LastKnownState> {
        decode_exact(bytes).ok().filter(|state: &LastKnownState| state.members.len() <= MAX_MEMBERS)
    }

    /// The parts that may be used at `now`; what was learned of replicas only up to an age of `max_age`.
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

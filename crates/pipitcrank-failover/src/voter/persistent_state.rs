//! What a voter must not forget.

use serde::{Deserialize, Serialize};

use super::identity::KnownIncarnation;
use crate::decision::Decision;

/// What a voter must not forget: to be stored where no crash loses it, before anything that was said after it is sent. Valid
/// for the same slot alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistentVoterState {
    pub(super) slot: usize,
    /// The process whose start the id is made of.
    pub(super) instance: u64,
    pub(super) abandoned_ids: u64,
    pub(super) incarnation_count: u64,
    pub(super) highest_generation: u64,
    pub(super) has_promised: bool,
    /// By slot.
    pub(super) known_incarnations: Vec<KnownIncarnation>,
    pub(super) group: Option<PersistentGroupState>,
}

impl PersistentVoterState {
    /// The stored form.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// What was encoded; none unless all bytes belong to it.
    pub fn decode(bytes: &[u8]) -> Option<PersistentVoterState> {
        let (memory, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(memory)
    }

    /// Whether it is the memory of a voter in that slot of as many.
    pub(super) fn fits(&self, slot: usize, slot_count: usize) -> bool {
        self.slot == slot && self.known_incarnations.len() == slot_count && self.instance != 0
    }
}

/// The place of an entry in the Raft log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct LogPosition {
    pub(super) index: u64,
    pub(super) term: u64,
}

/// Raft's hard state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredHardState {
    pub(super) term: u64,
    /// The id voted for; 0 for none.
    pub(super) vote: u64,
    /// Index of the last committed entry.
    pub(super) commit: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct PersistentGroupState {
    pub(super) generation: u64,
    /// The last applied entry.
    pub(super) applied: LogPosition,
    /// The decision after it.
    pub(super) decision: Option<Decision>,
    /// The voters after it, in the library's encoding.
    pub(super) voters: Vec<u8>,
    pub(super) hard_state: StoredHardState,
    /// Later entries, in the library's encoding.
    pub(super) entries: Vec<Vec<u8>>,
}

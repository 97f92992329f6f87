//! State that a voter has to persist.

use serde::{Deserialize, Serialize};

use super::identity::KnownIncarnation;
use crate::decision::Decision;

/// State of a voter that must survive any crash. It has to be persisted before outputs that depend on it are
/// sent, and is valid for the same slot only.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistentVoterState {
    pub(super) slot: usize,
    /// Start time that the id is derived from.
    pub(super) instance: u64,
    pub(super) abandoned_ids: u64,
    pub(super) incarnation_count: u64,
    pub(super) highest_generation: u64,
    pub(super) has_promised: bool,
    /// Incarnations recorded for all voters, by slot.
    pub(super) known_incarnations: Vec<KnownIncarnation>,
    pub(super) group: Option<PersistentGroupState>,
}

impl PersistentVoterState {
    /// Encodes the state for storage.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a stored state; returns `None` unless all bytes belong to it.
    pub fn decode(bytes: &[u8]) -> Option<PersistentVoterState> {
        let (state, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(state)
    }

    /// Whether this is the state of a voter in `slot` out of `slot_count` slots.
    pub(super) fn fits(&self, slot: usize, slot_count: usize) -> bool {
        self.slot == slot && self.known_incarnations.len() == slot_count && self.instance != 0
    }
}

/// Position of an entry in the Raft log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct LogPosition {
    pub(super) index: u64,
    pub(super) term: u64,
}

/// Hard state of Raft.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredHardState {
    pub(super) term: u64,
    /// Id of the voter that got this voter's vote; 0 for none.
    pub(super) vote: u64,
    /// Index of the last committed entry.
    pub(super) commit: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct PersistentGroupState {
    pub(super) generation: u64,
    /// Last applied entry.
    pub(super) applied: LogPosition,
    /// Decision after the last applied entry.
    pub(super) decision: Option<Decision>,
    /// Voters after the last applied entry, in the library's encoding.
    pub(super) voters: Vec<u8>,
    pub(super) hard_state: StoredHardState,
    /// Entries after the last applied one, in the library's encoding.
    pub(super) entries: Vec<Vec<u8>>,
}

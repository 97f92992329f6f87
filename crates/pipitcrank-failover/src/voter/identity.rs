//! Ids of voters, and the incarnations of each id.

use serde::{Deserialize, Serialize};

use crate::constants::SPREADING_MULTIPLIER;

/// Odd multiplier that spreads the number of abandoned ids over 64 bits.
const ABANDONED_IDS_MULTIPLIER: u64 = 0xD1B5_4A32_D192_ED03;
/// Number of low bits of an id that hold its slot, counted from 1.
const SLOT_BITS: u32 = 8;
const SLOT_MASK: u64 = 0xff;

/// Returns the slot of a voter's id, which must not be 0.
pub(super) fn slot_of(id: u64) -> usize {
    (id & SLOT_MASK) as usize - 1
}

/// Slot of a voter, and the size of the configuration.
#[derive(Clone, Copy)]
pub(super) struct Placement {
    pub(super) slot: usize,
    pub(super) slot_count: usize,
    pub(super) zone_count: usize,
}

/// One process among those that use an id in turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Number of the process among those of the id, from 1.
    pub count: u64,
    /// Start time of the process, in microseconds since 1970 by its own clock.
    pub started: u64,
}

/// Latest recorded incarnation of an id; all zero if none is recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownIncarnation {
    /// Id of the voter.
    pub id: u64,
    /// Latest incarnation of the id.
    pub incarnation: Incarnation,
}

impl KnownIncarnation {
    /// Whether `other` is a later process of the same id. The same count with another start time means that
    /// another process used the same persisted state.
    fn is_superseded_by(&self, other: &KnownIncarnation) -> bool {
        other.id == self.id
            && other.incarnation != self.incarnation
            && other.incarnation.count >= self.incarnation.count
    }
}

/// Latest incarnation of the newest id, by slot.
pub(super) struct IncarnationTable(Vec<KnownIncarnation>);

impl IncarnationTable {
    pub(super) fn new(slot_count: usize) -> IncarnationTable {
        IncarnationTable(vec![KnownIncarnation::default(); slot_count])
    }

    pub(super) fn by_slot(&self) -> Vec<KnownIncarnation> {
        self.0.clone()
    }

    /// Records an announced incarnation; returns whether the entry changed. For the same id, only a later
    /// incarnation counts. Another id belongs to the process that runs now.
    pub(super) fn record(&mut self, slot: usize, announced: KnownIncarnation) -> bool {
        let known = &mut self.0[slot];
        let is_later = known.id != announced.id || announced.incarnation.count > known.incarnation.count;
        if is_later {
            *known = announced;
        }
        is_later
    }
}

impl From<Vec<KnownIncarnation>> for IncarnationTable {
    fn from(by_slot: Vec<KnownIncarnation>) -> IncarnationTable {
        IncarnationTable(by_slot)
    }
}

/// Identity of this process among the voters.
pub(super) struct VoterIdentity {
    slot: usize,
    /// Start time that the id is derived from: that of this process, or of the one whose persisted state it
    /// uses.
    pub(super) instance: u64,
    /// Number of ids that were abandoned.
    pub(super) abandoned_ids: u64,
    pub(super) incarnation: Incarnation,
    /// Set while the process uses persisted state and no majority has recorded its incarnation. It neither
    /// votes nor stands for election until then.
    pub(super) is_unconfirmed: bool,
}

impl VoterIdentity {
    pub(super) fn new(slot: usize, instance: u64) -> VoterIdentity {
        let incarnation = Incarnation { count: 1, started: instance };
        VoterIdentity { slot, instance, abandoned_ids: 0, incarnation, is_unconfirmed: false }
    }

    /// Continues under the id of an earlier process.
    pub(super) fn restore(&mut self, instance: u64, abandoned_ids: u64, incarnation_count: u64) {
        self.incarnation = Incarnation { count: incarnation_count + 1, started: self.instance };
        (self.instance, self.abandoned_ids) = (instance, abandoned_ids);
    }

    /// Returns the id: the slot in the lowest byte, the rest derived from the start time and the number of
    /// abandoned ids.
    pub(super) fn id(&self) -> u64 {
        let spread = (self.instance.wrapping_mul(SPREADING_MULTIPLIER)
            ^ self.abandoned_ids.wrapping_mul(ABANDONED_IDS_MULTIPLIER))
            << SLOT_BITS;
        spread | (self.slot as u64 + 1)
    }

    fn known_incarnation(&self) -> KnownIncarnation {
        KnownIncarnation { id: self.id(), incarnation: self.incarnation }
    }

    /// Whether another voter has recorded a later process of this id while this one is unconfirmed.
    pub(super) fn is_superseded(&self, recorded: &[KnownIncarnation]) -> bool {
        let own = self.known_incarnation();
        self.is_unconfirmed && recorded.iter().any(|recorded| own.is_superseded_by(recorded))
    }

    /// Marks the incarnation as confirmed once a majority, this process included, has recorded it.
    pub(super) fn confirm(&mut self, recorded: &[KnownIncarnation], slot_count: usize) {
        let own = self.known_incarnation();
        let confirmations = 1 + recorded.iter().filter(|recorded| **recorded == own).count();
        if confirmations * 2 > slot_count {
            self.is_unconfirmed = false;
        }
    }

    /// Switches to another id.
    pub(super) fn abandon_id(&mut self) {
        self.abandoned_ids += 1;
    }

    /// Switches to another id, of which this is the first process.
    pub(super) fn leave_group(&mut self) {
        self.abandon_id();
        self.incarnation.count = 1;
        self.is_unconfirmed = false;
    }
}

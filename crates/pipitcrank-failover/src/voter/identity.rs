//! Ids of voters, and the processes that go by them in turn.

use serde::{Deserialize, Serialize};

use crate::constants::SPREADING_MULTIPLIER;

/// An odd multiplier that spreads the number of abandoned ids over 64 bits.
const ABANDONED_IDS_MULTIPLIER: u64 = 0xD1B5_4A32_D192_ED03;
/// The lowest bits of an id hold its slot, counted from 1.
const SLOT_BITS: u32 = 8;
const SLOT_MASK: u64 = 0xff;

/// The slot of a voter's id, which is not 0.
pub(super) fn slot_of(id: u64) -> usize {
    (id & SLOT_MASK) as usize - 1
}

/// A voter's place among the others.
#[derive(Clone, Copy)]
pub(super) struct Placement {
    pub(super) slot: usize,
    pub(super) slot_count: usize,
    pub(super) zone_count: usize,
}

/// Which process in turn goes by an id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Counts the processes of the id, from 1.
    pub count: u64,
    /// The start of the process, in microseconds since 1970 by its own clock.
    pub started: u64,
}

/// The latest known incarnation of an id; all zero where none is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownIncarnation {
    /// The voter's id.
    pub id: u64,
    /// Its latest incarnation.
    pub incarnation: Incarnation,
}

impl KnownIncarnation {
    /// Whether the other is a later process of the same id. The same count with another start is another process that used
    /// the same memory.
    fn is_superseded_by(&self, other: &KnownIncarnation) -> bool {
        other.id == self.id
            && other.incarnation != self.incarnation
            && other.incarnation.count >= self.incarnation.count
    }
}

/// By slot: the latest incarnation of the newest id.
pub(super) struct IncarnationTable(Vec<KnownIncarnation>);

impl IncarnationTable {
    pub(super) fn new(slot_count: usize) -> IncarnationTable {
        IncarnationTable(vec![KnownIncarnation::default(); slot_count])
    }

    pub(super) fn by_slot(&self) -> Vec<KnownIncarnation> {
        self.0.clone()
    }

    /// Whether it is news. Of the same id only a later incarnation counts; another id is that of a process that runs now.
    pub(super) fn record(&mut self, slot: usize, heard: KnownIncarnation) -> bool {
        let known = &mut self.0[slot];
        let is_later = known.id != heard.id || heard.incarnation.count > known.incarnation.count;
        if is_later {
            *known = heard;
        }
        is_later
    }
}

impl From<Vec<KnownIncarnation>> for IncarnationTable {
    fn from(by_slot: Vec<KnownIncarnation>) -> IncarnationTable {
        IncarnationTable(by_slot)
    }
}

/// The identity of this process among the voters.
pub(super) struct VoterIdentity {
    slot: usize,
    /// The process whose start its id is made of: this one, or the one whose memory it uses.
    pub(super) instance: u64,
    /// Ids that it has abandoned.
    pub(super) abandoned_ids: u64,
    pub(super) incarnation: Incarnation,
    /// It uses a memory, and no majority has recorded its incarnation yet: it neither votes nor stands for election.
    pub(super) is_unconfirmed: bool,
}

impl VoterIdentity {
    pub(super) fn new(slot: usize, instance: u64) -> VoterIdentity {
        let incarnation = Incarnation { count: 1, started: instance };
        VoterIdentity { slot, instance, abandoned_ids: 0, incarnation, is_unconfirmed: false }
    }

    /// Goes on under the id of an earlier process.
    pub(super) fn restore(&mut self, instance: u64, abandoned_ids: u64, incarnation_count: u64) {
        self.incarnation = Incarnation { count: incarnation_count + 1, started: self.instance };
        (self.instance, self.abandoned_ids) = (instance, abandoned_ids);
    }

    /// The slot in the lowest byte; the rest is made of the start and the abandoned ids.
    pub(super) fn id(&self) -> u64 {
        let spread = (self.instance.wrapping_mul(SPREADING_MULTIPLIER)
            ^ self.abandoned_ids.wrapping_mul(ABANDONED_IDS_MULTIPLIER))
            << SLOT_BITS;
        spread | (self.slot as u64 + 1)
    }

    fn known_incarnation(&self) -> KnownIncarnation {
        KnownIncarnation { id: self.id(), incarnation: self.incarnation }
    }

    /// Whether another voter knows of a later process of its id, while it is unproven.
    pub(super) fn is_superseded(&self, recorded: &[KnownIncarnation]) -> bool {
        let own = self.known_incarnation();
        self.is_unconfirmed && recorded.iter().any(|recorded| own.is_superseded_by(recorded))
    }

    /// It is proven once a majority, itself included, has recorded its incarnation.
    pub(super) fn prove(&mut self, recorded: &[KnownIncarnation], slot_count: usize) {
        let own = self.known_incarnation();
        let confirmations = 1 + recorded.iter().filter(|recorded| **recorded == own).count();
        if confirmations * 2 > slot_count {
            self.is_unconfirmed = false;
        }
    }

    /// Takes another id.
    pub(super) fn abandon_id(&mut self) {
        self.abandoned_ids += 1;
    }

    /// Takes another id, of which this is the first process.
    pub(super) fn leave_group(&mut self) {
        self.abandon_id();
        self.incarnation.count = 1;
        self.is_unconfirmed = false;
    }
}

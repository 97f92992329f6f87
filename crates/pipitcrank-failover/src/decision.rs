//! What the voters agree on: one decision for each number. Numbers only grow; a new group of voters begins above all that
//! any of them knew of.

use serde::{Deserialize, Serialize};

/// The whole of anything that is given in thousandths.
pub const FULL_PERMILLE: u16 = 1000;
/// Capacity in parts per second where nobody knows it; taken to be enough.
pub const UNKNOWN_CAPACITY: u32 = u32::MAX;
/// Bits of a decision's number that count within a generation of voters.
const COUNT_BITS: u32 = 32;

/// What is done with a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ZoneState {
    /// It has its usual load.
    Serving,
    /// Evidence is against it; nothing is moved yet.
    Suspected,
    /// Its load goes elsewhere, in steps.
    Draining,
    /// It has no load.
    OutOfService,
    /// Its load comes back, in steps.
    Returning,
}

impl ZoneState {
    /// As it is shown to operators and written to logs.
    pub fn name(self) -> &'static str {
        match self {
            ZoneState::Serving => "serving",
            ZoneState::Suspected => "suspected",
            ZoneState::Draining => "leaving",
            ZoneState::OutOfService => "out",
            ZoneState::Returning => "returning",
        }
    }
}

/// What is decided for one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDecision {
    /// What is done with it.
    pub state: ZoneState,
    /// Thousandths of its usual load that it retains.
    pub retained: u16,
    /// How often its hold-down was doubled.
    pub hold_down_level: u8,
    /// An operator drained it: it stays out of service until an operator returns it.
    pub drained: bool,
    /// Parts per second that it can answer; [`UNKNOWN_CAPACITY`] where nobody knows.
    pub capacity: u32,
    /// Parts per second that its clients request.
    pub demand: u32,
    /// Bit `n`: the path to zone `n` is cut, nothing is routed there.
    pub cut_paths: u16,
}

/// Why a decision was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionCause {
    /// A group of voters was founded.
    GroupFounded,
    /// Evidence that a zone is dead.
    Dead,
    /// Evidence that a zone is cut off.
    CutOff,
    /// Evidence that a zone is slow.
    Slow,
    /// Evidence that a zone is healthy.
    Healthy,
    /// The next step of a move.
    NextStep,
    /// A path between two zones is cut, or restored.
    PathChanged,
    /// Demand or capacity changed by enough to matter.
    LoadChanged,
    /// No fault for long: the hold-down is at its shortest again.
    HoldDownReset,
    /// An operator drained a zone.
    Drained,
    /// An operator returned a zone.
    Returned,
    /// An operator froze all zones.
    Frozen,
    /// An operator ended the freeze.
    Thawed,
}

impl DecisionCause {
    /// As it is shown to operators and written to logs.
    pub fn name(self) -> &'static str {
        match self {
            DecisionCause::GroupFounded => "begun",
            DecisionCause::Dead => "dead",
            DecisionCause::CutOff => "cut_off",
            DecisionCause::Slow => "slow",
            DecisionCause::Healthy => "well",
            DecisionCause::NextStep => "step",
            DecisionCause::PathChanged => "way",
            DecisionCause::LoadChanged => "figures",
            DecisionCause::HoldDownReset => "calm",
            DecisionCause::Drained => "drained",
            DecisionCause::Returned => "returned",
            DecisionCause::Frozen => "frozen",
            DecisionCause::Thawed => "thawed",
        }
    }
}

/// One decision on all zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The generation of voters in the upper half, the count within it in the lower.
    pub number: u64,
    /// By zone, in the operators' order.
    pub zones: Vec<ZoneDecision>,
    /// Nothing moves except by operators' orders.
    pub frozen: bool,
    /// Why it was made.
    pub cause: DecisionCause,
    /// The zone that it is about, by place in the operators' list.
    pub zone: u16,
}

impl Decision {
    /// The decision that holds before any is made: all zones serve.
    pub fn initial(zone_count: usize, number: u64) -> Decision {
        let zone = ZoneDecision {
            state: ZoneState::Serving,
            retained: FULL_PERMILLE,
            hold_down_level: 0,
            drained: false,
            capacity: UNKNOWN_CAPACITY,
            demand: 0,
            cut_paths: 0,
        };
        Decision {
            number,
            zones: vec![zone; zone_count],
            frozen: false,
            cause: DecisionCause::GroupFounded,
            zone: 0,
        }
    }

    /// Whether it can be acted on with that many zones: it may come from nodes with another configuration.
    pub fn is_valid(&self, zone_count: usize) -> bool {
        let consistent = |zone: &ZoneDecision| {
            let out_of_service = zone.state == ZoneState::OutOfService;
            zone.retained <= FULL_PERMILLE && (!out_of_service || zone.retained == 0)
        };
        self.zones.len() == zone_count
            && usize::from(self.zone) < zone_count
            && self.zones.iter().all(consistent)
    }

    /// The generation of voters that made it.
    pub fn generation(&self) -> u64 {
        self.number >> COUNT_BITS
    }

    /// The lowest number of a generation.
    pub(crate) fn first_number(generation: u64) -> u64 {
        generation << COUNT_BITS
    }

    /// Whether queries may be routed from one zone to the other.
    pub fn allows(&self, from: usize, to: usize) -> bool {
        self.zones[to].retained > 0 && !self.is_path_cut(from, to)
    }

    /// Whether the path from one zone to the other is decided to be cut.
    pub(crate) fn is_path_cut(&self, from: usize, to: usize) -> bool {
        self.zones[from].cut_paths & (1 << to) != 0
    }
}

/// An operator's order; a zone is given by its place in the operators' list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorOrder {
    /// Takes a zone out of service until it is returned.
    Drain(u16),
    /// Brings a zone back into service.
    Return(u16),
    /// Stops all moves that are not ordered.
    Freeze,
    /// Ends a freeze.
    Thaw,
}

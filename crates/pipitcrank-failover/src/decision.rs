//! The zone decision that the voters agree on. Each number has exactly one decision, and numbers only
//! increase: a new group of voters starts above every number that its members have recorded.

use serde::{Deserialize, Serialize};

/// One whole, in thousandths.
pub const FULL_PERMILLE: u16 = 1000;
/// Capacity, in parts per second, of a zone whose capacity is unknown; treated as unlimited.
pub const UNKNOWN_CAPACITY: u32 = u32::MAX;
/// Width of the lower part of a decision number, which counts the decisions of one generation of voters.
const COUNT_BITS: u32 = 32;

/// State of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ZoneState {
    /// The zone serves its normal load.
    Serving,
    /// The evidence shows the zone as unhealthy; no load has been moved yet.
    Suspected,
    /// Load is moved to other zones in steps.
    Draining,
    /// The zone receives no load.
    OutOfService,
    /// Load returns to the zone in steps.
    Returning,
}

impl ZoneState {
    /// Name shown to operators and written to logs.
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

/// Decision for one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDecision {
    /// State of the zone.
    pub state: ZoneState,
    /// Fraction of its normal load that the zone keeps, in thousandths.
    pub retained: u16,
    /// Number of times that the hold-down was doubled.
    pub hold_down_level: u8,
    /// Set when an operator drains the zone: it stays out of service until an operator returns it.
    pub drained: bool,
    /// Capacity in parts per second; [`UNKNOWN_CAPACITY`] if it is unknown.
    pub capacity: u32,
    /// Demand of the zone's clients, in parts per second.
    pub demand: u32,
    /// Bit mask of cut paths: while bit `n` is set, nothing is routed from this zone to zone `n`.
    pub cut_paths: u16,
}

/// Reason for a decision.
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
    /// The next step of a drain or of a return was due.
    NextStep,
    /// A path between two zones was cut or restored.
    PathChanged,
    /// Demand or capacity changed significantly.
    LoadChanged,
    /// A zone served long enough without a fault, so its hold-down is reset to the shortest one.
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
    /// Name shown to operators and written to logs.
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

/// Decision on all zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Generation of voters in the upper 32 bits, count within the generation in the lower 32 bits.
    pub number: u64,
    /// One entry per zone, in the order of the operators' list.
    pub zones: Vec<ZoneDecision>,
    /// While this is set, load moves only by operators' orders.
    pub frozen: bool,
    /// Reason for the decision.
    pub cause: DecisionCause,
    /// Zone that the decision concerns, as an index into the operators' list.
    pub zone: u16,
}

impl Decision {
    /// Decision of a group that starts without any earlier decision: all zones serve.
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

    /// Whether the decision fits a configuration with `zone_count` zones. A node with another configuration
    /// may send one that does not fit.
    pub fn is_valid(&self, zone_count: usize) -> bool {
        let consistent = |zone: &ZoneDecision| {
            let out_of_service = zone.state == ZoneState::OutOfService;
            zone.retained <= FULL_PERMILLE && (!out_of_service || zone.retained == 0)
        };
        self.zones.len() == zone_count
            && usize::from(self.zone) < zone_count
            && self.zones.iter().all(consistent)
    }

    /// Generation of the voters that made the decision.
    pub fn generation(&self) -> u64 {
        self.number >> COUNT_BITS
    }

    /// Lowest decision number of a generation.
    pub(crate) fn first_number(generation: u64) -> u64 {
        generation << COUNT_BITS
    }

    /// Whether queries may be routed from zone `from` to zone `to`.
    pub fn allows(&self, from: usize, to: usize) -> bool {
        self.zones[to].retained > 0 && !self.is_path_cut(from, to)
    }

    /// Whether the path from zone `from` to zone `to` is cut by this decision.
    pub(crate) fn is_path_cut(&self, from: usize, to: usize) -> bool {
        self.zones[from].cut_paths & (1 << to) != 0
    }
}

/// An operator's order. Zones are given as indices into the operators' list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorOrder {
    /// Takes a zone out of service until it is returned.
    Drain(u16),
    /// Brings a zone back into service.
    Return(u16),
    /// Stops all load moves except those that operators order.
    Freeze,
    /// Ends a freeze.
    Thaw,
}

//! What is agreed on: one decision a number. Numbers only grow; a new group of voters begins above all that any of them
//! knew of.

use serde::{Deserialize, Serialize};

/// Whole of anything given in thousandths.
pub const FULL_PERMILLE: u16 = 1000;
/// Parts a second where nobody knows how many: held to be enough.
pub const UNKNOWN_CAPACITY: u32 = u32::MAX;

/// What is done with a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ZoneState {
    Serving,
    /// Evidence speaks against it; nothing is moved yet.
    Suspected,
    /// Its load goes elsewhere, in steps.
    Draining,
    OutOfService,
    /// Its load comes back, in steps.
    Returning,
}

/// One zone in a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDecision {
    pub state: ZoneState,
    /// Thousandths of its usual load that it keeps.
    pub retained: u16,
    /// How often its hold-down was doubled.
    pub hold_down_level: u8,
    /// An operator took it out: it stays so until an operator returns it.
    pub drained: bool,
    /// Parts a second that it can carry; `UNKNOWN_CAPACITY` where nobody says.
    pub capacity: u32,
    /// Parts a second that its clients ask.
    pub demand: u32,
    /// Bit `n`: nothing goes from here to zone `n`, the way is cut.
    pub cut_paths: u16,
}

/// Why a decision was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionCause {
    /// A group of voters began.
    GroupFounded,
    Dead,
    CutOff,
    Slow,
    /// Evidence that a place is well.
    Healthy,
    /// The next step of a move that goes on.
    NextStep,
    /// A way between two zones is cut, or whole again.
    PathChanged,
    /// Load or capacity changed by enough to matter.
    LoadChanged,
    /// Calm for long: the hold-down is at its shortest again.
    Calm,
    /// An operator's order.
    Drained,
    Returned,
    Frozen,
    Thawed,
}

impl DecisionCause {
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
            DecisionCause::Calm => "calm",
            DecisionCause::Drained => "drained",
            DecisionCause::Returned => "returned",
            DecisionCause::Frozen => "frozen",
            DecisionCause::Thawed => "thawed",
        }
    }
}

impl ZoneState {
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

/// All that is decided, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The generation of voters in the upper half, the count within it in the lower.
    pub number: u64,
    /// By zone, in the operators' order.
    pub zones: Vec<ZoneDecision>,
    /// Nothing moves but by operators.
    pub frozen: bool,
    pub cause: DecisionCause,
    /// The zone that it is about, by place.
    pub zone: u16,
}

impl Decision {
    /// What stands before anything was decided.
    pub fn initial(zones: usize, number: u64) -> Decision {
        let place = ZoneDecision {
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
            zones: vec![place; zones],
            frozen: false,
            cause: DecisionCause::GroupFounded,
            zone: 0,
        }
    }

    /// Whether it can be acted on with so many zones. Guards against a word of copies that were told of other zones.
    pub fn is_valid(&self, zones: usize) -> bool {
        let whole = |p: &ZoneDecision| {
            p.retained <= FULL_PERMILLE && (p.state != ZoneState::OutOfService || p.retained == 0)
        };
        self.zones.len() == zones && usize::from(self.zone) < zones && self.zones.iter().all(whole)
    }

    pub fn generation(&self) -> u64 {
        self.number >> 32
    }

    /// Whether anything may go from one zone to the other.
    pub fn allows(&self, from: usize, to: usize) -> bool {
        self.zones[to].retained > 0 && self.zones[from].cut_paths & (1 << to) == 0
    }
}

/// An operator's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorOrder {
    Drain(u16),
    Return(u16),
    Freeze,
    Thaw,
}

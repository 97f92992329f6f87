//! What is agreed on: one decision a number. Numbers only grow; a new group of voters begins above all that any of them
//! knew of.

use serde::{Deserialize, Serialize};

/// Whole of anything given in thousandths.
pub const WHOLE: u16 = 1000;
/// Parts a second where nobody knows how many: held to be enough.
pub const UNKNOWN: u32 = u32::MAX;

/// What is done with a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Serving,
    /// Evidence speaks against it; nothing is moved yet.
    Suspected,
    /// Its load goes elsewhere, in steps.
    Leaving,
    Out,
    /// Its load comes back, in steps.
    Returning,
}

/// One zone in a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    pub state: State,
    /// Thousandths of its usual load that it keeps.
    pub kept: u16,
    /// How often its hold-down was doubled.
    pub level: u8,
    /// An operator took it out: it stays so until an operator returns it.
    pub drained: bool,
    /// Parts a second that it can carry; `UNKNOWN` where nobody says.
    pub carries: u32,
    /// Parts a second that its clients ask.
    pub asked: u32,
    /// Bit `n`: nothing goes from here to zone `n`, the way is cut.
    pub cut: u16,
}

/// Why a decision was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// A group of voters began.
    Begun,
    Dead,
    CutOff,
    Slow,
    /// Evidence that a place is well.
    Well,
    /// The next step of a move that goes on.
    Step,
    /// A way between two zones is cut, or whole again.
    Way,
    /// Load or capacity changed by enough to matter.
    Figures,
    /// Calm for long: the hold-down is at its shortest again.
    Calm,
    /// An operator's order.
    Drained,
    Returned,
    Frozen,
    Thawed,
}

impl Cause {
    pub fn name(self) -> &'static str {
        match self {
            Cause::Begun => "begun",
            Cause::Dead => "dead",
            Cause::CutOff => "cut_off",
            Cause::Slow => "slow",
            Cause::Well => "well",
            Cause::Step => "step",
            Cause::Way => "way",
            Cause::Figures => "figures",
            Cause::Calm => "calm",
            Cause::Drained => "drained",
            Cause::Returned => "returned",
            Cause::Frozen => "frozen",
            Cause::Thawed => "thawed",
        }
    }
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Serving => "serving",
            State::Suspected => "suspected",
            State::Leaving => "leaving",
            State::Out => "out",
            State::Returning => "returning",
        }
    }
}

/// All that is decided, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The generation of voters in the upper half, the count within it in the lower.
    pub number: u64,
    /// By zone, in the operators' order.
    pub places: Vec<Place>,
    /// Nothing moves but by operators.
    pub frozen: bool,
    pub cause: Cause,
    /// The zone that it is about, by place.
    pub zone: u16,
}

impl Decision {
    /// What stands before anything was decided.
    pub fn first(zones: usize, number: u64) -> Decision {
        let place = Place {
            state: State::Serving,
            kept: WHOLE,
            level: 0,
            drained: false,
            carries: UNKNOWN,
            asked: 0,
            cut: 0,
        };
        Decision { number, places: vec![place; zones], frozen: false, cause: Cause::Begun, zone: 0 }
    }

    /// Whether it can be acted on with so many zones. Guards against a word of copies that were told of other zones.
    pub fn sound(&self, zones: usize) -> bool {
        let whole = |p: &Place| p.kept <= WHOLE && (p.state != State::Out || p.kept == 0);
        self.places.len() == zones && usize::from(self.zone) < zones && self.places.iter().all(whole)
    }

    pub fn generation(&self) -> u64 {
        self.number >> 32
    }

    /// Whether anything may go from one zone to the other.
    pub fn open(&self, from: usize, to: usize) -> bool {
        self.places[to].kept > 0 && self.places[from].cut & (1 << to) == 0
    }
}

/// An operator's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    Drain(u16),
    Return(u16),
    Freeze,
    Thaw,
}

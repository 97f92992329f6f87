//! Small indices for what the outside names at length. The door that hands them out may use an index again
//! once the module has let go of it (`Port::let_go_*`).

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Query(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Leaf(pub u32);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vertical(pub u16);

/// How a leaf call ended, as told from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Pass,
    Fault,
    NoRoom,
    TooSlow,
    NoRoute,
    Cut,
    Undone,
    Stale,
}

/// What a second run of a part would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    Deduplicated,
    SideEffecting,
}

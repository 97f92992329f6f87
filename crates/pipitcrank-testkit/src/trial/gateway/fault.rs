//! Faults that the gateway trial plays.

/// A fault of the gateway trial; its `Debug` spelling is what a run prints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing fails.
    Calm,
    /// The round trip to the near site rises.
    SlowWay,
    /// Links are broken every few hundred milliseconds.
    Flaps,
    /// The link accepts connections and passes nothing.
    Stalls,
    /// The link passes nothing on the way back.
    StallsBack,
    /// The link is down.
    Cut,
    /// Each new connection is cut after some bytes.
    CutWithin,
    /// The far process is killed and started again.
    Killed,
    /// The far process is shut down gracefully and started again.
    Restarted,
    /// The far process is upgraded.
    Upgraded,
    /// The other far site has the shorter round trip.
    Swapped,
    /// Clients disconnect while their parts are in flight.
    Leavers,
    /// Both sites lack cells, and forward to each other.
    Mutual,
    /// The far site's replicas are all busy.
    FarFull,
    /// Replicas of the far site are dead, and its endpoint list still has them.
    FarStale,
}

/// All faults.
pub(super) const ALL: [Fault; 15] = [
    Fault::Calm,
    Fault::SlowWay,
    Fault::Flaps,
    Fault::Stalls,
    Fault::StallsBack,
    Fault::Cut,
    Fault::CutWithin,
    Fault::Killed,
    Fault::Restarted,
    Fault::Upgraded,
    Fault::Swapped,
    Fault::Leavers,
    Fault::Mutual,
    Fault::FarFull,
    Fault::FarStale,
];

//! Faults of the gateway trial.

/// A fault of the gateway trial. Runs print its `Debug` form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing fails.
    Calm,
    /// The round-trip time to the near site increases.
    SlowWay,
    /// The link is broken every few hundred milliseconds.
    Flaps,
    /// The link accepts connections and passes nothing.
    Stalls,
    /// The link passes nothing in the return direction.
    StallsBack,
    /// The link is down.
    Cut,
    /// Each new connection is cut after some bytes.
    CutWithin,
    /// The far process is killed and restarted.
    Killed,
    /// The far process is shut down gracefully and restarted.
    Restarted,
    /// The far process is upgraded.
    Upgraded,
    /// The other far site has the shorter round-trip time.
    Swapped,
    /// Clients disconnect while their parts are in flight.
    Leavers,
    /// Two sites have busy cells and forward to each other.
    Mutual,
    /// The far site's replicas are all busy.
    FarFull,
    /// Replicas of the far site have died but are still in its endpoint list.
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

//! Faults of the zones trial.

/// A fault of the zones trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Nothing fails.
    Calm,
    /// All replicas of a zone become unreachable and later return in slow start; its members keep running.
    Replicas,
    /// The members of a zone are killed and its replicas become unreachable.
    Zone,
    /// The members of a zone are killed; its replicas keep running.
    Members,
    /// Half of a zone's replicas become unreachable.
    HalfZone,
    /// The replicas of a zone alternate between unreachable and reachable every 1.5 s.
    Flaps,
    /// The members of a zone are partitioned from the other members; its replicas stay reachable for all members.
    Partitioned,
    /// The members of each of two zones can't reach the replicas of the other zone; the third zone reaches both.
    Cut,
    /// The leader is stopped by SIGSTOP for 5 s while a zone is lost, and then continues.
    LeaderStopped,
    /// Two of three voters are killed, a zone is lost, and the voters restart without a store.
    MajorityKilled,
    /// A second zone is lost while routing is moving off the first.
    TwoZones,
    /// The replicas of a zone accept all parts and answer late.
    Slow,
    /// One member is terminated by SIGTERM and another is upgraded while routing moves off a lost zone.
    Restarts,
    /// An operator drains a zone while another is lost, and later returns it to service.
    Drain,
    /// A zone is lost while datagrams between members are dropped, duplicated and delayed.
    Lossy,
    /// One member reaches no replica and reports all zones as unreachable.
    IsolatedMember,
    /// All replicas of a region become unreachable while its gateway links still answer heartbeats.
    Region,
    /// A member receives datagrams that are forged, truncated, replayed, too long or of another version.
    InvalidDatagrams,
}

/// All faults in the order of the enum, with their names in `--only`, figures and messages.
pub const FAULTS: [(Fault, &str); 18] = [
    (Fault::Calm, "Calm"),
    (Fault::Replicas, "Leaves"),
    (Fault::Zone, "Zone"),
    (Fault::Members, "Copies"),
    (Fault::HalfZone, "Half"),
    (Fault::Flaps, "Flaps"),
    (Fault::Partitioned, "Parted"),
    (Fault::Cut, "Cut"),
    (Fault::LeaderStopped, "Leader"),
    (Fault::MajorityKilled, "Majority"),
    (Fault::TwoZones, "Two"),
    (Fault::Slow, "Slow"),
    (Fault::Restarts, "Restarts"),
    (Fault::Drain, "Drain"),
    (Fault::Lossy, "Lossy"),
    (Fault::IsolatedMember, "Sick"),
    (Fault::Region, "Region"),
    (Fault::InvalidDatagrams, "Strangers"),
];

impl Fault {
    /// The name of the fault in `--only`, figures and messages.
    pub fn name(self) -> &'static str {
        FAULTS.iter().find(|(fault, _)| *fault == self).map_or("", |(_, name)| name)
    }
}

//! Faults that the zones trial plays.

/// A fault of the zones trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Nothing fails.
    Calm,
    /// All replicas of a zone become unreachable while its members live; they return in slow start.
    Replicas,
    /// Replicas and members of a zone.
    Zone,
    /// Members of a zone are killed, its replicas live.
    Members,
    /// Half of a zone's replicas.
    HalfZone,
    /// A zone's replicas become unreachable and return every 1.5 s.
    Flaps,
    /// Members of a zone receive nothing from the others; its replicas are healthy for all.
    Partitioned,
    /// Members of one zone do not reach the replicas of another, in both directions; the third zone reaches both.
    Cut,
    /// The leading voter is stopped for 5 s while a zone is lost, and then continues.
    LeaderStopped,
    /// Two of three voters die while a zone is lost, and restart without a store.
    MajorityKilled,
    /// A second zone is lost while the first is half moved.
    TwoZones,
    /// A zone accepts everything and answers late.
    Slow,
    /// One member ends by SIGTERM and another is upgraded while a zone is being left.
    Restarts,
    /// An operator drains a zone while another is lost, and returns it.
    Drain,
    /// A zone is lost while datagrams are dropped, duplicated and delayed.
    Lossy,
    /// One member reaches no replica anywhere, and reports so of all zones.
    IsolatedMember,
    /// A whole region loses its replicas while its links still answer heartbeats.
    Region,
    /// Datagrams that are forged, truncated, replayed, too long, or of another version.
    InvalidDatagrams,
}

/// All faults in the order of the enum, with the names that `--only` takes and that figures and messages print.
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
    /// The name that `--only` takes and that figures and messages print.
    pub fn name(self) -> &'static str {
        FAULTS.iter().find(|(fault, _)| *fault == self).map_or("", |(_, name)| name)
    }
}

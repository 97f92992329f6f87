//! Heartbeats of the other voters.

use std::collections::BTreeMap;

use pipitcrank_core::time::Timestamp;

use super::identity::KnownIncarnation;
use super::timing::HEARTBEAT_LIFETIME;

/// Newest heartbeat of one voter.
pub(super) struct PeerHeartbeat {
    pub(super) received_at: Timestamp,
    pub(super) id: u64,
    /// Generation of the sender's group; 0 without a group.
    pub(super) generation: u64,
    pub(super) has_leader: bool,
    /// Incarnation that the sender has recorded for this process's slot.
    pub(super) recorded: KnownIncarnation,
}

impl PeerHeartbeat {
    pub(super) fn is_recent(&self, now: Timestamp) -> bool {
        now - self.received_at <= HEARTBEAT_LIFETIME
    }
}

/// Newest heartbeat of each other voter, by slot.
#[derive(Default)]
pub(super) struct PeerTable(BTreeMap<usize, PeerHeartbeat>);

impl PeerTable {
    pub(super) fn record(&mut self, slot: usize, heartbeat: PeerHeartbeat) {
        self.0.insert(slot, heartbeat);
    }

    pub(super) fn by_slot(&self) -> impl Iterator<Item = (usize, &PeerHeartbeat)> {
        self.0.iter().map(|(slot, heartbeat)| (*slot, heartbeat))
    }

    pub(super) fn recent(&self, now: Timestamp) -> impl Iterator<Item = &PeerHeartbeat> {
        self.0.values().filter(move |heartbeat| heartbeat.is_recent(now))
    }

    /// Whether the newest heartbeat of a slot is recent and reports no leader.
    pub(super) fn is_leaderless(&self, now: Timestamp, slot: usize) -> bool {
        self.0.get(&slot).is_some_and(|heartbeat| heartbeat.is_recent(now) && !heartbeat.has_leader)
    }
}

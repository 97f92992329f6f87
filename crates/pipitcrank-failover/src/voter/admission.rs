//! Who is admitted to a group of voters.

use pipitcrank_core::time::Timestamp;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};

use super::identity::slot_of;
use super::peers::PeerTable;

/// A process that is no voter of the group yet.
#[derive(Clone, Copy)]
pub(super) struct Newcomer {
    pub(super) slot: usize,
    pub(super) id: u64,
}

/// The first process that can be admitted: heard lately, not excluded, and without a leader elsewhere.
pub(super) fn find_newcomer(
    peers: &PeerTable,
    excluded: &[usize],
    now: Timestamp,
    generation: u64,
    voter_ids: &[u64],
) -> Option<Newcomer> {
    let mut candidates = peers.by_slot().filter(|(slot, _)| !excluded.contains(slot));
    let found = candidates.find(|(_, peer)| {
        // One that knows this group's leader may have been admitted by a change that came to nothing.
        let is_free = !peer.has_leader || peer.generation == generation;
        peer.is_recent(now) && is_free && !voter_ids.contains(&peer.id)
    });
    found.map(|(slot, peer)| Newcomer { slot, id: peer.id })
}

/// Admits the newcomer in place of the voters of its slot.
pub(super) fn replacement(newcomer: Newcomer, voter_ids: &[u64]) -> ConfChangeV2 {
    let single =
        |node_id, change_type| ConfChangeSingle { node_id, change_type, ..ConfChangeSingle::default() };
    let mut change = ConfChangeV2::default();
    change.mut_changes().push(single(newcomer.id, ConfChangeType::AddNode));
    for &replaced in voter_ids.iter().filter(|id| slot_of(**id) == newcomer.slot) {
        change.mut_changes().push(single(replaced, ConfChangeType::RemoveNode));
    }
    change
}

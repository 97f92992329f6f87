//! Admission of processes to a running group of voters.

use pipitcrank_core::time::Timestamp;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};

use super::identity::slot_of;
use super::peers::PeerTable;

/// A process that is not yet a voter of the group.
#[derive(Clone, Copy)]
pub(super) struct JoiningVoter {
    pub(super) slot: usize,
    pub(super) id: u64,
}

/// Returns the first process that can be admitted: it sent a recent heartbeat, is not excluded and has no
/// leader in another group.
pub(super) fn find_joining_voter(
    peers: &PeerTable,
    excluded: &[usize],
    now: Timestamp,
    generation: u64,
    voter_ids: &[u64],
) -> Option<JoiningVoter> {
    let mut candidates = peers.by_slot().filter(|(slot, _)| !excluded.contains(slot));
    let found = candidates.find(|(_, peer)| {
        // A process that follows this group's leader is also eligible: its admission may have been proposed
        // without being applied.
        let is_free = !peer.has_leader || peer.generation == generation;
        peer.is_recent(now) && is_free && !voter_ids.contains(&peer.id)
    });
    found.map(|(slot, peer)| JoiningVoter { slot, id: peer.id })
}

/// Builds the change that admits a process in place of the voters of its slot.
pub(super) fn replacement(joining: JoiningVoter, voter_ids: &[u64]) -> ConfChangeV2 {
    let single =
        |node_id, change_type| ConfChangeSingle { node_id, change_type, ..ConfChangeSingle::default() };
    let mut change = ConfChangeV2::default();
    change.mut_changes().push(single(joining.id, ConfChangeType::AddNode));
    for &replaced in voter_ids.iter().filter(|id| slot_of(**id) == joining.slot) {
        change.mut_changes().push(single(replaced, ConfChangeType::RemoveNode));
    }
    change
}

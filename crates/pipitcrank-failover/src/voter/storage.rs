//! Storage for the Raft library: its log in memory, with the current decision as the snapshot for new or
//! lagging voters.

use std::cell::RefCell;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};

use super::persistent_state::{PersistentGroupState, StoredHardState};
use crate::decision::Decision;

/// Index of the snapshot with which a founded group starts. It is not 0, so that a member that missed the
/// start is sent the snapshot.
const FOUNDING_INDEX: u64 = 1;
const FOUNDING_TERM: u64 = 1;

/// Log with which a voter enters a group.
pub(super) struct GroupLog {
    pub(super) log: MemStorage,
    /// Index of the last applied entry.
    pub(super) applied: u64,
    /// Decision after the last applied entry; `None` until an admitted voter receives one.
    pub(super) decision: Option<Decision>,
}

impl GroupLog {
    /// Log of a voter that is to receive all entries from the leader.
    pub(super) fn empty() -> GroupLog {
        GroupLog { log: MemStorage::new(), applied: 0, decision: None }
    }

    /// Log of a group that starts with these voters.
    pub(super) fn founding(voter_ids: &[u64], initial_decision: Decision) -> Option<GroupLog> {
        let log = MemStorage::new();
        let voters = ConfState { voters: voter_ids.to_vec(), ..ConfState::default() };
        log.wl().apply_snapshot(snapshot(FOUNDING_INDEX, FOUNDING_TERM, voters)).ok()?;
        Some(GroupLog { log, applied: FOUNDING_INDEX, decision: Some(initial_decision) })
    }

    /// Restores the log from persisted state. Returns `None` for inconsistent state, which the library would
    /// treat as an internal error.
    pub(super) fn restore(state: PersistentGroupState, zone_count: usize) -> Option<GroupLog> {
        let PersistentGroupState { applied, decision, voters, hard_state, entries, .. } = state;
        let entries: Vec<Entry> = entries.iter().filter_map(|e| Entry::parse_from_bytes(e).ok()).collect();
        let mut positions = entries.iter().zip(applied.index + 1..);
        let is_contiguous =
            positions.all(|(entry, index)| entry.index == index && entry.term >= applied.term);
        let last = applied.index + entries.len() as u64;
        let decision = decision.filter(|decision| decision.is_valid(zone_count))?;
        if !is_contiguous || applied.index == 0 || !(applied.index..=last).contains(&hard_state.commit) {
            return None;
        }
        let log = MemStorage::new();
        let voters = ConfState::parse_from_bytes(&voters).unwrap_or_default();
        log.wl().apply_snapshot(snapshot(applied.index, applied.term, voters)).ok()?;
        log.wl().append(&entries).ok()?;
        let StoredHardState { term, vote, commit } = hard_state;
        log.wl().set_hardstate(HardState { term, vote, commit, ..HardState::default() });
        Some(GroupLog { log, applied: applied.index, decision: Some(decision) })
    }
}

fn snapshot(index: u64, term: u64, voters: ConfState) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (index, term);
    metadata.set_conf_state(voters);
    snapshot
}

/// The log with the encoded current decision.
pub(super) struct VoterStorage {
    pub(super) log: MemStorage,
    decision: RefCell<Vec<u8>>,
}

impl VoterStorage {
    pub(super) fn new(log: MemStorage, decision: Option<&Decision>) -> VoterStorage {
        let storage = VoterStorage { log, decision: RefCell::default() };
        if let Some(decision) = decision {
            storage.set_decision(decision);
        }
        storage
    }

    pub(super) fn set_decision(&self, decision: &Decision) {
        *self.decision.borrow_mut() = postcard::to_allocvec(decision).unwrap_or_default();
    }
}

impl Storage for VoterStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.log.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.log.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.log.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.log.last_index()
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let mut snapshot = self.log.snapshot(request_index, to)?;
        snapshot.data = self.decision.borrow().clone().into();
        Ok(snapshot)
    }
}

//! Drives the Raft library for one group of voters.

use pipitcrank_core::time::Timestamp;
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, Message, MessageType, Snapshot};
use raft::{GetEntriesContext, RawNode, SnapshotStatus, StateRole, Storage};
use serde::{Deserialize, Serialize};

use super::admission::{JoiningVoter, replacement};
use super::identity::{Placement, slot_of};
use super::message::{AddressedOutput, VoterOutput};
use super::persistent_state::{LogPosition, PersistentGroupState, StoredHardState};
use super::storage::{GroupLog, VoterStorage};
use super::timing::ADMISSION_INTERVAL;
use crate::decision::Decision;

/// Ticks between two heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks without a heartbeat after which the first slot stands for election. They take 0.4 s, so that a dead
/// leader is replaced within the time allowed for moving the load of a zone.
const ELECTION_TICKS: usize = 8;
/// Additional election ticks per slot, so that the slots do not all stand for election at once.
const ELECTION_TICKS_PER_SLOT: usize = 2;
/// Number of entries kept in the log for voters that lag slightly; voters that lag further receive the
/// decision as a snapshot.
const RETAINED_ENTRIES: u64 = 64;
/// Limit on the bytes of entries in one message, so that it fits into a datagram.
const MAX_MESSAGE_BYTES: u64 = 700;
const MAX_INFLIGHT_MESSAGES: usize = 16;

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Proposal {
    /// Number of the decision that the proposal succeeds: the proposal is void if another decision comes
    /// first.
    pub(super) base: u64,
    pub(super) decision: Decision,
}

/// Effects of processing the library's pending work.
#[derive(Default)]
pub(super) struct GroupEffects {
    pub(super) state_changed: bool,
    /// Number of storage errors.
    pub(super) discarded: u64,
    pub(super) decided: Vec<Decision>,
    pub(super) outputs: Vec<AddressedOutput>,
}

/// One voter's view of its group.
pub(super) struct RaftGroup {
    placement: Placement,
    generation: u64,
    id: u64,
    node: RawNode<VoterStorage>,
    decision: Option<Decision>,
    last_admission: Timestamp,
}

/// Decodes a Raft message to the voter `id`; returns `None` for any other bytes.
pub(super) fn decode(bytes: &[u8], id: u64) -> Option<Message> {
    let message = Message::parse_from_bytes(bytes).ok()?;
    let is_local = raft::raw_node::is_local_msg(message.msg_type);
    (message.to == id && !is_local).then_some(message)
}

impl RaftGroup {
    pub(super) fn new(
        now: Timestamp,
        generation: u64,
        id: u64,
        placement: Placement,
        log: GroupLog,
    ) -> raft::Result<RaftGroup> {
        let GroupLog { log, applied, decision } = log;
        let election_ticks = ELECTION_TICKS + ELECTION_TICKS_PER_SLOT * placement.slot;
        let config = raft::Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            min_election_tick: election_ticks,
            max_election_tick: election_ticks + 1,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, VoterStorage::new(log, decision.as_ref()), &logger)?;
        Ok(RaftGroup { placement, generation, id, node, decision, last_admission: now })
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Current decision; `None` until an admitted voter receives one.
    pub(super) fn decision(&self) -> Option<&Decision> {
        self.decision.as_ref()
    }

    pub(super) fn term(&self) -> u64 {
        self.node.raft.term
    }

    pub(super) fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    pub(super) fn leader_id(&self) -> Option<u64> {
        let leader = self.node.raft.leader_id;
        (leader != raft::INVALID_ID).then_some(leader)
    }

    /// Whether this process is among the voters.
    pub(super) fn is_member(&self) -> bool {
        self.node.raft.prs().conf().voters().ids().contains(self.id)
    }

    pub(super) fn voter_ids(&self) -> Vec<u64> {
        self.node.raft.prs().conf().voters().ids().iter().collect()
    }

    /// Whether this voter leads and has applied an entry of its own term: then no other voter holds a newer
    /// decision.
    pub(super) fn leads_with_own_entry(&self) -> bool {
        let log = &self.node.raft.raft_log;
        self.is_leader() && log.term(log.applied) == Ok(self.term())
    }

    /// Returns the state to persist; `None` if the log cannot be read. Until an admitted voter receives a
    /// decision, only its term and vote matter.
    pub(super) fn persistent_state(&self) -> Option<PersistentGroupState> {
        let (storage, log) = (self.node.store(), &self.node.raft.raft_log);
        let applied = log.applied;
        let last = storage.last_index().ok()?;
        let entries = if last > applied {
            storage.entries(applied + 1, last + 1, None, GetEntriesContext::empty(false)).ok()?
        } else {
            Vec::new()
        };
        let hard_state = storage.initial_state().ok()?.hard_state;
        Some(PersistentGroupState {
            generation: self.generation,
            applied: LogPosition { index: applied, term: log.term(applied).ok()? },
            decision: self.decision.clone(),
            voters: self.node.raft.prs().conf().to_conf_state().write_to_bytes().ok()?,
            hard_state: StoredHardState {
                term: hard_state.term,
                vote: hard_state.vote,
                commit: hard_state.commit.max(applied),
            },
            entries: entries.iter().map(|entry| entry.write_to_bytes().ok()).collect::<Option<_>>()?,
        })
    }

    pub(super) fn tick(&mut self) {
        self.node.tick();
    }

    pub(super) fn step(&mut self, message: Message) -> raft::Result<()> {
        self.node.step(message)
    }

    /// Whether the leader considers entries as committed that this voter does not have.
    pub(super) fn lacks_committed_entries(&self, message: &Message) -> bool {
        message.msg_type == MessageType::MsgHeartbeat && message.commit > self.node.raft.raft_log.last_index()
    }

    /// Proposes a decision; returns whether it was passed to the library.
    pub(super) fn propose(&mut self, base: u64, decision: Decision) -> bool {
        let Ok(bytes) = postcard::to_allocvec(&Proposal { base, decision }) else { return false };
        let _ = self.node.propose(Vec::new(), bytes);
        true
    }

    /// Whether this voter leads and all earlier changes of the group are complete.
    pub(super) fn can_admit(&self, now: Timestamp) -> bool {
        let raft = &self.node.raft;
        self.is_leader()
            && now - self.last_admission >= ADMISSION_INTERVAL
            && !raft.has_pending_conf()
            && raft.raft_log.applied == raft.raft_log.committed
    }

    /// Proposes to admit a process in place of the voters of its slot.
    pub(super) fn admit(&mut self, now: Timestamp, joining: JoiningVoter, voter_ids: &[u64]) {
        self.last_admission = now;
        let _ = self.node.propose_conf_change(Vec::new(), replacement(joining, voter_ids));
    }

    /// Processes the library's pending work until none is left.
    pub(super) fn process_ready(&mut self) -> GroupEffects {
        let mut effects = GroupEffects::default();
        while self.node.has_ready() {
            self.process_one_ready(&mut effects);
        }
        self.compact_log();
        effects
    }

    fn process_one_ready(&mut self, effects: &mut GroupEffects) {
        let mut ready = self.node.ready();
        effects.state_changed |=
            ready.hs().is_some() || !ready.entries().is_empty() || !ready.snapshot().is_empty();
        let mut messages = ready.take_messages();
        if !ready.snapshot().is_empty() {
            self.apply_snapshot(ready.snapshot().clone(), effects);
        }
        self.apply_entries(ready.take_committed_entries(), effects);
        let log = &self.node.store().log;
        if !ready.entries().is_empty() && log.wl().append(ready.entries()).is_err() {
            effects.discarded += 1;
        }
        if let Some(hard_state) = ready.hs() {
            log.wl().set_hardstate(hard_state.clone());
        }
        messages.extend(ready.take_persisted_messages());
        let mut light_ready = self.node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            self.node.store().log.wl().mut_hard_state().set_commit(commit);
        }
        messages.extend(light_ready.take_messages());
        self.apply_entries(light_ready.take_committed_entries(), effects);
        self.node.advance_apply();
        for message in messages {
            self.send(&message, effects);
        }
    }

    fn apply_snapshot(&mut self, snapshot: Snapshot, effects: &mut GroupEffects) {
        let decision = postcard::from_bytes::<Decision>(&snapshot.data);
        if self.node.store().log.wl().apply_snapshot(snapshot).is_err() {
            effects.discarded += 1;
        }
        if let Ok(decision) = decision
            && decision.is_valid(self.placement.zone_count)
        {
            self.set_decision(decision, effects);
        }
    }

    fn apply_entries(&mut self, entries: Vec<Entry>, effects: &mut GroupEffects) {
        for entry in entries {
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.apply_proposal(&entry.data, effects),
                EntryType::EntryConfChangeV2 => self.apply_voter_change(&entry.data),
                EntryType::EntryConfChange => {}
            }
        }
    }

    /// Each number has one decision: every voter discards a proposal that does not succeed the current
    /// decision.
    fn apply_proposal(&mut self, data: &[u8], effects: &mut GroupEffects) {
        let Ok(Proposal { base, mut decision }) = postcard::from_bytes(data) else { return };
        let Some(current) = &self.decision else { return };
        if base != current.number || !decision.is_valid(self.placement.zone_count) {
            return;
        }
        decision.number = current.number + 1;
        self.set_decision(decision, effects);
    }

    fn apply_voter_change(&mut self, data: &[u8]) {
        let mut change = ConfChangeV2::default();
        if change.merge_from_bytes(data).is_ok()
            && let Ok(voters) = self.node.apply_conf_change(&change)
        {
            self.node.store().log.wl().set_conf_state(voters);
        }
    }

    fn set_decision(&mut self, decision: Decision, effects: &mut GroupEffects) {
        self.node.store().set_decision(&decision);
        self.decision = Some(decision.clone());
        effects.decided.push(decision);
    }

    fn send(&mut self, message: &Message, effects: &mut GroupEffects) {
        if message.msg_type == MessageType::MsgSnapshot {
            // A snapshot is one datagram; the next heartbeat shows whether it arrived.
            self.node.report_snapshot(message.to, SnapshotStatus::Finish);
        }
        let slot = slot_of(message.to.max(1));
        let is_other = slot < self.placement.slot_count && slot != self.placement.slot;
        if is_other && let Ok(bytes) = message.write_to_bytes() {
            let output = VoterOutput::Raft { generation: self.generation, bytes };
            effects.outputs.push(AddressedOutput { slot, output });
        }
    }

    fn compact_log(&mut self) {
        let log = &self.node.store().log;
        let applied = self.node.raft.raft_log.applied;
        if let Ok(first) = log.first_index()
            && applied > first + 2 * RETAINED_ENTRIES
        {
            let _ = log.wl().compact(applied - RETAINED_ENTRIES);
        }
    }
}

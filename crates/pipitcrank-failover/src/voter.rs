//! A voter: one of a few processes, spread over the zones, that agree on one decision per number by Raft
//! (`raft`). Voters treat the content of decisions as opaque. The Raft library leaves open who belongs to the
//! group when processes start without persisted state; `founding.rs` and `admission.rs` determine that.
//!
//! | file | contents |
//! | --- | --- |
//! | `message.rs` | messages between voters |
//! | `outbox.rs` | outputs that wait to be sent |
//! | `identity.rs` | ids and incarnations of voters |
//! | `persistent_state.rs` | state that a voter has to persist |
//! | `peers.rs` | heartbeats of the other voters |
//! | `founding.rs` | participants of a new generation, and the steps to start it |
//! | `admission.rs` | admission of processes to a running group |
//! | `storage.rs` | log and snapshots of the Raft library |
//! | `raft_group.rs` | driver of the Raft library |
//! | `timing.rs` | intervals and lifetimes |

mod admission;
mod founding;
mod identity;
mod message;
mod outbox;
mod peers;
mod persistent_state;
mod raft_group;
mod storage;
mod timing;

use pipitcrank_core::time::Timestamp;

use self::admission::find_joining_voter;
use self::founding::{Electorate, Founding, KnownHistory, OwnPromise, capped_generation, next_generation};
pub use self::identity::{Incarnation, KnownIncarnation};
use self::identity::{IncarnationTable, Placement, VoterIdentity, slot_of};
pub use self::message::{AddressedOutput, NewGroup, Promise, VoterHeartbeat, VoterMessage, VoterOutput};
use self::outbox::Outbox;
use self::peers::{PeerHeartbeat, PeerTable};
use self::persistent_state::PersistentGroupState;
pub use self::persistent_state::PersistentVoterState;
use self::raft_group::{GroupEffects, RaftGroup};
use self::storage::GroupLog;
use self::timing::{FOUNDING_DELAY, HEARTBEAT_INTERVAL, PROMISE_DELAY, TICK};
use crate::decision::Decision;

/// Largest number of voters; more of them make agreement slower, not safer.
pub const MAX_VOTERS: usize = 7;

/// State of one voter.
pub struct Voter {
    placement: Placement,
    identity: VoterIdentity,
    state_changed: bool,
    /// Withholds the restored decision until this voter leads a majority that holds no newer one.
    restored_decision_pending: bool,
    known_incarnations: IncarnationTable,
    electorate: Electorate,
    group: Option<RaftGroup>,
    promise: Option<OwnPromise>,
    founding: Option<Founding>,
    peers: PeerTable,
    history: KnownHistory,
    ticked_at: Timestamp,
    heartbeat_at: Timestamp,
    leader_seen_at: Timestamp,
    decided: Vec<Decision>,
    outbox: Outbox,
    /// Number of Raft messages that could not be decoded or were not meant for this process's group, plus
    /// errors of the library.
    pub discarded_messages: u64,
}

impl Voter {
    /// Creates the voter of `slot` out of `slot_count` slots. `instance` distinguishes this process from
    /// earlier ones in the same slot.
    ///
    /// # Panics
    /// If `slot >= slot_count` or `slot_count >` [`MAX_VOTERS`]; the operators' file is checked for both.
    pub fn new(now: Timestamp, slot: usize, slot_count: usize, zone_count: usize, instance: u64) -> Voter {
        assert!(slot < slot_count && slot_count <= MAX_VOTERS, "voter slot or number of slots out of range");
        Voter {
            placement: Placement { slot, slot_count, zone_count },
            identity: VoterIdentity::new(slot, instance),
            state_changed: false,
            restored_decision_pending: false,
            known_incarnations: IncarnationTable::new(slot_count),
            electorate: Electorate::new(slot, slot_count),
            group: None,
            promise: None,
            founding: None,
            peers: PeerTable::default(),
            history: KnownHistory::default(),
            ticked_at: now,
            heartbeat_at: now - HEARTBEAT_INTERVAL,
            leader_seen_at: now,
            decided: Vec::new(),
            outbox: Outbox::new(slot, slot_count),
            discarded_messages: 0,
        }
    }

    /// Restores the persisted state of an earlier process in this slot. State of another slot, or
    /// inconsistent state, is ignored.
    pub fn restore(&mut self, now: Timestamp, state: PersistentVoterState) {
        if !state.fits(self.placement.slot, self.placement.slot_count) {
            return;
        }
        self.history.observe_generation(state.highest_generation);
        self.identity.restore(state.instance, state.abandoned_ids, state.incarnation_count);
        self.known_incarnations = IncarnationTable::from(state.known_incarnations);
        self.state_changed = true;
        if state.has_promised {
            // The promise under this id may still count for the founder, so another id is needed.
            self.identity.abandon_id();
        } else if let Some(group) = state.group {
            self.identity.is_unconfirmed = true;
            self.restore_group(now, group);
        }
    }

    fn restore_group(&mut self, now: Timestamp, state: PersistentGroupState) {
        let generation = state.generation;
        match GroupLog::restore(state, self.placement.zone_count) {
            Some(log) => {
                self.enter_group(now, generation, log);
                self.restored_decision_pending = true;
            }
            None => self.abandon_group(),
        }
    }

    /// Abandons the group and the id for good: the persisted state does not cover everything promised under
    /// that id.
    fn abandon_group(&mut self) {
        self.group = None;
        self.identity.leave_group();
        self.state_changed = true;
    }

    /// Returns the state to persist if it has changed since the last call. Outputs produced since then may be
    /// sent only after the state is persisted.
    pub fn take_persistent_state(&mut self) -> Option<PersistentVoterState> {
        if !std::mem::take(&mut self.state_changed) {
            return None;
        }
        Some(PersistentVoterState {
            slot: self.placement.slot,
            instance: self.identity.instance,
            abandoned_ids: self.identity.abandoned_ids,
            incarnation_count: self.identity.incarnation.count,
            highest_generation: self.history.highest_generation,
            has_promised: self.promise.is_some(),
            known_incarnations: self.known_incarnations.by_slot(),
            group: self.group.as_ref().and_then(RaftGroup::persistent_state),
        })
    }

    /// Whether `take_persistent_state` would return a state.
    pub fn has_changed(&self) -> bool {
        self.state_changed
    }

    /// Reports the restored decision once this voter leads in a term of its own. Otherwise voters that all
    /// restart with persisted state would wait for each other.
    fn report_restored_decision(&mut self) {
        let Some(group) = self.group.as_ref().filter(|_| self.restored_decision_pending) else { return };
        if group.leads_with_own_entry() {
            self.restored_decision_pending = false;
            self.decided.extend(group.decision().cloned());
        }
    }

    /// Checks whether a majority has recorded this incarnation, or whether a later incarnation of this id
    /// exists.
    fn confirm_incarnation(&mut self, now: Timestamp) {
        let recorded: Vec<KnownIncarnation> = self.peers.recent(now).map(|peer| peer.recorded).collect();
        if self.identity.is_superseded(&recorded) {
            self.abandon_group();
        } else {
            self.identity.confirm(&recorded, self.placement.slot_count);
        }
    }

    /// Time at which `tick` is due.
    pub fn next_deadline(&self) -> Timestamp {
        (self.ticked_at + TICK).min(self.heartbeat_at + HEARTBEAT_INTERVAL)
    }

    /// Runs everything that is due: Raft ticks, heartbeats and the founding of a group.
    pub fn tick(&mut self, now: Timestamp) {
        if now - self.ticked_at >= TICK {
            self.tick_raft(now);
        }
        if self.has_leader() {
            self.leader_seen_at = now;
        }
        self.report_restored_decision();
        if self.promise.is_some_and(|promise| promise.has_expired(now)) {
            // The promise under this id may still count for the founder, so another id is needed.
            self.promise = None;
            self.identity.abandon_id();
            self.state_changed = true;
        }
        if now - self.heartbeat_at >= HEARTBEAT_INTERVAL {
            self.heartbeat_at = now;
            self.send_heartbeat();
            self.found_group(now);
        }
        self.admit_joining_voter(now);
    }

    fn tick_raft(&mut self, now: Timestamp) {
        // A late call counts as one tick: after a suspension, the process must not count its own pause as
        // silence of the others.
        self.ticked_at = now;
        self.outbox.drop_excess();
        self.confirm_incarnation(now);
        if let Some(group) = self.group.as_mut().filter(|_| !self.identity.is_unconfirmed) {
            group.tick();
        }
        self.process_ready();
    }

    fn send_heartbeat(&mut self) {
        self.outbox.send_to_all(VoterMessage::Heartbeat(VoterHeartbeat {
            id: self.identity.id(),
            generation: self.generation(),
            has_leader: self.has_leader(),
            highest_generation: self.history.highest_generation,
            incarnation: self.identity.incarnation,
            known_incarnations: self.known_incarnations.by_slot(),
        }));
    }

    /// Records a decision that this node follows; a new generation continues from the newest one.
    pub fn observe_decision(&mut self, decision: &Decision) {
        self.history.observe_decision(decision);
    }

    /// Excludes slots, so that a new generation is founded without them. The excluded slots must be dead for
    /// good: an excluded voter that is still alive could form a majority with others.
    pub fn exclude_voters(&mut self, slots: Vec<usize>) {
        self.electorate.excluded = slots;
    }

    /// The first participating slot founds a new generation after a long time without a leader.
    fn found_group(&mut self, now: Timestamp) {
        if !self.electorate.is_founder() || now - self.leader_seen_at < FOUNDING_DELAY {
            self.founding = None;
            return;
        }
        if let Some(founding) = &self.founding {
            if !founding.has_expired(now) {
                return self.outbox.send_to_all(founding.message());
            }
            self.founding = None;
        }
        if self.electorate.others_are_leaderless(now, &self.peers) {
            self.start_founding(now);
        }
    }

    fn start_founding(&mut self, now: Timestamp) {
        let generation = next_generation(self.history.highest_generation, self.identity.incarnation);
        self.history.highest_generation = generation;
        self.leave_group_for(now, generation, self.placement.slot);
        self.founding = Some(Founding::new(now, self.placement.slot, self.promise_to(generation)));
        self.outbox.send_to_all(VoterMessage::RequestPromise { generation });
        self.start_group_if_complete(now);
    }

    fn promise_to(&self, generation: u64) -> Promise {
        Promise { generation, id: self.identity.id(), known_decision: self.history.decision.clone() }
    }

    /// Leaves the group for good and promises to join the new generation.
    fn leave_group_for(&mut self, now: Timestamp, generation: u64, founder: usize) {
        if self.group.take().is_some() || self.promise.is_some() {
            self.identity.leave_group();
        }
        self.promise = Some(OwnPromise { generation, founder, promised_at: now });
        self.state_changed = true;
    }

    fn start_group_if_complete(&mut self, now: Timestamp) {
        let participants: Vec<usize> = self.electorate.participants().collect();
        let Some(founding) = &mut self.founding else { return };
        let Some(group) = founding.complete(&participants, self.placement.zone_count) else { return };
        self.outbox.send_to_all(founding.message());
        self.join_new_group(now, group);
    }

    fn join_new_group(&mut self, now: Timestamp, group: NewGroup) {
        self.promise = None;
        if let Some(log) = GroupLog::founding(&group.voter_ids, group.initial_decision.clone()) {
            self.decided.push(group.initial_decision);
            self.enter_group(now, group.generation, log);
        }
    }

    fn enter_group(&mut self, now: Timestamp, generation: u64, log: GroupLog) {
        match RaftGroup::new(now, generation, self.identity.id(), self.placement, log) {
            Ok(group) => {
                self.history.observe_generation(generation);
                self.leader_seen_at = now;
                self.state_changed = true;
                self.group = Some(group);
            }
            Err(_) => self.discarded_messages += 1,
        }
    }

    /// On the leader: admits the new process of a slot in place of its old one.
    fn admit_joining_voter(&mut self, now: Timestamp) {
        let Some(group) = self.group.as_mut().filter(|group| group.can_admit(now)) else { return };
        let voter_ids = group.voter_ids();
        let Some(joining) =
            find_joining_voter(&self.peers, &self.electorate.excluded, now, group.generation(), &voter_ids)
        else {
            return;
        };
        group.admit(now, joining, &voter_ids);
        self.process_ready();
    }

    /// Handles a message from the voter in `slot`.
    pub fn handle_message(&mut self, now: Timestamp, slot: usize, message: VoterMessage) {
        if slot >= self.placement.slot_count || slot == self.placement.slot {
            return;
        }
        match message {
            VoterMessage::Heartbeat(heartbeat) => self.handle_heartbeat(now, slot, heartbeat),
            VoterMessage::RequestPromise { generation } => self.handle_promise_request(now, slot, generation),
            VoterMessage::Promise(promise) => self.handle_promise(now, slot, promise),
            VoterMessage::StartGroup(group) => self.handle_start_group(now, slot, group),
        }
    }

    fn handle_heartbeat(&mut self, now: Timestamp, slot: usize, heartbeat: VoterHeartbeat) {
        let VoterHeartbeat { id, generation, has_leader, .. } = heartbeat;
        let is_complete = heartbeat.known_incarnations.len() == self.placement.slot_count;
        if slot_of(id.max(1)) != slot || !is_complete {
            return;
        }
        let announced = KnownIncarnation { id, incarnation: heartbeat.incarnation };
        self.state_changed |= self.known_incarnations.record(slot, announced);
        let capped = capped_generation(heartbeat.highest_generation);
        self.history.observe_generation(capped);
        let recorded = heartbeat.known_incarnations[self.placement.slot];
        self.peers.record(slot, PeerHeartbeat { received_at: now, id, generation, has_leader, recorded });
    }

    fn handle_promise_request(&mut self, now: Timestamp, founder: usize, generation: u64) {
        let leaderless = !self.has_leader() && now - self.leader_seen_at >= PROMISE_DELAY;
        if !leaderless || generation <= self.generation() {
            return;
        }
        // One promise must not count for two founders that exclude each other.
        match self.promise {
            Some(promise) if promise.is_to(generation, founder) => {}
            Some(promise) if promise.generation >= generation => return,
            _ => self.leave_group_for(now, generation, founder),
        }
        self.history.observe_generation(generation);
        self.outbox.send(founder, VoterMessage::Promise(self.promise_to(generation)));
    }

    fn handle_promise(&mut self, now: Timestamp, slot: usize, mut promise: Promise) {
        promise.known_decision = promise.known_decision.filter(|d| d.is_valid(self.placement.zone_count));
        if let Some(founding) = &mut self.founding
            && founding.awaits_promises(promise.generation)
            && slot_of(promise.id.max(1)) == slot
        {
            founding.record(slot, promise);
            self.start_group_if_complete(now);
        }
    }

    fn handle_start_group(&mut self, now: Timestamp, founder: usize, group: NewGroup) {
        let is_member = group.voter_ids.contains(&self.identity.id())
            && group.voter_ids.len() <= self.placement.slot_count;
        let has_promised = self.promise.is_some_and(|promise| promise.is_to(group.generation, founder));
        if has_promised && is_member && group.initial_decision.is_valid(self.placement.zone_count) {
            self.join_new_group(now, group);
        }
    }

    /// Handles a message of the Raft library.
    pub fn handle_raft(&mut self, now: Timestamp, generation: u64, bytes: &[u8]) {
        let message = raft_group::decode(bytes, self.identity.id());
        // Messages are ignored while a promise binds this process, or while its incarnation is unconfirmed:
        // they may be meant for an earlier process.
        let Some(message) = message.filter(|_| self.promise.is_none() && !self.identity.is_unconfirmed)
        else {
            self.discarded_messages += 1;
            return;
        };
        if self.group.is_none() {
            self.enter_group(now, generation, GroupLog::empty());
        }
        let Some(group) = self.group.as_mut().filter(|group| group.generation() == generation) else {
            self.discarded_messages += 1;
            return;
        };
        // The local state is older than the state that was persisted under this id. The library would panic
        // on this message.
        if group.lacks_committed_entries(&message) {
            return self.abandon_group();
        }
        if group.step(message).is_err() {
            self.discarded_messages += 1;
        }
        self.process_ready();
        if self.has_leader() {
            self.leader_seen_at = now;
        }
    }

    /// Proposes a decision to the voters as the successor of decision `base`. The proposal may be lost or
    /// become void.
    pub fn propose(&mut self, base: u64, decision: Decision) {
        if let Some(group) = &mut self.group
            && group.propose(base, decision)
        {
            self.process_ready();
        }
    }

    /// Processes the pending work of the Raft library.
    fn process_ready(&mut self) {
        let Some(group) = &mut self.group else { return };
        let GroupEffects { state_changed, discarded, decided, outputs } = group.process_ready();
        self.state_changed |= state_changed;
        self.discarded_messages += discarded;
        self.decided.extend(decided);
        self.outbox.extend(outputs);
    }

    /// Returns the outputs for other voters.
    pub fn take_outputs(&mut self) -> Vec<AddressedOutput> {
        self.outbox.take()
    }

    /// Returns the decisions made since the last call, in order.
    pub fn take_decided(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decided)
    }

    /// Newest decision that this voter has applied.
    pub fn decision(&self) -> Option<&Decision> {
        self.group.as_ref()?.decision()
    }

    /// Whether this voter leads its group.
    pub fn is_leader(&self) -> bool {
        self.group.as_ref().is_some_and(RaftGroup::is_leader)
    }

    /// Whether the group has a leader known to this voter.
    pub fn has_leader(&self) -> bool {
        self.group.as_ref().is_some_and(|group| group.leader_id().is_some())
    }

    /// Slot of the leader.
    pub fn leader(&self) -> Option<usize> {
        self.group.as_ref()?.leader_id().map(slot_of)
    }

    /// Raft term; 0 without a group.
    pub fn term(&self) -> u64 {
        self.group.as_ref().map_or(0, RaftGroup::term)
    }

    /// Generation of the group; 0 without a group.
    pub fn generation(&self) -> u64 {
        self.group.as_ref().map_or(0, RaftGroup::generation)
    }

    /// Id of this process among the voters.
    pub fn own_id(&self) -> u64 {
        self.identity.id()
    }

    /// Whether a majority has yet to record this incarnation.
    pub fn is_unconfirmed(&self) -> bool {
        self.identity.is_unconfirmed
    }

    /// Whether this process is a voter of its group.
    pub fn is_voter(&self) -> bool {
        self.group.as_ref().is_some_and(RaftGroup::is_member)
    }

    /// Number of voters with a recent heartbeat, this one included.
    pub fn reachable_voters(&self, now: Timestamp) -> usize {
        1 + self.peers.recent(now).count()
    }
}

#[cfg(test)]
mod stored_forms;

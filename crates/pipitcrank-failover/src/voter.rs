//! The adapter round the agreement's library (`raft`): few voters, each at a seat of the operators' list, agree on one
//! decision a number. Nothing is decided here of zones. What the library replicas open stands here: who belongs to the
//! voters when processes begin without memory.
//!
//! A process that was handed no `VoterMemory` must never vote as if it remembered. Each has an id of its own, made of its seat
//! and its start, and leaves it for good when it leaves a group. One that was handed what a process before it wrote down
//! goes on under that id, once a majority has written down that it is a later run of it: so a copy of an older day that
//! somebody put back is told apart by any majority, and comes back as one without memory.
//!
//! ```text
//! a Memory of a group, its run noted by a majority                --> votes on as before
//! a Memory of a group, a later run of that id known to anybody    --> leaves it for good, as one without memory
//! no group, all seats heard, none knows a leader for FOUND_AFTER --> the first seat asks all to found a new generation
//! asked to found a generation above any known, no leader known   --> leaves its group for good, promises
//! promises of all seats                                           --> the first seat has all begin, above all numbers known
//! no group, a group of others has a leader                        --> that leader admits the new id and lets go of the old
//! told by an operator that a seat stays away                      --> the same, and the promises of all others suffice
//! ```
//!
//! Founding takes all seats, so no two generations can both have a majority that acts; admitting takes a majority of the
//! group as it was. With fewer, nothing is decided: copies hold what stands, then go by their own evidence (`follower.rs`).

use std::cell::RefCell;
use std::collections::BTreeMap;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, HardState, Message,
    MessageType, Snapshot,
};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, RawNode, SnapshotStatus, StateRole, Storage};
use serde::{Deserialize, Serialize};

use crate::decision::Decision;

/// One tick of the library. Heartbeats come each `HEARTBEATS` of them; a voter that hears none for `ELECTION` and two more
/// a seat asks to lead: 0.4 s for the first, so that a leader that is gone is replaced within the aim for moving a zone,
/// and seats do not ask in step.
const TICK: TimeSpan = TimeSpan::from_millis(50);
const HEARTBEATS: usize = 2;
const ELECTION: usize = 8;
const SEAT_TICKS: usize = 2;
/// Voters greet each other so often; a greeting is good for so long.
const GREET: TimeSpan = TimeSpan::from_millis(200);
const HEARD: TimeSpan = TimeSpan::from_millis(900);
/// Without a leader for so long, with all seats heard, a new generation is founded: some elections would have been held.
const FOUND_AFTER: TimeSpan = TimeSpan::from_millis(2500);
/// A promise to found is kept for so long.
const PROMISED: TimeSpan = TimeSpan::from_millis(3000);
/// Between two admissions: the first has to be through.
const ADMIT: TimeSpan = TimeSpan::from_millis(500);
/// Entries kept for voters that lag a little; others get the decision whole.
const KEPT: u64 = 64;
/// Of entries in one message, so that it fits a datagram.
const MOST_BYTES: u64 = 700;
/// Messages that wait to go out, at most: some seconds' worth.
const MOST_OUT: usize = 512;
/// Most voters: more make agreement slower, not safer.
pub const MOST_SEATS: usize = 7;

/// What voters say to each other beside the library's messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum VoterMessage {
    Hello {
        id: u64,
        /// Its group's; 0 without one.
        generation: u64,
        /// Whether it knows of a leader.
        led: bool,
        /// Highest generation it ever heard of.
        highest: u64,
        /// Of its id, which process in turn goes by it, and when that one was started.
        run: (u64, u64),
        /// What it has written down of the others, by seat: their id and its run.
        runs: Vec<(u64, (u64, u64))>,
    },
    Found {
        generation: u64,
    },
    Joins {
        generation: u64,
        id: u64,
        known: Option<Decision>,
    },
    Begin {
        generation: u64,
        /// In the order of their seats.
        ids: Vec<u64>,
        first: Decision,
    },
}

/// What goes to another seat.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterOutput {
    /// The library's own message, of that generation.
    Raft(u64, Vec<u8>),
    Message(VoterMessage),
}

#[derive(Debug, Serialize, Deserialize)]
struct Proposal {
    /// The decision it was made from: another in between voids it.
    base: u64,
    decision: Decision,
}

/// The library's memory, with the decision beside it for voters that lag or are new.
struct Store {
    log: MemStorage,
    decision: RefCell<Vec<u8>>,
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.log.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.log.entries(low, high, most, context)
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

    fn snapshot(&self, index: u64, to: u64) -> raft::Result<Snapshot> {
        let mut snapshot = self.log.snapshot(index, to)?;
        snapshot.data = self.decision.borrow().clone().into();
        Ok(snapshot)
    }
}

/// What a voter must not forget: to be kept where no crash takes it, before anything that was said after it goes out.
/// Good for the same seat alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterMemory {
    seat: usize,
    /// What its id is made of.
    instance: u64,
    left: u64,
    run: u64,
    highest: u64,
    promised: bool,
    runs: Vec<(u64, (u64, u64))>,
    group: Option<GroupMemory>,
}

impl VoterMemory {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// What was encoded, if it can be read whole.
    pub fn decode(bytes: &[u8]) -> Option<VoterMemory> {
        let (memory, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(memory)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct GroupMemory {
    generation: u64,
    /// Index and term of what is decided, the decision, and who votes.
    at: (u64, u64),
    decision: Option<Decision>,
    /// In the library's form.
    voters: Vec<u8>,
    /// Term, vote, index committed.
    hard: (u64, u64, u64),
    /// In the library's form: what came after.
    entries: Vec<Vec<u8>>,
}

struct Group {
    generation: u64,
    id: u64,
    node: RawNode<Store>,
    /// None until a member that was admitted has heard what stands.
    decision: Option<Decision>,
    admitted_at: Timestamp,
}

struct Heard {
    at: Timestamp,
    id: u64,
    generation: u64,
    led: bool,
    /// That it has noted of this process's seat.
    noted: (u64, (u64, u64)),
}

struct Founding {
    generation: u64,
    since: Timestamp,
    /// Ids that promised, by seat.
    promises: BTreeMap<usize, (u64, Option<Decision>)>,
    begun: Option<(Vec<u64>, Decision)>,
}

pub struct Voter {
    seat: usize,
    seats: usize,
    zones: usize,
    /// Of this process, and how often it left a group.
    instance: u64,
    left: u64,
    /// Which process in turn goes by its id, and its own start.
    run: (u64, u64),
    /// Goes by a memory that no majority has noted its run of yet: neither votes nor asks to lead.
    unproven: bool,
    /// Something to be kept has changed.
    changed: bool,
    /// What its memory says was decided is not said until it leads a majority that holds nothing newer.
    unsaid: bool,
    /// By seat: the latest run of its newest id.
    runs: Vec<(u64, (u64, u64))>,
    /// Seats that the operators say stay away.
    without: Vec<usize>,
    group: Option<Group>,
    /// The generation, the seat that founds it, and when that was promised.
    promised: Option<(u64, usize, Timestamp)>,
    founding: Option<Founding>,
    heard: BTreeMap<usize, Heard>,
    highest: u64,
    /// What this copy follows: what a new generation goes on from.
    known: Option<Decision>,
    ticked: Timestamp,
    greeted: Timestamp,
    led_at: Timestamp,
    decided: Vec<Decision>,
    out: Vec<(usize, VoterOutput)>,
    /// Messages of the library that could not be read or were not meant for this process's group.
    pub discarded_messages: u64,
}

fn seat_of(id: u64) -> usize {
    (id & 0xff) as usize - 1
}

impl Voter {
    /// `seat` of so many; `instance` tells this process apart from any before at that seat.
    pub fn new(now: Timestamp, seat: usize, seats: usize, zones: usize, instance: u64) -> Voter {
        assert!(seat < seats && seats <= MOST_SEATS, "the operators' file is checked for this");
        Voter {
            seat,
            seats,
            zones,
            instance,
            left: 0,
            run: (1, instance),
            unproven: false,
            changed: false,
            unsaid: false,
            runs: vec![(0, (0, 0)); seats],
            without: Vec::new(),
            group: None,
            promised: None,
            founding: None,
            heard: BTreeMap::new(),
            highest: 0,
            known: None,
            ticked: now,
            greeted: now - GREET,
            led_at: now,
            decided: Vec::new(),
            out: Vec::new(),
            discarded_messages: 0,
        }
    }

    /// Goes on from what a process before it at that seat wrote down. Of what can't be gone on from nothing is taken.
    pub fn restore(&mut self, now: Timestamp, memory: VoterMemory) {
        let runs_fit = memory.runs.len() == self.seats;
        if memory.seat != self.seat || !runs_fit || memory.instance == 0 {
            return;
        }
        (self.left, self.highest, self.runs) = (memory.left, self.highest.max(memory.highest), memory.runs);
        self.run = (memory.run + 1, self.instance);
        self.instance = memory.instance;
        self.changed = true;
        if memory.promised {
            // It may still be counted on under that id.
            self.left += 1;
        } else if let Some(group) = memory.group {
            self.unproven = true;
            self.go_on(now, group);
        }
    }

    fn go_on(&mut self, now: Timestamp, memory: GroupMemory) {
        let GroupMemory { generation, at, decision, voters, hard, entries } = memory;
        let log = MemStorage::new();
        let mut snapshot = Snapshot::default();
        (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = at;
        snapshot.mut_metadata().set_conf_state(ConfState::parse_from_bytes(&voters).unwrap_or_default());
        let entries: Vec<Entry> = entries.iter().filter_map(|e| Entry::parse_from_bytes(e).ok()).collect();
        // Guards against a memory that does not hang together: the library takes such a one for its own fault.
        let in_row = entries.iter().zip(at.0 + 1..).all(|(e, index)| e.index == index && e.term >= at.1);
        let last = at.0 + entries.len() as u64;
        let decision = decision.filter(|d| d.is_valid(self.zones));
        let whole = in_row && at.0 > 0 && (at.0..=last).contains(&hard.2) && decision.is_some();
        let kept = whole && log.wl().apply_snapshot(snapshot).is_ok() && log.wl().append(&entries).is_ok();
        if !kept {
            return self.forget();
        }
        let state = HardState { term: hard.0, vote: hard.1, commit: hard.2, ..HardState::default() };
        log.wl().set_hardstate(state);
        self.enter(now, generation, log, at.0, decision);
        self.unsaid = true;
    }

    /// Leaves its id and its group for good: what it remembers is not all that was promised under it.
    fn forget(&mut self) {
        self.group = None;
        (self.left, self.run, self.unproven, self.changed) = (self.left + 1, (1, self.run.1), false, true);
    }

    /// What must not be forgotten, where that has changed since last asked. Nothing that was said since goes out before it
    /// is kept.
    pub fn take_memory(&mut self) -> Option<VoterMemory> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let group = self.group.as_ref().and_then(|group| {
            let (store, log) = (group.node.store(), &group.node.raft.raft_log);
            let at = log.applied;
            // Blank until told what stands: then it has promised nothing that matters but its term and vote.
            let last = store.last_index().ok()?;
            let entries = if last > at {
                store.entries(at + 1, last + 1, None, GetEntriesContext::empty(false))
            } else {
                Ok(Vec::new())
            };
            let hard = store.initial_state().ok()?.hard_state;
            let bytes = entries.ok()?.iter().map(|e| e.write_to_bytes().ok()).collect::<Option<_>>()?;
            Some(GroupMemory {
                generation: group.generation,
                at: (at, log.term(at).ok()?),
                decision: group.decision.clone(),
                voters: group.node.raft.prs().conf().to_conf_state().write_to_bytes().ok()?,
                hard: (hard.term, hard.vote, hard.commit.max(at)),
                entries: bytes,
            })
        });
        Some(VoterMemory {
            seat: self.seat,
            instance: self.instance,
            left: self.left,
            run: self.run.0,
            highest: self.highest,
            promised: self.promised.is_some(),
            runs: self.runs.clone(),
            group,
        })
    }

    /// Whether `take_memory` has something to give.
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Guards against voters that all remember and wait for each other's word.
    fn say_what_stands(&mut self) {
        let Some(group) = self.group.as_ref().filter(|_| self.unsaid) else { return };
        let (raft, log) = (&group.node.raft, &group.node.raft.raft_log);
        if raft.state == StateRole::Leader && log.term(log.applied) == Ok(raft.term) {
            self.unsaid = false;
            self.decided.extend(group.decision.clone());
        }
    }

    /// Seats that the operators say stay away: a new generation is founded without them. To be said of seats alone
    /// that are dead for good: one that goes on with others could have a majority of its own.
    pub fn exclude_voters(&mut self, seats: Vec<usize>) {
        self.without = seats;
    }

    /// Whether a majority has noted this run of its id, or it goes by no memory.
    fn prove(&mut self, now: Timestamp) {
        if !self.unproven {
            return;
        }
        let (id, own) = (self.id(), self.run);
        let heard = || self.heard.values().filter(|h| now - h.at <= HEARD);
        // The same count with another start is another process that went by the same memory.
        let later = heard().any(|h| h.noted.0 == id && h.noted.1 != own && h.noted.1.0 >= own.0);
        let noted = 1 + heard().filter(|h| h.noted == (id, own)).count();
        if later {
            self.forget();
        } else if noted * 2 > self.seats {
            self.unproven = false;
        }
    }

    /// This process's id, as long as it leaves no group. Its lowest byte names the seat, the rest is mixed from its start.
    fn id(&self) -> u64 {
        let mixed = (self.instance.wrapping_mul(0x9E37_79B9_7F4A_7C15)
            ^ self.left.wrapping_mul(0xD1B5_4A32_D192_ED03))
            << 8;
        mixed | (self.seat as u64 + 1)
    }

    pub fn next_deadline(&self) -> Timestamp {
        (self.ticked + TICK).min(self.greeted + GREET)
    }

    pub fn tick(&mut self, now: Timestamp) {
        if now - self.ticked >= TICK {
            // One, however late: a copy that stood still must not count its own sleep as others' silence.
            self.ticked = now;
            // Guards against a disk that takes nothing for long: what can't go out is as good as lost.
            let over = self.out.len().saturating_sub(MOST_OUT);
            self.out.drain(..over);
            self.prove(now);
            if let Some(group) = self.group.as_mut().filter(|_| !self.unproven) {
                group.node.tick();
            }
            self.work();
        }
        if self.has_leader() {
            self.led_at = now;
        }
        self.say_what_stands();
        if self.promised.is_some_and(|(_, _, at)| now - at >= PROMISED) {
            // It may still be counted on under that id: it takes another.
            self.promised = None;
            (self.left, self.changed) = (self.left + 1, true);
        }
        if now - self.greeted >= GREET {
            self.greeted = now;
            self.greet();
            self.found(now);
        }
        self.admit(now);
    }

    fn greet(&mut self) {
        let hello = VoterMessage::Hello {
            id: self.id(),
            generation: self.group.as_ref().map_or(0, |g| g.generation),
            led: self.has_leader(),
            highest: self.highest,
            run: self.run,
            runs: self.runs.clone(),
        };
        self.say_to_all(hello);
    }

    fn say_to_all(&mut self, word: VoterMessage) {
        let others = (0..self.seats).filter(|&s| s != self.seat);
        self.out.extend(others.map(|s| (s, VoterOutput::Message(word.clone()))));
    }

    /// What this copy follows, and the highest generation that anything heard speaks of.
    pub fn observe_decision(&mut self, decision: &Decision) {
        self.highest = self.highest.max(decision.generation());
        if self.known.as_ref().is_none_or(|k| k.number < decision.number) {
            self.known = Some(decision.clone());
        }
    }

    // Founding.

    fn found(&mut self, now: Timestamp) {
        let first = (0..self.seats).find(|s| !self.without.contains(s));
        if first != Some(self.seat) || now - self.led_at < FOUND_AFTER {
            self.founding = None;
            return;
        }
        if let Some(founding) = &self.founding {
            if now - founding.since < PROMISED {
                let word = match &founding.begun {
                    // Until all have begun.
                    Some((ids, first)) => {
                        let (generation, ids, first) = (founding.generation, ids.clone(), first.clone());
                        VoterMessage::Begin { generation, ids, first }
                    }
                    None => VoterMessage::Found { generation: founding.generation },
                };
                self.say_to_all(word);
                return;
            }
            self.founding = None;
        }
        let others = || (0..self.seats).filter(|s| *s != self.seat && !self.without.contains(s));
        let all_without = others().all(|s| self.heard.get(&s).is_some_and(|h| now - h.at <= HEARD && !h.led));
        if !all_without {
            return;
        }
        // Above what anybody remembers, and, where nobody does, above what clocks before this start gave.
        let generation = (self.highest + 1).max(self.run.1 / 1_000_000) & 0xffff_ffff;
        self.highest = generation;
        self.leave(now, generation, self.seat);
        let promises = BTreeMap::from([(self.seat, (self.id(), self.known.clone()))]);
        self.founding = Some(Founding { generation, since: now, promises, begun: None });
        self.say_to_all(VoterMessage::Found { generation });
        self.begin_if_all(now);
    }

    /// Leaves its group for good and promises to join that generation, of that seat's founding.
    fn leave(&mut self, now: Timestamp, generation: u64, founder: usize) {
        if self.group.take().is_some() || self.promised.is_some() {
            (self.left, self.run, self.unproven) = (self.left + 1, (1, self.run.1), false);
        }
        self.promised = Some((generation, founder, now));
        self.changed = true;
    }

    fn begin_if_all(&mut self, now: Timestamp) {
        let Some(founding) = &mut self.founding else { return };
        let away = |seat: &usize| self.without.contains(seat);
        if founding.begun.is_some()
            || !(0..self.seats).all(|s| away(&s) || founding.promises.contains_key(&s))
        {
            return;
        }
        let ids: Vec<u64> = founding.promises.values().map(|p| p.0).collect();
        let known = founding.promises.values().filter_map(|p| p.1.as_ref()).max_by_key(|d| d.number);
        let number = founding.generation << 32;
        let mut first = known.cloned().unwrap_or_else(|| Decision::initial(self.zones, number));
        (first.number, first.cause) = (number, crate::decision::DecisionCause::GroupFounded);
        founding.begun = Some((ids.clone(), first.clone()));
        let generation = founding.generation;
        self.say_to_all(VoterMessage::Begin { generation, ids: ids.clone(), first: first.clone() });
        self.begin(now, generation, &ids, first);
    }

    fn begin(&mut self, now: Timestamp, generation: u64, ids: &[u64], first: Decision) {
        self.promised = None;
        let voters = ConfState { voters: ids.to_vec(), ..ConfState::default() };
        self.join(now, generation, Some((voters, first)));
    }

    /// Enters a group: as one that founds it, or blank, to be told what stands.
    fn join(&mut self, now: Timestamp, generation: u64, founds: Option<(ConfState, Decision)>) {
        let log = MemStorage::new();
        let mut decision = None;
        if let Some((voters, first)) = founds {
            let mut snapshot = Snapshot::default();
            // Not nothing, so that a member that was not there at the beginning is told all.
            (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (1, 1);
            snapshot.mut_metadata().set_conf_state(voters);
            if log.wl().apply_snapshot(snapshot).is_err() {
                return;
            }
            decision = Some(first);
            self.decided.extend(decision.clone());
        }
        let applied = if decision.is_some() { 1 } else { 0 };
        self.enter(now, generation, log, applied, decision);
    }

    fn enter(
        &mut self,
        now: Timestamp,
        generation: u64,
        log: MemStorage,
        applied: u64,
        decision: Option<Decision>,
    ) {
        let id = self.id();
        let bytes = decision.as_ref().and_then(|d| postcard::to_allocvec(d).ok()).unwrap_or_default();
        let asks = ELECTION + SEAT_TICKS * self.seat;
        let told = raft::Config {
            id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEATS,
            applied,
            max_size_per_msg: MOST_BYTES,
            max_inflight_msgs: 16,
            check_quorum: true,
            pre_vote: true,
            min_election_tick: asks,
            max_election_tick: asks + 1,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let store = Store { log, decision: RefCell::new(bytes) };
        match RawNode::new(&told, store, &logger) {
            Ok(node) => {
                self.highest = self.highest.max(generation);
                (self.led_at, self.changed) = (now, true);
                self.group = Some(Group { generation, id, node, decision, admitted_at: now });
            }
            Err(_) => self.discarded_messages += 1,
        }
    }

    // Admitting.

    /// The leader takes in a seat's new process for its old one.
    fn admit(&mut self, now: Timestamp) {
        let Some(group) = &mut self.group else { return };
        let node = &group.node;
        let applied_all = node.raft.raft_log.applied == node.raft.raft_log.committed;
        if node.raft.state != StateRole::Leader
            || now - group.admitted_at < ADMIT
            || node.raft.has_pending_conf()
            || !applied_all
        {
            return;
        }
        let voters: Vec<u64> = node.raft.prs().conf().voters().ids().iter().collect();
        let newcomer = self.heard.iter().filter(|(seat, _)| !self.without.contains(seat)).find(|(_, h)| {
            // One of this group may have been let in by a leader whose change came to nothing.
            let without = !h.led || h.generation == group.generation;
            now - h.at <= HEARD && without && !voters.contains(&h.id)
        });
        let Some((&seat, heard)) = newcomer else { return };
        let mut change = ConfChangeV2::default();
        let single =
            |id, kind| ConfChangeSingle { node_id: id, change_type: kind, ..ConfChangeSingle::default() };
        change.mut_changes().push(single(heard.id, ConfChangeType::AddNode));
        for &old in voters.iter().filter(|id| seat_of(**id) == seat) {
            change.mut_changes().push(single(old, ConfChangeType::RemoveNode));
        }
        group.admitted_at = now;
        let _ = group.node.propose_conf_change(Vec::new(), change);
        self.work();
    }

    // What comes.

    pub fn handle_message(&mut self, now: Timestamp, seat: usize, word: VoterMessage) {
        if seat >= self.seats || seat == self.seat {
            return;
        }
        match word {
            VoterMessage::Hello { id, generation, led, highest, run, runs } => {
                if seat_of(id.max(1)) != seat || runs.len() != self.seats {
                    return;
                }
                let noted = &mut self.runs[seat];
                // Of one id only a later run; of another, that of a process that is there.
                if noted.0 != id || run.0 > noted.1.0 {
                    *noted = (id, run);
                    self.changed = true;
                }
                // Guards against a number from a clock far ahead: it would use up what numbers there are.
                self.highest = self.highest.max(highest.min(u64::from(u32::MAX) / 2));
                self.heard.insert(seat, Heard { at: now, id, generation, led, noted: runs[self.seat] });
            }
            VoterMessage::Found { generation } => {
                let free = !self.has_leader() && now - self.led_at >= FOUND_AFTER * 0.5;
                let newer = generation > self.group.as_ref().map_or(0, |g| g.generation);
                // The first seat founds, or the first of those that do not stay away.
                if !free || !newer {
                    return;
                }
                // Guards against one promise counted by two, each told that the other stays away.
                match self.promised {
                    Some((promised, founder, _)) if (promised, founder) == (generation, seat) => {}
                    Some((promised, ..)) if promised >= generation => return,
                    _ => self.leave(now, generation, seat),
                }
                self.highest = self.highest.max(generation);
                let joins = VoterMessage::Joins { generation, id: self.id(), known: self.known.clone() };
                self.out.push((seat, VoterOutput::Message(joins)));
            }
            VoterMessage::Joins { generation, id, known } => {
                let known = known.filter(|d| d.is_valid(self.zones));
                if let Some(founding) = &mut self.founding
                    && founding.generation == generation
                    && founding.begun.is_none()
                    && seat_of(id.max(1)) == seat
                {
                    founding.promises.insert(seat, (id, known));
                    self.begin_if_all(now);
                }
            }
            VoterMessage::Begin { generation, ids, first } => {
                let meant = ids.contains(&self.id()) && ids.len() <= self.seats;
                let promised =
                    self.promised.is_some_and(|(p, founder, _)| (p, founder) == (generation, seat));
                if promised && meant && first.is_valid(self.zones) {
                    self.begin(now, generation, &ids, first);
                }
            }
        }
    }

    /// A message of the library.
    pub fn handle_raft(&mut self, now: Timestamp, generation: u64, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            self.discarded_messages += 1;
            return;
        };
        // Guards against what is meant for a process before this one, which may have promised otherwise.
        let local = raft::raw_node::is_local_msg(message.msg_type);
        if message.to != self.id() || local || self.promised.is_some() || self.unproven {
            self.discarded_messages += 1;
            return;
        }
        if self.group.is_none() {
            self.join(now, generation, None);
        }
        let Some(group) = self.group.as_mut().filter(|g| g.generation == generation) else {
            self.discarded_messages += 1;
            return;
        };
        // Guards against a memory from before something that was written under this id: the library would stop the process.
        let lacks = message.msg_type == MessageType::MsgHeartbeat
            && message.commit > group.node.raft.raft_log.last_index();
        if lacks {
            return self.forget();
        }
        if group.node.step(message).is_err() {
            self.discarded_messages += 1;
        }
        self.work();
        if self.has_leader() {
            self.led_at = now;
        }
    }

    /// Has the voters agree on it, as what follows the decision of number `base`. It may come to nothing.
    pub fn propose(&mut self, base: u64, decision: Decision) {
        if let (Some(group), Ok(bytes)) =
            (self.group.as_mut(), postcard::to_allocvec(&Proposal { base, decision }))
        {
            let _ = group.node.propose(Vec::new(), bytes);
            self.work();
        }
    }

    /// Carries out what the library wants done, until nothing is left.
    fn work(&mut self) {
        let Some(group) = &mut self.group else { return };
        while group.node.has_ready() {
            let mut ready = group.node.ready();
            self.changed |=
                ready.hs().is_some() || !ready.entries().is_empty() || !ready.snapshot().is_empty();
            let mut messages = ready.take_messages();
            if !ready.snapshot().is_empty() {
                let whole = ready.snapshot().clone();
                let told = postcard::from_bytes::<Decision>(&whole.data);
                if group.node.store().log.wl().apply_snapshot(whole).is_err() {
                    self.discarded_messages += 1;
                }
                if let Ok(decision) = told
                    && decision.is_valid(self.zones)
                {
                    *group.node.store().decision.borrow_mut() =
                        postcard::to_allocvec(&decision).unwrap_or_default();
                    group.decision = Some(decision.clone());
                    self.decided.push(decision);
                }
            }
            let committed = ready.take_committed_entries();
            apply(group, committed, self.zones, &mut self.decided);
            if !ready.entries().is_empty() && group.node.store().log.wl().append(ready.entries()).is_err() {
                self.discarded_messages += 1;
            }
            if let Some(hard) = ready.hs() {
                group.node.store().log.wl().set_hardstate(hard.clone());
            }
            messages.extend(ready.take_persisted_messages());
            let mut light = group.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                group.node.store().log.wl().mut_hard_state().set_commit(commit);
            }
            messages.extend(light.take_messages());
            apply(group, light.take_committed_entries(), self.zones, &mut self.decided);
            group.node.advance_apply();
            for message in messages {
                if message.msg_type == MessageType::MsgSnapshot {
                    // It is one datagram: whether it came shows at the next heartbeat.
                    group.node.report_snapshot(message.to, SnapshotStatus::Finish);
                }
                let seat = seat_of(message.to.max(1));
                if seat < self.seats
                    && seat != self.seat
                    && let Ok(bytes) = message.write_to_bytes()
                {
                    self.out.push((seat, VoterOutput::Raft(group.generation, bytes)));
                }
            }
        }
        let log = &group.node.store().log;
        let applied = group.node.raft.raft_log.applied;
        if let Ok(first) = log.first_index()
            && applied > first + 2 * KEPT
        {
            let _ = log.wl().compact(applied - KEPT);
        }
    }

    // What it says.

    pub fn take_outputs(&mut self) -> Vec<(usize, VoterOutput)> {
        std::mem::take(&mut self.out)
    }

    /// Decisions agreed on since last asked, in their order.
    pub fn take_decided(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decided)
    }

    /// The decision as this voter knows it agreed on.
    pub fn decision(&self) -> Option<&Decision> {
        self.group.as_ref()?.decision.as_ref()
    }

    pub fn is_leader(&self) -> bool {
        self.group.as_ref().is_some_and(|g| g.node.raft.state == StateRole::Leader)
    }

    pub fn has_leader(&self) -> bool {
        self.group.as_ref().is_some_and(|g| g.node.raft.leader_id != raft::INVALID_ID)
    }

    /// Seat of the leader.
    pub fn leader(&self) -> Option<usize> {
        let leader = self.group.as_ref()?.node.raft.leader_id;
        (leader != raft::INVALID_ID).then(|| seat_of(leader))
    }

    pub fn term(&self) -> u64 {
        self.group.as_ref().map_or(0, |g| g.node.raft.term)
    }

    pub fn generation(&self) -> u64 {
        self.group.as_ref().map_or(0, |g| g.generation)
    }

    /// The id that this process goes by.
    pub fn own_id(&self) -> u64 {
        self.id()
    }

    /// Whether it waits for a majority to note that it goes by a memory.
    pub fn is_unproven(&self) -> bool {
        self.unproven
    }

    /// Whether this process is among the voters of its group as it knows it.
    pub fn is_voter(&self) -> bool {
        self.group.as_ref().is_some_and(|g| g.node.raft.prs().conf().voters().ids().contains(g.id))
    }

    /// Voters heard of late, this one counted.
    pub fn voters_heard(&self, now: Timestamp) -> usize {
        1 + self.heard.values().filter(|h| now - h.at <= HEARD).count()
    }
}

fn apply(group: &mut Group, entries: Vec<Entry>, zones: usize, decided: &mut Vec<Decision>) {
    for entry in entries {
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => {
                let Ok(Proposal { base, mut decision }) = postcard::from_bytes(&entry.data) else { continue };
                // One decision a number: made from another than the one that stands, it is void at all voters alike.
                let Some(current) = &group.decision else { continue };
                if base != current.number || !decision.is_valid(zones) {
                    continue;
                }
                decision.number = current.number + 1;
                *group.node.store().decision.borrow_mut() =
                    postcard::to_allocvec(&decision).unwrap_or_default();
                group.decision = Some(decision.clone());
                decided.push(decision);
            }
            EntryType::EntryConfChangeV2 => {
                let mut change = ConfChangeV2::default();
                if change.merge_from_bytes(&entry.data).is_ok()
                    && let Ok(state) = group.node.apply_conf_change(&change)
                {
                    group.node.store().log.wl().set_conf_state(state);
                }
            }
            EntryType::EntryConfChange => {}
        }
    }
}

#[cfg(test)]
mod stored_forms;

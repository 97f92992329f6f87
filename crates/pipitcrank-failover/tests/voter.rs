//! Voters on a net that loses, doubles, delays and parts, with crashes that lose all memory and processes that stand still:
//! one decision a number, whatever happens, and decisions again once all is well. From a seed.

use std::collections::{BTreeMap, BTreeSet};

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_failover::decision::Decision;
use pipitcrank_failover::voter::{AddressedOutput, Voter, VoterMemory, VoterOutput};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const ZONES: usize = 3;

struct Net {
    now: Timestamp,
    rng: Pcg64,
    voters: Vec<Option<Voter>>,
    /// Process of each slot, by number.
    process: Vec<u64>,
    /// Stands still: what comes waits until it wakes.
    stopped: BTreeSet<usize>,
    in_flight: BTreeMap<(Timestamp, u64), (usize, usize, VoterOutput)>,
    next: u64,
    /// Ways that are cut, by direction.
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    delay_ms: i64,
    starts: u64,
    proposals: u32,
    proposed: Timestamp,
    /// All that was ever decided, by number, and the newest at each process.
    all: BTreeMap<u64, Decision>,
    newest: BTreeMap<u64, u64>,
    two_under_one: u64,
    went_back: u64,
    /// By slot, what was persisted: all of it, oldest first. Empty where there is no disk.
    persisted: Vec<Vec<VoterMemory>>,
    disks: bool,
}

impl Net {
    fn new(seed: u64, slots: usize) -> Net {
        let mut net = Net {
            now: Timestamp::from_secs_f64(1000.0),
            rng: Pcg64::seed_from_u64(seed),
            voters: (0..slots).map(|_| None).collect(),
            process: vec![0; slots],
            stopped: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            next: 0,
            cut: BTreeSet::new(),
            loss: 0.0,
            delay_ms: 5,
            starts: 1_700_000_000_000_000,
            proposals: 0,
            proposed: Timestamp::from_secs_f64(0.0),
            all: BTreeMap::new(),
            newest: BTreeMap::new(),
            two_under_one: 0,
            went_back: 0,
            persisted: vec![Vec::new(); slots],
            disks: false,
        };
        (0..slots).for_each(|slot| net.start(slot));
        net
    }

    fn start(&mut self, slot: usize) {
        self.starts += 1_000_001;
        self.process[slot] = self.starts;
        self.stopped.remove(&slot);
        self.voters[slot] = Some(Voter::new(self.now, slot, self.voters.len(), ZONES, self.starts));
    }

    /// A process at that slot that goes on from what was persisted so many writes before the last.
    fn start_from_memory(&mut self, slot: usize, writes_before: usize) {
        self.start(slot);
        let position = self.persisted[slot].len().checked_sub(1 + writes_before);
        if let (Some(position), Some(voter)) = (position, &mut self.voters[slot]) {
            voter.restore(self.now, self.persisted[slot][position].clone());
        }
    }

    fn pass(&mut self, ms: i64) {
        let until = self.now + TimeSpan::from_millis(ms);
        while self.now < until {
            self.now = self.now + TimeSpan::from_millis(5);
            while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= self.now) {
                let ((_, order), (from, to, out)) = entry.remove_entry();
                if self.stopped.contains(&to) {
                    // Its socket holds some of it.
                    if self.in_flight.len() < 500 {
                        self.in_flight.insert((self.now + TimeSpan::from_millis(50), order), (from, to, out));
                    }
                } else if let Some(voter) = &mut self.voters[to] {
                    match out {
                        VoterOutput::Raft { generation, bytes } => {
                            voter.handle_raft(self.now, generation, &bytes)
                        }
                        VoterOutput::Message(message) => voter.handle_message(self.now, from, message),
                    }
                }
            }
            let proposes = self.now - self.proposed >= TimeSpan::from_millis(100);
            for slot in (0..self.voters.len()).filter(|s| !self.stopped.contains(s)) {
                let Some(voter) = &mut self.voters[slot] else { continue };
                if voter.next_deadline() <= self.now {
                    voter.tick(self.now);
                }
                if proposes
                    && voter.is_leader()
                    && let Some(mut next) = voter.decision().cloned()
                {
                    self.proposals += 1;
                    next.zones[0].demand = self.proposals;
                    voter.propose(next.number, next);
                }
            }
            self.proposed = if proposes { self.now } else { self.proposed };
            self.collect();
        }
    }

    fn collect(&mut self) {
        for slot in 0..self.voters.len() {
            let Some(voter) = &mut self.voters[slot] else { continue };
            for decision in voter.take_decided() {
                let held = self.all.entry(decision.number).or_insert_with(|| decision.clone());
                self.two_under_one += u64::from(*held != decision);
                let newest = self.newest.entry(self.process[slot]).or_insert(0);
                self.went_back += u64::from(decision.number < *newest);
                *newest = decision.number;
                voter.observe_decision(&decision);
            }
            // Kept before anything goes out.
            if let Some(memory) = voter.take_memory()
                && self.disks
            {
                self.persisted[slot].push(memory);
            }
            for AddressedOutput { slot: to, output: out } in voter.take_outputs() {
                if self.cut.contains(&(slot, to)) || self.rng.random_bool(self.loss) {
                    continue;
                }
                let nodes = if self.rng.random_bool(self.loss / 3.0) { 2 } else { 1 };
                for _ in 0..nodes {
                    let delay = TimeSpan::from_millis(1 + self.rng.random_range(0..=self.delay_ms));
                    self.next += 1;
                    self.in_flight.insert((self.now + delay, self.next), (slot, to, out.clone()));
                }
            }
        }
    }

    fn leaders(&self) -> Vec<usize> {
        (0..self.voters.len()).filter(|&s| self.voters[s].as_ref().is_some_and(Voter::is_leader)).collect()
    }

    /// Cuts a set off from the rest, both ways.
    fn part(&mut self, away: &[usize]) {
        for a in 0..self.voters.len() {
            for b in (0..self.voters.len()).filter(|b| away.contains(&a) != away.contains(b)) {
                self.cut.insert((a, b));
            }
        }
    }

    fn goes_on(&mut self, within_ms: i64, why: &str) {
        let before = self.all.len();
        self.pass(within_ms);
        assert!(self.all.len() > before + 3, "{why}: {before} decisions, then {}", self.all.len());
        self.sound(why);
    }

    fn sound(&self, why: &str) {
        assert_eq!((self.two_under_one, self.went_back), (0, 0), "{why}");
    }

    fn generations(&self) -> usize {
        self.all.keys().map(|n| n >> 32).collect::<BTreeSet<_>>().len()
    }
}

#[test]
fn voters_found_a_group_and_go_on_without_a_minority() {
    for slots in [1, 3, 5] {
        let mut net = Net::new(1, slots);
        net.goes_on(5000, "first start");
        assert_eq!(net.leaders().len(), 1);
        for slot in 0..(slots - 1) / 2 {
            net.voters[slot] = None;
        }
        if slots > 1 {
            net.goes_on(3000, "a minority died, the leader among them");
        }
    }
}

#[test]
fn without_a_majority_nothing_is_decided_and_with_it_again_all_goes_on() {
    let mut net = Net::new(2, 3);
    net.pass(5000);
    net.part(&[0, 1]);
    net.cut.extend([(0, 1), (1, 0)]);
    net.pass(1500);
    let before = net.all.len();
    net.pass(10_000);
    assert_eq!(net.all.len(), before, "nobody has a majority");
    net.cut.clear();
    net.goes_on(5000, "healed");
    assert_eq!(net.generations(), 1, "no new generation was needed");
}

#[test]
fn a_voter_that_lost_its_memory_is_admitted_again_and_then_counts() {
    let mut net = Net::new(3, 3);
    net.pass(5000);
    net.start(2);
    net.goes_on(3000, "one restarted");
    assert!(net.voters[2].as_ref().unwrap().is_voter());
    net.voters[0] = None;
    net.goes_on(4000, "the new one is needed for a majority");
    net.start(0);
    net.pass(3000);
    // All three in turn, several times: the group outlives them all.
    for round in 0..6 {
        net.start(round % 3);
        net.goes_on(4000, "rolling restart");
    }
    assert_eq!(net.generations(), 1);
}

#[test]
fn when_all_memory_is_lost_a_new_generation_begins_above_all_numbers() {
    let mut net = Net::new(4, 3);
    net.pass(5000);
    for lost in [vec![0, 1, 2], vec![0, 1], vec![1, 2]] {
        let last = *net.all.keys().last().unwrap();
        lost.iter().for_each(|&slot| net.start(slot));
        net.goes_on(12_000, "memory lost");
        assert!(*net.all.keys().last().unwrap() >> 32 > last >> 32, "{lost:?}");
    }
}

#[test]
fn a_majority_without_memory_alone_decides_nothing() {
    let mut net = Net::new(5, 3);
    net.pass(5000);
    net.voters[2] = None;
    (0..2).for_each(|slot| net.start(slot));
    net.pass(100);
    let before = net.all.len();
    net.pass(15_000);
    assert_eq!(net.all.len(), before, "the third may remember more: it is waited for");
    net.start(2);
    net.goes_on(10_000, "all slots are there again");
}

#[test]
fn a_leader_that_stood_still_for_five_seconds_resumes_without_harm() {
    let mut net = Net::new(6, 3);
    net.pass(5000);
    let leader = net.leaders()[0];
    net.stopped.insert(leader);
    net.goes_on(5000, "the leader stands still");
    net.stopped.clear();
    net.goes_on(3000, "and wakes");
    assert_eq!(net.leaders().len(), 1);
}

#[test]
fn invalid_raft_messages_change_nothing() {
    let mut net = Net::new(7, 3);
    net.pass(5000);
    let voter = net.voters[1].as_mut().unwrap();
    let before = voter.decision().cloned();
    for bytes in [&b"garbage"[..], &[0xff; 900], &[]] {
        voter.handle_raft(net.now, voter.generation(), bytes);
        voter.handle_raft(net.now, 99, bytes);
    }
    assert!(voter.discarded_messages >= 6);
    assert_eq!(voter.decision().cloned(), before);
    net.goes_on(2000, "after garbage");
}

/// Everything at once, from a seed: each number has one decision at all times, and decisions go on in the end.
#[test]
fn under_any_faults_each_number_has_one_decision() {
    for seed in 0..40 {
        let slots = [3, 5][seed as usize % 2];
        let mut net = Net::new(seed, slots);
        net.pass(4000);
        for _ in 0..12 {
            let slot = net.rng.random_range(0..slots);
            match net.rng.random_range(0..8) {
                0 => net.voters[slot] = None,
                1 => net.start(slot),
                2 => {
                    net.stopped.insert(slot);
                }
                3 => {
                    net.stopped.remove(&slot);
                }
                4 => net.part(&[slot]),
                5 => {
                    let to = net.rng.random_range(0..slots);
                    net.cut.insert((slot, to));
                }
                6 => (net.loss, net.delay_ms) = (0.3, 200),
                _ => {
                    net.cut.clear();
                    (net.loss, net.delay_ms) = (0.0, 5);
                }
            }
            let ms = net.rng.random_range(100..3000);
            net.pass(ms);
            net.sound(&format!("seed {seed}"));
        }
        net.cut.clear();
        net.stopped.clear();
        (net.loss, net.delay_ms) = (0.0, 5);
        for slot in 0..slots {
            if net.voters[slot].is_none() {
                net.start(slot);
            }
        }
        net.pass(8000);
        net.goes_on(8000, &format!("seed {seed}, healed"));
    }
}

#[test]
fn voters_with_memory_continue_their_group_even_when_all_restart_at_once() {
    let mut net = Net::new(11, 3);
    net.disks = true;
    net.goes_on(5000, "first start");
    let ids: Vec<u64> = net.voters.iter().flatten().map(Voter::own_id).collect();
    for all in [vec![2], vec![0, 1], vec![0, 1, 2]] {
        all.iter().for_each(|&slot| net.start_from_memory(slot, 0));
        net.goes_on(4000, "restarted with what was persisted");
    }
    assert_eq!(ids, net.voters.iter().flatten().map(Voter::own_id).collect::<Vec<_>>());
    assert_eq!(net.generations(), 1, "nothing had to be founded anew");
    // A third that has nothing comes in beside them.
    net.voters[0] = None;
    net.start_from_memory(1, 0);
    net.start(2);
    net.pass(3000);
    net.start_from_memory(0, 0);
    net.goes_on(6000, "one had lost its disk, one was back from the dead");
    assert_eq!(net.generations(), 1);
}

#[test]
fn memory_is_read_back_and_used_by_its_own_slot_alone() {
    let mut net = Net::new(12, 3);
    net.disks = true;
    net.goes_on(5000, "first start");
    for memories in &net.persisted {
        let memory = memories.last().unwrap();
        let bytes = postcard::to_allocvec(memory).unwrap();
        assert!(bytes.len() < 4000, "{} bytes", bytes.len());
        assert_eq!(postcard::from_bytes::<VoterMemory>(&bytes).unwrap(), *memory);
    }
    let (mine, others) = (net.persisted[0].last().unwrap().clone(), net.persisted[1].last().unwrap().clone());
    net.start(0);
    let voter = net.voters[0].as_mut().unwrap();
    let blank = voter.own_id();
    voter.restore(net.now, others);
    assert_eq!(voter.own_id(), blank, "another slot's");
    voter.restore(net.now, mine);
    assert_ne!(voter.own_id(), blank);
    assert!(
        voter.decision().is_some() && voter.take_decided().is_empty(),
        "it is not said before it is known to stand"
    );
}

#[test]
fn an_older_memory_is_recognized_and_its_id_abandoned_for_good() {
    let mut net = Net::new(13, 3);
    net.disks = true;
    net.goes_on(5000, "first start");
    let id = net.voters[2].as_ref().unwrap().own_id();
    let old = net.persisted[2].len();
    net.start_from_memory(2, 0);
    net.goes_on(3000, "restarted");
    assert_eq!(net.voters[2].as_ref().unwrap().own_id(), id);
    // Somebody puts back what was on the disk before that start.
    let later = net.persisted[2].len() - old;
    net.start_from_memory(2, later);
    net.pass(100);
    assert!(!net.voters[2].as_ref().unwrap().is_voter() || net.voters[2].as_ref().unwrap().is_unproven());
    net.goes_on(5000, "put back");
    let voter = net.voters[2].as_ref().unwrap();
    assert!(voter.own_id() != id && voter.is_voter(), "admitted anew under another id");
    assert_eq!(net.generations(), 1);
}

#[test]
fn a_dead_slot_is_excluded_by_command_alone() {
    let mut net = Net::new(14, 3);
    net.goes_on(5000, "first start");
    let before = *net.all.keys().last().unwrap();
    (0..3).for_each(|slot| net.start(slot));
    net.voters[0] = None;
    let decided = net.all.len();
    net.pass(15_000);
    assert_eq!(net.all.len(), decided, "two of three without memory decide nothing");
    for slot in [1, 2] {
        net.voters[slot].as_mut().unwrap().exclude_voters(vec![0]);
    }
    net.goes_on(8000, "begun anew without it");
    assert!(*net.all.keys().last().unwrap() >> 32 > before >> 32, "above all numbers used");
    // It comes back after all, when the command is taken back.
    for slot in [1, 2] {
        net.voters[slot].as_mut().unwrap().exclude_voters(Vec::new());
    }
    net.start(0);
    net.goes_on(5000, "back");
    assert!(net.voters[0].as_ref().unwrap().is_voter());
}

/// Processes that die at any moment and go on from what was persisted, or from an older copy of it, or from nothing, on a
/// bad net.
#[test]
fn whatever_memory_is_kept_or_lost_each_number_has_one_decision() {
    for seed in 0..40 {
        let mut net = Net::new(100 + seed, if seed % 2 == 0 { 3 } else { 5 });
        net.disks = true;
        (net.loss, net.delay_ms) = (0.1, 60);
        net.pass(4000);
        for _ in 0..12 {
            let slot = net.rng.random_range(0..net.voters.len());
            match net.rng.random_range(0..10) {
                0..5 => net.start_from_memory(slot, 0),
                5 => {
                    let back = net.rng.random_range(0..20);
                    net.start_from_memory(slot, back);
                }
                6 => {
                    net.persisted[slot].clear();
                    net.start(slot);
                }
                7 => (0..net.voters.len()).for_each(|slot| net.start_from_memory(slot, 0)),
                8 => net.part(&[slot]),
                _ => net.cut.clear(),
            }
            let ms = net.rng.random_range(50..2500);
            net.pass(ms);
            net.sound(&format!("seed {seed}"));
        }
        (net.loss, net.delay_ms) = (0.0, 5);
        net.cut.clear();
        net.goes_on(15_000, &format!("seed {seed} healed"));
    }
}

/// What the noting of runs is for: with an older memory a voter would help decide a number that it had decided already.
#[test]
fn an_older_memory_helps_no_minority_to_a_second_decision_under_one_number() {
    let mut net = Net::new(15, 3);
    net.disks = true;
    net.goes_on(5000, "first start");
    let old = net.persisted[1].len();
    net.start_from_memory(1, 0);
    net.goes_on(3000, "another run, noted by the others");
    net.part(&[2]);
    net.goes_on(3000, "two decide, the third hears nothing");
    // The other of the two is cut off, and the one comes back on what it had before its last run.
    net.cut.clear();
    net.part(&[0]);
    net.in_flight.clear();
    let later = net.persisted[1].len() - old;
    net.start_from_memory(1, later);
    let decided = net.all.len();
    net.pass(8000);
    net.sound("put back beside one that missed what it decided");
    assert_eq!(net.all.len(), decided, "the two that are left are no majority of those that decided");
    net.cut.clear();
    net.goes_on(6000, "healed");
}

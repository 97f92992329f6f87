//! Simulated network for voters. It loses, duplicates, delays and partitions messages; processes crash with
//! loss of all state, or are suspended. The seed determines every run.

use std::collections::{BTreeMap, BTreeSet};

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_failover::decision::Decision;
use pipitcrank_failover::voter::{AddressedOutput, PersistentVoterState, Voter, VoterOutput};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const ZONES: usize = 3;

/// Step of the simulated clock.
const STEP: TimeSpan = TimeSpan::from_millis(5);
/// Interval between proposals of a leader.
const PROPOSAL_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Delay after which delivery to a suspended process is tried again.
const REDELIVERY_DELAY: TimeSpan = TimeSpan::from_millis(50);
/// Limit on messages in flight. Above it, messages to suspended processes are lost, as with the bounded
/// buffer of a socket.
const MAX_IN_FLIGHT: usize = 500;

/// A message in flight.
pub struct InFlight {
    from: usize,
    to: usize,
    output: VoterOutput,
}

pub struct SimulatedNetwork {
    pub now: Timestamp,
    pub rng: Pcg64,
    /// By slot; none while the process is down.
    pub voters: Vec<Option<Voter>>,
    /// Instance number of the process in each slot.
    instances: Vec<u64>,
    /// Slots of suspended processes: messages to them wait until they resume.
    pub suspended: BTreeSet<usize>,
    /// By delivery time and order.
    pub in_flight: BTreeMap<(Timestamp, u64), InFlight>,
    last_message: u64,
    /// Cut links as pairs of sending and receiving slot.
    pub cut_links: BTreeSet<(usize, usize)>,
    pub loss_rate: f64,
    pub max_delay_ms: i64,
    last_instance: u64,
    proposals: u32,
    proposed_at: Timestamp,
    /// All decisions ever made, by number.
    pub decisions: BTreeMap<u64, Decision>,
    /// Number of the newest decision of each process.
    newest_by_instance: BTreeMap<u64, u64>,
    /// Number of decisions that differ from another one with the same number.
    conflicts: u64,
    /// Number of decisions that are older than an earlier one of the same process.
    regressions: u64,
    /// By slot: all persisted states, oldest first.
    pub persisted_states: Vec<Vec<PersistentVoterState>>,
    /// Whether states are persisted.
    pub has_disks: bool,
}

impl SimulatedNetwork {
    pub fn new(seed: u64, slots: usize) -> SimulatedNetwork {
        let mut network = SimulatedNetwork {
            now: Timestamp::from_secs_f64(1000.0),
            rng: Pcg64::seed_from_u64(seed),
            voters: (0..slots).map(|_| None).collect(),
            instances: vec![0; slots],
            suspended: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            last_message: 0,
            cut_links: BTreeSet::new(),
            loss_rate: 0.0,
            max_delay_ms: 5,
            last_instance: 1_700_000_000_000_000,
            proposals: 0,
            proposed_at: Timestamp::from_secs_f64(0.0),
            decisions: BTreeMap::new(),
            newest_by_instance: BTreeMap::new(),
            conflicts: 0,
            regressions: 0,
            persisted_states: vec![Vec::new(); slots],
            has_disks: false,
        };
        (0..slots).for_each(|slot| network.start(slot));
        network
    }

    /// Starts a process without persisted state.
    pub fn start(&mut self, slot: usize) {
        self.last_instance += 1_000_001;
        self.instances[slot] = self.last_instance;
        self.suspended.remove(&slot);
        self.voters[slot] = Some(Voter::new(self.now, slot, self.voters.len(), ZONES, self.last_instance));
    }

    /// Starts a process from the state that was persisted `writes_before` writes before the last one.
    pub fn start_from_persisted(&mut self, slot: usize, writes_before: usize) {
        self.start(slot);
        let position = self.persisted_states[slot].len().checked_sub(1 + writes_before);
        if let (Some(position), Some(voter)) = (position, &mut self.voters[slot]) {
            voter.restore(self.now, self.persisted_states[slot][position].clone());
        }
    }

    pub fn run_for(&mut self, ms: i64) {
        let until = self.now + TimeSpan::from_millis(ms);
        while self.now < until {
            self.now = self.now + STEP;
            self.deliver();
            self.tick_voters();
            self.collect();
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let ((_, order), message) = entry.remove_entry();
            if self.suspended.contains(&message.to) {
                if self.in_flight.len() < MAX_IN_FLIGHT {
                    self.in_flight.insert((self.now + REDELIVERY_DELAY, order), message);
                }
            } else if let Some(voter) = &mut self.voters[message.to] {
                match message.output {
                    VoterOutput::Raft { generation, bytes } => {
                        voter.handle_raft(self.now, generation, &bytes)
                    }
                    VoterOutput::Message(content) => voter.handle_message(self.now, message.from, content),
                }
            }
        }
    }

    fn tick_voters(&mut self) {
        let is_proposal_due = self.now - self.proposed_at >= PROPOSAL_INTERVAL;
        for slot in (0..self.voters.len()).filter(|slot| !self.suspended.contains(slot)) {
            let Some(voter) = &mut self.voters[slot] else { continue };
            if voter.next_deadline() <= self.now {
                voter.tick(self.now);
            }
            if is_proposal_due
                && voter.is_leader()
                && let Some(mut next) = voter.decision().cloned()
            {
                self.proposals += 1;
                next.zones[0].demand = self.proposals;
                voter.propose(next.number, next);
            }
        }
        if is_proposal_due {
            self.proposed_at = self.now;
        }
    }

    fn collect(&mut self) {
        for slot in 0..self.voters.len() {
            self.record_decisions(slot);
            let Some(voter) = &mut self.voters[slot] else { continue };
            // The state is persisted before any output is sent.
            if let Some(state) = voter.take_persistent_state()
                && self.has_disks
            {
                self.persisted_states[slot].push(state);
            }
            for AddressedOutput { slot: to, output } in voter.take_outputs() {
                self.send(slot, to, &output);
            }
        }
    }

    fn record_decisions(&mut self, slot: usize) {
        let Some(voter) = &mut self.voters[slot] else { return };
        for decision in voter.take_decided() {
            let known = self.decisions.entry(decision.number).or_insert_with(|| decision.clone());
            self.conflicts += u64::from(*known != decision);
            let newest = self.newest_by_instance.entry(self.instances[slot]).or_insert(0);
            self.regressions += u64::from(decision.number < *newest);
            *newest = decision.number;
            voter.observe_decision(&decision);
        }
    }

    /// Sends a message; some messages are lost and some duplicated, depending on the loss rate.
    fn send(&mut self, from: usize, to: usize, output: &VoterOutput) {
        if self.cut_links.contains(&(from, to)) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        let deliveries = if self.rng.random_bool(self.loss_rate / 3.0) { 2 } else { 1 };
        for _ in 0..deliveries {
            let delay = TimeSpan::from_millis(1 + self.rng.random_range(0..=self.max_delay_ms));
            self.last_message += 1;
            let message = InFlight { from, to, output: output.clone() };
            self.in_flight.insert((self.now + delay, self.last_message), message);
        }
    }

    pub fn leaders(&self) -> Vec<usize> {
        (0..self.voters.len()).filter(|&s| self.voters[s].as_ref().is_some_and(Voter::is_leader)).collect()
    }

    /// Cuts the links between these slots and the others in both directions.
    pub fn isolate(&mut self, isolated: &[usize]) {
        for a in 0..self.voters.len() {
            for b in (0..self.voters.len()).filter(|b| isolated.contains(&a) != isolated.contains(b)) {
                self.cut_links.insert((a, b));
            }
        }
    }

    /// Asserts that more than three decisions are made in `duration_ms`.
    pub fn assert_progress(&mut self, duration_ms: i64, context: &str) {
        let before = self.decisions.len();
        self.run_for(duration_ms);
        assert!(
            self.decisions.len() > before + 3,
            "{context}: {before} decisions before, then {}",
            self.decisions.len()
        );
        self.assert_consistent(context);
    }

    /// Asserts that each number has one decision and that no process went back to an older one.
    pub fn assert_consistent(&self, context: &str) {
        assert_eq!((self.conflicts, self.regressions), (0, 0), "{context}: conflicts and regressions");
    }

    /// Number of generations that made decisions.
    pub fn generations(&self) -> usize {
        self.decisions.keys().map(|n| n >> 32).collect::<BTreeSet<_>>().len()
    }
}

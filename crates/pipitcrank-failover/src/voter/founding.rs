//! Founding of a new generation of voters.
//!
//! A process without a `PersistentVoterState` must never vote as if it had one. Each process has an id of its
//! own, derived from its slot and its start time, and abandons that id for good when it leaves a group. A
//! process with the state of an earlier process continues under that process's id once a majority has
//! recorded it as a later incarnation. An outdated copy of the state is thereby detected by any majority, and
//! its process returns as one without state.
//!
//! ```text
//! state of a group, its incarnation recorded by a majority      --> continues to vote
//! state of a group, a later incarnation of that id is recorded  --> abandons the id, as a process without state
//! no group, all slots reachable, no leader for FOUNDING_DELAY   --> the first slot requests promises for a generation
//! request for a generation above any recorded one, no leader    --> leaves its group for good, promises to join
//! promises of all slots                                         --> the first slot starts the group, above all numbers
//! no group, other slots have a group with a leader              --> that leader admits the new id, removes the old one
//! an operator excludes a slot                                   --> the first other slot founds, with all other promises
//! ```
//!
//! Founding needs all slots, so two generations can never both have a majority that acts. Admission needs a
//! majority of the current group. With fewer voters nothing is decided: nodes keep the current decision, and
//! later apply their local evidence (`follower.rs`).

use std::collections::BTreeMap;

use pipitcrank_core::time::Timestamp;

use super::identity::Incarnation;
use super::message::{NewGroup, Promise, VoterMessage};
use super::peers::PeerTable;
use super::timing::PROMISE_LIFETIME;
use crate::decision::{Decision, DecisionCause};

/// Mask that limits generations to 32 bits.
const GENERATION_MASK: u64 = 0xffff_ffff;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Highest generation accepted from another voter. A generation derived from a clock far ahead would use up
/// the available numbers.
const MAX_ACCEPTED_GENERATION: u64 = u32::MAX as u64 / 2;

/// Limits a generation announced by another voter to the accepted range.
pub(super) fn capped_generation(announced: u64) -> u64 {
    announced.min(MAX_ACCEPTED_GENERATION)
}

/// Returns a generation above any recorded one and, in case all state is lost, above those that earlier
/// starts derived from their clocks.
pub(super) fn next_generation(highest: u64, incarnation: Incarnation) -> u64 {
    (highest + 1).max(incarnation.started / MICROS_PER_SECOND) & GENERATION_MASK
}

/// Slots that take part in founding a generation.
pub(super) struct Electorate {
    own_slot: usize,
    slot_count: usize,
    /// Slots excluded by operators.
    pub(super) excluded: Vec<usize>,
}

impl Electorate {
    pub(super) fn new(own_slot: usize, slot_count: usize) -> Electorate {
        Electorate { own_slot, slot_count, excluded: Vec::new() }
    }

    pub(super) fn participants(&self) -> impl Iterator<Item = usize> {
        (0..self.slot_count).filter(|slot| !self.excluded.contains(slot))
    }

    /// Whether this voter is the first participant, which founds the generation.
    pub(super) fn is_founder(&self) -> bool {
        self.participants().next() == Some(self.own_slot)
    }

    /// Whether all other participants sent recent heartbeats that report no leader.
    pub(super) fn others_are_leaderless(&self, now: Timestamp, peers: &PeerTable) -> bool {
        let mut others = self.participants().filter(|slot| *slot != self.own_slot);
        others.all(|slot| peers.is_leaderless(now, slot))
    }
}

/// Highest generation and newest decision recorded; a new generation continues from both.
#[derive(Default)]
pub(super) struct KnownHistory {
    pub(super) highest_generation: u64,
    pub(super) decision: Option<Decision>,
}

impl KnownHistory {
    pub(super) fn observe_generation(&mut self, generation: u64) {
        self.highest_generation = self.highest_generation.max(generation);
    }

    pub(super) fn observe_decision(&mut self, decision: &Decision) {
        self.observe_generation(decision.generation());
        if self.decision.as_ref().is_none_or(|known| known.number < decision.number) {
            self.decision = Some(decision.clone());
        }
    }
}

/// Promise of this voter to join a generation.
#[derive(Clone, Copy)]
pub(super) struct OwnPromise {
    pub(super) generation: u64,
    /// Slot that founds the generation.
    pub(super) founder: usize,
    pub(super) promised_at: Timestamp,
}

impl OwnPromise {
    pub(super) fn is_to(&self, generation: u64, founder: usize) -> bool {
        self.generation == generation && self.founder == founder
    }

    pub(super) fn has_expired(&self, now: Timestamp) -> bool {
        now - self.promised_at >= PROMISE_LIFETIME
    }
}

/// State of the founder while it founds a generation.
pub(super) struct Founding {
    generation: u64,
    started_at: Timestamp,
    /// Promises received, by slot.
    promises: BTreeMap<usize, Promise>,
    group: Option<NewGroup>,
}

impl Founding {
    /// Starts the founding with the founder's own promise.
    pub(super) fn new(now: Timestamp, founder: usize, own: Promise) -> Founding {
        let generation = own.generation;
        Founding { generation, started_at: now, promises: BTreeMap::from([(founder, own)]), group: None }
    }

    /// Whether the promises have expired.
    pub(super) fn has_expired(&self, now: Timestamp) -> bool {
        now - self.started_at >= PROMISE_LIFETIME
    }

    /// Message repeated to the other voters until all of them have joined.
    pub(super) fn message(&self) -> VoterMessage {
        match self.group.clone() {
            Some(group) => VoterMessage::StartGroup(group),
            None => VoterMessage::RequestPromise { generation: self.generation },
        }
    }

    /// Whether promises for this generation still count.
    pub(super) fn awaits_promises(&self, generation: u64) -> bool {
        generation == self.generation && self.group.is_none()
    }

    pub(super) fn record(&mut self, slot: usize, promise: Promise) {
        self.promises.insert(slot, promise);
    }

    /// Returns the new group once, as soon as all participants have promised.
    pub(super) fn complete(&mut self, participants: &[usize], zone_count: usize) -> Option<NewGroup> {
        if self.group.is_some() || !participants.iter().all(|slot| self.promises.contains_key(slot)) {
            return None;
        }
        let number = Decision::first_number(self.generation);
        let known = self.promises.values().filter_map(|promise| promise.known_decision.as_ref());
        let newest = known.max_by_key(|decision| decision.number);
        let mut initial_decision = newest.cloned().unwrap_or_else(|| Decision::initial(zone_count, number));
        (initial_decision.number, initial_decision.cause) = (number, DecisionCause::GroupFounded);
        let voter_ids = self.promises.values().map(|promise| promise.id).collect();
        self.group = Some(NewGroup { generation: self.generation, voter_ids, initial_decision });
        self.group.clone()
    }
}

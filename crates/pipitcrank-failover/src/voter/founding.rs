//! A generation of voters that is being founded.
//!
//! A process that was given no `PersistentVoterState` must never vote as if it had one. Each process has an id of its own, made of
//! its slot and its start, and abandons it for good when it leaves a group. One that was given the memory of an earlier
//! process goes on under that id, once a majority has recorded that it is a later incarnation of it: so an older memory that
//! somebody restored is recognized by any majority, and its process returns as one without memory.
//!
//! ```text
//! memory of a group, its incarnation recorded by a majority     --> votes on as before
//! memory of a group, a later incarnation of that id is known    --> abandons the id, as one without memory
//! no group, all slots heard, no leader for FOUND_AFTER          --> the first slot asks all to found a new generation
//! asked to found a generation above any known, no leader known  --> leaves its group for good, promises to join
//! promises of all slots                                         --> the first slot starts the group, above all numbers
//! no group, a group of others has a leader                      --> that leader admits the new id and removes the old
//! a slot is excluded by an operator                             --> the same, and the promises of all others suffice
//! ```
//!
//! Founding takes all slots, so no two generations can both have a majority that acts; admission takes a majority of the
//! group as it was. With fewer, nothing is decided: nodes keep the current decision, then go by their own evidence
//! (`follower.rs`).

use std::collections::BTreeMap;

use pipitcrank_core::time::Timestamp;

use super::identity::Incarnation;
use super::message::{NewGroup, Promise, VoterMessage};
use super::peers::PeerTable;
use super::timing::PROMISE_LIFETIME;
use crate::decision::{Decision, DecisionCause};

/// Generations are numbers of 32 bits.
const GENERATION_MASK: u64 = 0xffff_ffff;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// A higher generation is not believed: one from a clock far ahead would use up the numbers there are.
const MAX_BELIEVED_GENERATION: u64 = u32::MAX as u64 / 2;

/// Of a generation that another voter has heard of, what is believed.
pub(super) fn believed_generation(heard: u64) -> u64 {
    heard.min(MAX_BELIEVED_GENERATION)
}

/// A generation above any that was heard of, and, where all memory is lost, above what the clocks of earlier starts gave.
pub(super) fn next_generation(highest: u64, incarnation: Incarnation) -> u64 {
    (highest + 1).max(incarnation.started / MICROS_PER_SECOND) & GENERATION_MASK
}

/// The slots that take part in founding a generation.
pub(super) struct Electorate {
    own_slot: usize,
    slot_count: usize,
    /// Slots that operators exclude.
    pub(super) excluded: Vec<usize>,
}

impl Electorate {
    pub(super) fn new(own_slot: usize, slot_count: usize) -> Electorate {
        Electorate { own_slot, slot_count, excluded: Vec::new() }
    }

    pub(super) fn participants(&self) -> impl Iterator<Item = usize> {
        (0..self.slot_count).filter(|slot| !self.excluded.contains(slot))
    }

    /// The first participant founds.
    pub(super) fn is_founder(&self) -> bool {
        self.participants().next() == Some(self.own_slot)
    }

    /// Whether all other participants were heard lately, and none knows of a leader.
    pub(super) fn others_are_leaderless(&self, now: Timestamp, peers: &PeerTable) -> bool {
        let mut others = self.participants().filter(|slot| *slot != self.own_slot);
        others.all(|slot| peers.is_leaderless(now, slot))
    }
}

/// The highest generation heard of, and the newest decision followed: a new generation goes on from both.
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

/// This voter's promise to join a generation.
#[derive(Clone, Copy)]
pub(super) struct OwnPromise {
    pub(super) generation: u64,
    /// The slot that founds it.
    pub(super) founder: usize,
    pub(super) at: Timestamp,
}

impl OwnPromise {
    pub(super) fn is_to(&self, generation: u64, founder: usize) -> bool {
        self.generation == generation && self.founder == founder
    }

    pub(super) fn has_expired(&self, now: Timestamp) -> bool {
        now - self.at >= PROMISE_LIFETIME
    }
}

/// What the founder knows of the generation that it founds.
pub(super) struct Founding {
    generation: u64,
    started_at: Timestamp,
    /// By slot.
    promises: BTreeMap<usize, Promise>,
    group: Option<NewGroup>,
}

impl Founding {
    /// With the founder's own promise.
    pub(super) fn new(now: Timestamp, founder: usize, own: Promise) -> Founding {
        let generation = own.generation;
        Founding { generation, started_at: now, promises: BTreeMap::from([(founder, own)]), group: None }
    }

    /// Whether the promises no longer hold.
    pub(super) fn has_expired(&self, now: Timestamp) -> bool {
        now - self.started_at >= PROMISE_LIFETIME
    }

    /// What the others are told, until they have all joined.
    pub(super) fn message(&self) -> VoterMessage {
        match self.group.clone() {
            Some(group) => VoterMessage::StartGroup(group),
            None => VoterMessage::RequestPromise { generation: self.generation },
        }
    }

    /// Whether promises to that generation still count.
    pub(super) fn awaits_promises(&self, generation: u64) -> bool {
        generation == self.generation && self.group.is_none()
    }

    pub(super) fn record(&mut self, slot: usize, promise: Promise) {
        self.promises.insert(slot, promise);
    }

    /// The new group, at the moment when all participants have promised.
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

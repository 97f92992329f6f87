//! A voter whose outputs are held back until its state is persisted.

use pipitcrank_core::time::Timestamp;

use super::config::FailoverNodeConfig;
use super::message::RequestError;
use crate::decision::Decision;
use crate::voter::{AddressedOutput, PersistentVoterState, Voter};

pub(super) struct DurableVoter {
    pub(super) voter: Voter,
    own_slot: usize,
    slot_count: usize,
    /// Whether outputs wait until the state that they depend on is persisted.
    is_durable: bool,
    awaits_persistence: bool,
}

impl DurableVoter {
    /// Creates the voter; returns `None` if this node is not a voter.
    pub(super) fn from_config(now: Timestamp, config: &FailoverNodeConfig) -> Option<DurableVoter> {
        let FailoverNodeConfig { own, voters, zone_count, .. } = config;
        let own_slot = voters.iter().position(|voter| *voter == own.address)?;
        let slot_count = voters.len();
        let voter = Voter::new(now, own_slot, slot_count, *zone_count, own.instance);
        Some(DurableVoter { voter, own_slot, slot_count, is_durable: false, awaits_persistence: false })
    }

    pub(super) fn require_durable_state(&mut self) {
        self.is_durable = true;
    }

    pub(super) fn take_persistent_state(&mut self) -> Option<PersistentVoterState> {
        if !self.is_durable {
            return None;
        }
        let state = self.voter.take_persistent_state();
        self.awaits_persistence |= state.is_some();
        state
    }

    pub(super) fn state_persisted(&mut self) {
        self.awaits_persistence = false;
    }

    pub(super) fn awaits_persistence(&self) -> bool {
        self.awaits_persistence
    }

    /// Whether outputs may be released: none may be sent or acted on while a crash could still lose the state
    /// behind it.
    fn may_release(&self) -> bool {
        !self.is_durable || !self.awaits_persistence && !self.voter.has_changed()
    }

    pub(super) fn take_decided(&mut self) -> Vec<Decision> {
        if self.may_release() { self.voter.take_decided() } else { Vec::new() }
    }

    pub(super) fn take_outputs(&mut self) -> Vec<AddressedOutput> {
        if self.may_release() { self.voter.take_outputs() } else { Vec::new() }
    }

    pub(super) fn leader_slot(&self) -> Option<u8> {
        self.voter.leader().map(|slot| slot as u8)
    }

    /// Excludes the voters of these slots. The order goes to each voter separately, since there may be no
    /// majority to agree on it.
    pub(super) fn exclude(&mut self, slots: &[u8]) -> Result<(), RequestError> {
        let slots: Vec<usize> = slots.iter().map(|slot| usize::from(*slot)).collect();
        if slots.iter().any(|slot| *slot >= self.slot_count || *slot == self.own_slot) {
            return Err(RequestError::InvalidSlot);
        }
        if !slots.is_empty() && self.voter.has_leader() {
            return Err(RequestError::HasLeader);
        }
        self.voter.exclude_voters(slots);
        Ok(())
    }
}

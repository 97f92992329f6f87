//! Retries that others may make on behalf of this co-ordinator: the predecessor process during an upgrade, or
//! another site for the parts forwarded to it. They may be made at any time until they expire.

use std::collections::BTreeMap;

use crate::time::Timestamp;

/// A number of retries delegated together.
#[derive(Clone, Copy)]
pub(super) struct Delegation {
    pub(super) count: u32,
    pub(super) expires_at: Timestamp,
}

/// All delegations by id. An entry is removed when it is settled or has expired.
#[derive(Default)]
pub(super) struct DelegatedRetries {
    by_id: BTreeMap<u64, Delegation>,
}

impl DelegatedRetries {
    pub(super) fn insert(&mut self, delegation_id: u64, delegation: Delegation) {
        self.by_id.insert(delegation_id, delegation);
    }

    pub(super) fn remove(&mut self, delegation_id: u64) -> Option<Delegation> {
        self.by_id.remove(&delegation_id)
    }

    /// Removes and returns the delegations that have expired without being settled.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> impl Iterator<Item = Delegation> + '_ {
        self.by_id.extract_if(.., move |_, d| d.expires_at <= now).map(|(_, d)| d)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = Delegation> + '_ {
        self.by_id.values().copied()
    }

    /// Returns the number of retries currently delegated.
    pub(super) fn total(&self) -> u32 {
        self.iter().map(|d| d.count).sum()
    }

    pub(super) fn last_expiry(&self) -> Option<Timestamp> {
        self.iter().map(|d| d.expires_at).max()
    }
}

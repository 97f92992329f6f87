//! Application of endpoint list changes to the request table and the `Coordinator`.

use pipitcrank_core::ids::ReplicaId;
use pipitcrank_core::time::Timestamp;

use super::endpoint::Endpoint;
use super::event::{EndpointChange, Event};
use super::request_table::{Command, ReplicaEntry};
use super::state::Exchange;
use super::zones::zone_id;
use crate::runtime::counter_names::{discovery, group};

impl Exchange {
    /// Applies the queued endpoint changes ahead of the next batch.
    pub(super) fn apply_pending_endpoint_changes(&mut self) {
        let events = std::mem::take(&mut self.events);
        let (changes, rest): (Vec<_>, Vec<_>) =
            events.into_iter().partition(|event| matches!(event, Event::EndpointsUpdated(_)));
        self.events = rest;
        for change in changes {
            if let Event::EndpointsUpdated(change) = change {
                self.apply_endpoint_change(change);
            }
        }
    }

    pub(super) fn apply_endpoint_change(&mut self, change: EndpointChange) {
        let EndpointChange { at, complete, endpoints } = change;
        self.coordinator.begin_endpoint_list(complete);
        if complete {
            self.begin_complete_list(at);
        }
        for endpoint in endpoints {
            self.apply_endpoint(at, endpoint);
        }
        self.coordinator.finish_endpoint_list(&mut self.table);
    }

    /// Marks all local replicas as down until the list names them. Entries of remote sites are never in the list, so
    /// they are listed again here.
    fn begin_complete_list(&mut self, at: Timestamp) {
        let local = self.table.replicas.values_mut().filter(|entry| entry.is_local());
        local.for_each(|entry| entry.down_since = entry.down_since.or(Some(at)));
        self.table.audit_local_replicas();
        for (&replica, entry) in self.table.replicas.iter().filter(|(_, entry)| !entry.is_local()) {
            self.coordinator.list_replica(ReplicaId(replica), entry.cell, true, None);
        }
    }

    fn apply_endpoint(&mut self, at: Timestamp, endpoint: Endpoint) {
        let Endpoint { uid, address, cell, zone, up, started } = endpoint;
        let replica = ReplicaId(self.table.replica_uids.intern(&uid));
        let generation = self.table.next_generation();
        let down_since = Some(at);
        let new =
            ReplicaEntry { generation, address: None, cell, zone: None, started, site: None, down_since };
        let entry = self.table.replicas.entry(replica.0).or_insert(new);
        (entry.cell, entry.started) = (cell, started);
        entry.zone = zone.or(entry.zone.take());
        let zone = zone_id(&self.zones, &entry.zone);
        if zone.is_none() && entry.zone.is_some() && !self.zones.is_empty() {
            self.table.counters.add(group::DISCOVERY, discovery::UNKNOWN_ZONE);
        }
        entry.down_since = if up { None } else { entry.down_since.or(Some(at)) };
        if let Some(audit) = &mut self.table.audit {
            audit.replica_listed(replica, entry.down_since);
        }
        if let Some(address) = address.filter(|address| entry.address != Some(*address)) {
            entry.address = Some(address);
            self.table.commands.push(Command::SetAddress(replica, address));
        }
        self.coordinator.list_replica(replica, cell, up, started);
        self.coordinator.set_replica_zone(replica, zone);
    }
}

//! Zones: which replicas stand in which, and how queries are routed among them.

use std::collections::BTreeMap;

use pipitcrank_core::coordinator::zones::{ZoneId, ZoneObservation, ZoneRouting, ZoneTraffic};
use pipitcrank_core::ids::ReplicaId;
use pipitcrank_core::time::Timestamp;

use super::event::Event;
use super::state::Exchange;

/// Id of a zone by its name; none for a name that is not among `zones`.
pub(super) fn zone_id(zones: &[String], name: &Option<String>) -> Option<ZoneId> {
    let position = zones.iter().position(|known| Some(known) == name.as_ref())?;
    Some(ZoneId(position as u16))
}

impl Exchange {
    /// Names all zones, by id. Replicas elsewhere have none.
    pub fn set_zone_names(&mut self, names: Vec<String>) {
        self.zones = names;
        for (&replica, entry) in &self.table.replicas {
            let zone = zone_id(&self.zones, &entry.zone);
            self.coordinator.set_replica_zone(ReplicaId(replica), zone);
        }
    }

    /// Names the zone that stands for each remote site's region: decisions on it narrow the routes there. To be called
    /// before the sites are added.
    pub fn set_site_zones(&mut self, zones: BTreeMap<String, String>) {
        self.site_zones = zones;
    }

    /// Routes queries among zones by these fractions from now on.
    pub fn set_zone_routing(&mut self, routing: ZoneRouting) {
        self.coordinator.set_zone_routing(routing);
    }

    /// What is observed of each zone's replicas, in the zones' order, and the traffic counted since the start.
    pub fn observe_zones(&self, now: Timestamp) -> (Vec<ZoneObservation>, ZoneTraffic) {
        let zones = (0..self.zones.len()).map(|n| ZoneId(n as u16));
        let observations = zones.map(|zone| self.coordinator.observe_zone(now, zone)).collect();
        (observations, self.coordinator.zone_traffic().clone())
    }

    /// Sends load probes to some replicas of a zone that gets no queries.
    pub fn probe_zone(&mut self, zone: ZoneId, max_probes: usize) {
        self.events.push(Event::ZoneProbeRequested { zone, max_probes });
    }
}

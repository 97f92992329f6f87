//! Zones: the assignment of replicas to zones and the routing of queries among zones.

use std::collections::BTreeMap;

use pipitcrank_core::coordinator::zones::{ZoneId, ZoneObservation, ZoneRouting, ZoneTraffic};
use pipitcrank_core::ids::ReplicaId;
use pipitcrank_core::time::Timestamp;

use super::event::Event;
use super::state::Exchange;

/// Id of the zone with this name; `None` if `zones` does not contain the name.
pub(super) fn zone_id(zones: &[String], name: &Option<String>) -> Option<ZoneId> {
    let position = zones.iter().position(|zone| Some(zone) == name.as_ref())?;
    Some(ZoneId(position as u16))
}

impl Exchange {
    /// Sets the names of all zones, in the order of their ids. Replicas in any other zone have no zone id.
    pub fn set_zone_names(&mut self, names: Vec<String>) {
        self.zones = names;
        for (&replica, entry) in &self.table.replicas {
            let zone = zone_id(&self.zones, &entry.zone);
            self.coordinator.set_replica_zone(ReplicaId(replica), zone);
        }
    }

    /// Sets the zone that represents each remote site's region, by site name. Routing decisions about that zone
    /// restrict the forwards to the site. Must be called before the sites are added.
    pub fn set_site_zones(&mut self, zones: BTreeMap<String, String>) {
        self.site_zones = zones;
    }

    /// Sets the fractions by which queries are routed among zones.
    pub fn set_zone_routing(&mut self, routing: ZoneRouting) {
        self.coordinator.set_zone_routing(routing);
    }

    /// Returns the observations of each zone's replicas, in the order of the zones, and the traffic counted since the
    /// start.
    pub fn observe_zones(&self, now: Timestamp) -> (Vec<ZoneObservation>, ZoneTraffic) {
        let zones = (0..self.zones.len()).map(|n| ZoneId(n as u16));
        let observations = zones.map(|zone| self.coordinator.observe_zone(now, zone)).collect();
        (observations, self.coordinator.zone_traffic().clone())
    }

    /// Requests load probes of up to `max_probes` replicas of a zone that gets no queries.
    pub fn probe_zone(&mut self, zone: ZoneId, max_probes: usize) {
        self.events.push(Event::ZoneProbeRequested { zone, max_probes });
    }
}

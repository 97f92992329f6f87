//! The zones from the view of one co-ordinator: its own zone, the other zones of its region, and those of other
//! regions. It reaches each other region through one site.

use std::collections::BTreeMap;

use anyhow::{Result, bail};
use pipitcrank_config::ZonesConfig;
use pipitcrank_core::coordinator::zones::{ZoneFraction, ZoneId, ZoneRouting};
use pipitcrank_failover::decision::FULL_PERMILLE;
use pipitcrank_failover::follower::RoutingPlan;

/// This co-ordinator's zone, as an index into the zones of the operators' file. The platform's configuration takes
/// precedence, and the operators' file must agree with it.
///
/// # Errors
/// The two sources contradict each other, or neither names the zone; the error names the key.
pub(crate) fn own_zone(zones: &ZonesConfig, platform: Option<&(ZoneId, Vec<String>)>) -> Result<usize> {
    if let Some((own, names)) = platform {
        return own_zone_by_platform(zones, *own, names);
    }
    match zones.own_zone.as_deref().and_then(|name| zones.zone_index(name)) {
        Some(own) => Ok(own),
        None => bail!(
            "/zones/zone is missing, and the charter names none; accepted: {}",
            zones.zone_names().join(", ")
        ),
    }
}

fn own_zone_by_platform(zones: &ZonesConfig, own: ZoneId, platform_names: &[String]) -> Result<usize> {
    if let Some(unknown) = platform_names.iter().find(|name| zones.zone_index(name).is_none()) {
        bail!(
            "/zones/zones lacks '{unknown}' of the charter's /settings/zones: {}",
            platform_names.join(", ")
        );
    }
    let names = zones.zone_names();
    let is_extra = |name: &str| !platform_names.iter().any(|known| known == name);
    if let Some((index, extra)) = names.iter().enumerate().find(|(_, name)| is_extra(name)) {
        bail!(
            "/zones/zones/{index}/name is '{extra}', none of the charter's /settings/zones: {}",
            platform_names.join(", ")
        );
    }
    let own = &platform_names[usize::from(own.0)];
    if let Some(configured) = zones.own_zone.as_ref().filter(|configured| *configured != own) {
        bail!("/zones/zone is '{configured}', and the charter's /settings/zone is '{own}'");
    }
    Ok(zones.zone_index(own).unwrap_or(0))
}

/// The region of each zone.
pub(crate) fn regions(zones: &ZonesConfig) -> Vec<String> {
    zones.zones.iter().map(|zone| zone.region.clone()).collect()
}

/// Names, regions and representatives of the zones, by index.
pub(crate) struct ZoneTopology {
    pub(crate) names: Vec<String>,
    /// Index of the own zone.
    pub(crate) own: usize,
    regions: Vec<String>,
    /// The zone that represents each zone here. A zone of this region represents itself. Another region is reached as
    /// one site, whose replicas count as those of the region's first zone, so that zone represents all of the region.
    represented_by: Vec<usize>,
}

impl ZoneTopology {
    pub(crate) fn new(zones: &ZonesConfig, own: usize) -> ZoneTopology {
        let regions = regions(zones);
        let representative = |zone: usize| {
            if regions[zone] == regions[own] {
                return zone;
            }
            regions.iter().position(|region| *region == regions[zone]).unwrap_or(zone)
        };
        let represented_by = (0..regions.len()).map(representative).collect();
        let names = zones.zones.iter().map(|zone| zone.name.clone()).collect();
        ZoneTopology { names, own, regions, represented_by }
    }

    /// The name of a zone of a decision; `?` if the index is unknown.
    pub(crate) fn name(&self, zone: u16) -> &str {
        self.names.get(usize::from(zone)).map_or("?", String::as_str)
    }

    /// Whether a zone is in this co-ordinator's region.
    pub(crate) fn is_in_own_region(&self, zone: usize) -> bool {
        self.regions[zone] == self.regions[self.own]
    }

    /// The sites of other regions, each with the name of the zone that its replicas count towards.
    pub(crate) fn site_zones(&self) -> BTreeMap<String, String> {
        let is_site = |zone: &usize| !self.is_in_own_region(*zone) && self.represented_by[*zone] == *zone;
        let sites = (0..self.names.len()).filter(is_site);
        sites.map(|zone| (self.regions[zone].clone(), self.names[zone].clone())).collect()
    }

    /// Routing to the own zone alone, used before the first decision.
    pub(crate) fn own_zone_routing(&self) -> ZoneRouting {
        let fractions = vec![ZoneFraction { zone: ZoneId(self.own as u16), fraction: 1.0 }];
        ZoneRouting { fractions, ..ZoneRouting::default() }
    }

    /// Converts a routing plan to the form of the exchange.
    pub(crate) fn routing(&self, plan: &RoutingPlan, shed_fractions: Vec<f64>) -> ZoneRouting {
        ZoneRouting { fractions: self.fractions(plan), closed: self.closed_zones(plan), shed_fractions }
    }

    fn fractions(&self, plan: &RoutingPlan) -> Vec<ZoneFraction> {
        let full = f64::from(FULL_PERMILLE);
        let mut fractions = vec![ZoneFraction { zone: ZoneId(self.own as u16), fraction: 0.0 }];
        for planned in &plan.fractions {
            let zone = ZoneId(self.represented_by[usize::from(planned.zone)] as u16);
            let fraction = f64::from(planned.permille) / full;
            match fractions.iter_mut().find(|known| known.zone == zone) {
                Some(known) => known.fraction += fraction,
                None => fractions.push(ZoneFraction { zone, fraction }),
            }
        }
        fractions
    }

    /// The closed zones. Another region is closed if all of its zones are.
    fn closed_zones(&self, plan: &RoutingPlan) -> Vec<ZoneId> {
        let is_closed = |zone: usize| plan.closed_zones.contains(&(zone as u16));
        let zones = 0..self.names.len();
        let all_closed =
            |first: usize| zones.clone().filter(|&zone| self.represented_by[zone] == first).all(is_closed);
        let closed = zones.clone().filter(|&zone| self.represented_by[zone] == zone && all_closed(zone));
        closed.map(|zone| ZoneId(zone as u16)).collect()
    }
}

//! Zones as one co-ordinator sees them: its own, those of its region, and those of other regions, which it reaches through
//! one site each.

use std::collections::BTreeMap;

use anyhow::{Result, bail};
use pipitcrank_config::ZonesConfig;
use pipitcrank_core::coordinator::zones::{ZoneFraction, ZoneId, ZoneRouting};
use pipitcrank_failover::decision::FULL_PERMILLE;
use pipitcrank_failover::follower::RoutingPlan;

/// This co-ordinator's zone, as an index into the operators' list: from the operators' file, else from the platform.
///
/// # Errors
/// What the two say of zones contradicts itself; named by its key.
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

/// Zones by index, as one co-ordinator sees them.
pub(crate) struct ZoneTopology {
    pub(crate) names: Vec<String>,
    /// Index of the own zone.
    pub(crate) own: usize,
    regions: Vec<String>,
    /// By zone: the one whose replicas represent it here. A zone of this region represents itself, a zone of another region
    /// is represented by the region's first: a site is a region, and its replicas represent all of its zones.
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

    /// The name of a zone of a decision; `?` where there is none.
    pub(crate) fn name(&self, zone: u16) -> &str {
        self.names.get(usize::from(zone)).map_or("?", String::as_str)
    }

    /// Whether a zone is of this co-ordinator's region.
    pub(crate) fn is_in_own_region(&self, zone: usize) -> bool {
        self.regions[zone] == self.regions[self.own]
    }

    /// The sites of other regions, each with the name of the zone that its replicas count as.
    pub(crate) fn site_zones(&self) -> BTreeMap<String, String> {
        let is_site = |zone: &usize| !self.is_in_own_region(*zone) && self.represented_by[*zone] == *zone;
        let sites = (0..self.names.len()).filter(is_site);
        sites.map(|zone| (self.regions[zone].clone(), self.names[zone].clone())).collect()
    }

    /// Routing to the own zone alone, as before any decision.
    pub(crate) fn own_zone_routing(&self) -> ZoneRouting {
        let fractions = vec![ZoneFraction { zone: ZoneId(self.own as u16), fraction: 1.0 }];
        ZoneRouting { fractions, ..ZoneRouting::default() }
    }

    /// A plan as the exchange takes it.
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

    /// Closed zones; a region is closed when all of its zones are.
    fn closed_zones(&self, plan: &RoutingPlan) -> Vec<ZoneId> {
        let is_closed = |zone: usize| plan.closed_zones.contains(&(zone as u16));
        let zones = 0..self.names.len();
        let all_closed =
            |first: usize| zones.clone().filter(|&zone| self.represented_by[zone] == first).all(is_closed);
        let closed = zones.clone().filter(|&zone| self.represented_by[zone] == zone && all_closed(zone));
        closed.map(|zone| ZoneId(zone as u16)).collect()
    }
}

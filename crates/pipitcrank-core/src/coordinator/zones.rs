//! Zones: selects the zone that a query is routed to, excludes closed zones, and counts the traffic per zone.
//! The fractions come from elsewhere: from the common decision of all co-ordinators (`pipitcrank-failover`)
//! or from the configuration.

use crate::rng::Rng;

/// A zone, by its index in the configured list of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// Fraction of the queries that are routed to a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFraction {
    /// Zone that the fraction applies to.
    pub zone: ZoneId,
    /// Fraction of the queries, from 0 to 1.
    pub fraction: f64,
}

/// Routing of queries to zones by this co-ordinator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneRouting {
    /// Zones in use, nearest first. If empty, zones are ignored.
    pub fractions: Vec<ZoneFraction>,
    /// Zones to which nothing is sent.
    pub closed: Vec<ZoneId>,
    /// Fraction of queries, 0 to 1, that are rejected before anything is sent for them, by request class in
    /// their order. It sheds load that the remaining zones cannot carry.
    pub shed_fractions: Vec<f64>,
}

/// Counts of queries and their parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTraffic {
    /// Queries that arrived.
    pub queries: u64,
    /// Parts of the queries that arrived.
    pub parts: u64,
}

/// Counters since the start of the process, from which callers derive rates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneTraffic {
    /// Arrivals by request class, including queries that were shed.
    pub requested: Vec<RequestTraffic>,
    /// Answered parts by zone of the replica.
    pub answered_parts: Vec<u64>,
    /// Parts sent to replicas of the nearest zone.
    pub same_zone_parts: u64,
    /// Parts sent to replicas of other zones.
    pub cross_zone_parts: u64,
}

/// Replicas of one zone, classified by the latest observations of this co-ordinator. Replicas not contacted
/// recently are counted in `listed` only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneObservation {
    /// All listed replicas.
    pub listed: u32,
    /// Replicas that responded recently and are not unresponsive, failing or saturated.
    pub responsive: u32,
    /// Replicas that did not respond to attempts or probes.
    pub unresponsive: u32,
    /// Replicas that are ejected for faults or cannot be reached.
    pub failing: u32,
    /// Replicas with a lag similar to that of a replica that rejects attempts for lack of capacity.
    pub saturated: u32,
    /// Replicas that are warming up, and are therefore in slow start.
    pub warming_up: u32,
    /// Replicas that responded within the last half second.
    pub recently_responded: u32,
    /// Replicas with at least one recent unanswered attempt or probe, which may not be enough for
    /// `unresponsive`.
    pub suspected: u32,
    /// Outstanding attempts.
    pub outstanding: u32,
    /// Work of a typical part, in milliseconds.
    pub part_work_ms: u32,
}

/// Routes queries to zones and counts the traffic.
#[derive(Default)]
pub(super) struct ZoneRouter {
    routing: ZoneRouting,
    traffic: ZoneTraffic,
}

impl ZoneRouter {
    /// Resolution of drawn fractions: finer than the number of queries that a co-ordinator sends in a second.
    const FRACTION_STEPS: usize = 1000;

    /// Replaces the routing and returns whether it changed.
    pub(super) fn set_routing(&mut self, routing: ZoneRouting) -> bool {
        let is_changed = self.routing != routing;
        self.routing = routing;
        is_changed
    }

    pub(super) fn traffic(&self) -> &ZoneTraffic {
        &self.traffic
    }

    /// Draws the zone for a query. No random number is consumed if there is at most one zone.
    pub(super) fn draw_zone(&self, rng: &mut Rng) -> Option<ZoneId> {
        let fractions = &self.routing.fractions;
        if fractions.len() < 2 {
            return self.nearest();
        }
        let mut drawn = rng.below(Self::FRACTION_STEPS) as f64 / Self::FRACTION_STEPS as f64;
        for &ZoneFraction { zone, fraction } in fractions {
            if drawn < fraction {
                return Some(zone);
            }
            drawn -= fraction;
        }
        // The fractions may add up to slightly less than one because of rounding.
        fractions.iter().max_by(|a, b| a.fraction.total_cmp(&b.fraction)).map(|f| f.zone)
    }

    /// Draws whether a query of the request class is shed. No random number is consumed if the class sheds
    /// nothing.
    pub(super) fn draw_shed(&self, rng: &mut Rng, class: usize) -> bool {
        let fraction = self.routing.shed_fractions.get(class).copied().unwrap_or(0.0);
        let steps = Self::FRACTION_STEPS as f64;
        fraction > 0.0 && (rng.below(Self::FRACTION_STEPS) as f64) < fraction * steps
    }

    pub(super) fn is_closed(&self, zone: Option<ZoneId>) -> bool {
        zone.is_some_and(|zone| self.routing.closed.contains(&zone))
    }

    pub(super) fn count_request(&mut self, class: usize, parts: f64) {
        let traffic = entry(&mut self.traffic.requested, class);
        traffic.queries += 1;
        traffic.parts += parts.max(0.0) as u64;
    }

    /// Counts a part sent to a replica of the zone.
    pub(super) fn count_sent(&mut self, zone: Option<ZoneId>) {
        let (Some(zone), Some(nearest)) = (zone, self.nearest()) else { return };
        if zone == nearest {
            self.traffic.same_zone_parts += 1;
        } else {
            self.traffic.cross_zone_parts += 1;
        }
    }

    /// Counts a part answered by a replica of the zone. The number of zones is bounded by
    /// `config::MAX_ZONES`.
    pub(super) fn count_answered(&mut self, zone: Option<ZoneId>) {
        if let Some(zone) = zone {
            *entry(&mut self.traffic.answered_parts, usize::from(zone.0)) += 1;
        }
    }

    fn nearest(&self) -> Option<ZoneId> {
        self.routing.fractions.first().map(|f| f.zone)
    }
}

/// Returns the entry at the index, and extends the list with default entries if needed.
fn entry<T: Clone + Default>(list: &mut Vec<T>, index: usize) -> &mut T {
    if list.len() <= index {
        list.resize(index + 1, T::default());
    }
    &mut list[index]
}

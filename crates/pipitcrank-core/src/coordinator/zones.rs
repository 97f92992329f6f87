//! Zones: which one a query is routed to, which are closed, and what is counted for each. The fractions are decided
//! elsewhere: by all co-ordinators in common (`pipitcrank-failover`), or by configuration.

use crate::rng::Rng;

/// A zone, by its index in the list of zones configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// The fraction of queries that is routed to a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFraction {
    /// The zone.
    pub zone: ZoneId,
    /// From 0 to 1.
    pub fraction: f64,
}

/// How queries are routed to zones from here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneRouting {
    /// The zones in use, the nearest first. Empty: zones are not regarded.
    pub fractions: Vec<ZoneFraction>,
    /// Zones that nothing is sent to.
    pub closed: Vec<ZoneId>,
    /// Fraction of queries, 0 to 1, that is rejected before anything is sent for it, by request class in their order:
    /// load that the zones left can't carry.
    pub shed_fractions: Vec<f64>,
}

/// Queries and their parts, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTraffic {
    /// Queries that arrived.
    pub queries: u64,
    /// Their parts.
    pub parts: u64,
}

/// Counts since the start of the process, for callers that derive rates from them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneTraffic {
    /// What arrived, by request class; what was shed is counted.
    pub requested: Vec<RequestTraffic>,
    /// Parts answered, by zone of the replica.
    pub answered_parts: Vec<u64>,
    /// Parts sent to replicas of the nearest zone.
    pub same_zone_parts: u64,
    /// Parts sent to replicas of other zones.
    pub cross_zone_parts: u64,
}

/// Replicas of one zone by what this co-ordinator last saw of each. Replicas not contacted of late are in `listed` alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneObservation {
    /// All replicas listed.
    pub listed: u32,
    /// Heard of lately and none of the following.
    pub responsive: u32,
    /// Attempts or probes came to nothing.
    pub unresponsive: u32,
    /// Ejected for faults, or out of reach.
    pub failing: u32,
    /// With a lag as of a replica that rejects attempts for lack of capacity.
    pub overloaded: u32,
    /// Warming up.
    pub in_slow_start: u32,
    /// Heard of within half a second.
    pub recently_responded: u32,
    /// At least one attempt or probe came to nothing of late, which may be too little for `silent`.
    pub suspected: u32,
    /// Attempts out.
    pub outstanding: u32,
    /// Work of a usual part, in milliseconds.
    pub part_work_ms: u32,
}

/// Routes queries to zones and counts what goes where.
#[derive(Default)]
pub(super) struct ZoneRouter {
    routing: ZoneRouting,
    traffic: ZoneTraffic,
}

impl ZoneRouter {
    /// Steps in which fractions are drawn: finer than what any co-ordinator sends in a second.
    const FRACTION_STEPS: usize = 1000;

    /// Returns whether anything changed.
    pub(super) fn set_routing(&mut self, routing: ZoneRouting) -> bool {
        let is_changed = self.routing != routing;
        self.routing = routing;
        is_changed
    }

    pub(super) fn traffic(&self) -> &ZoneTraffic {
        &self.traffic
    }

    /// Draws the zone that a query is routed to. Nothing is drawn where there is but one.
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
        // The fractions may fall short of one by rounding.
        fractions.iter().max_by(|a, b| a.fraction.total_cmp(&b.fraction)).map(|f| f.zone)
    }

    /// Draws whether a query of the request class is shed. Nothing is drawn where none are.
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

    /// A part is sent to a replica of that zone.
    pub(super) fn count_sent(&mut self, zone: Option<ZoneId>) {
        let (Some(zone), Some(nearest)) = (zone, self.nearest()) else { return };
        if zone == nearest {
            self.traffic.same_zone_parts += 1;
        } else {
            self.traffic.cross_zone_parts += 1;
        }
    }

    /// A part was answered by a replica of that zone. Zones are few (`config::MAX_ZONES`).
    pub(super) fn count_answered(&mut self, zone: Option<ZoneId>) {
        if let Some(zone) = zone {
            *entry(&mut self.traffic.answered_parts, usize::from(zone.0)) += 1;
        }
    }

    fn nearest(&self) -> Option<ZoneId> {
        self.routing.fractions.first().map(|f| f.zone)
    }
}

/// The entry at the index, with all before it made where they are missing.
fn entry<T: Clone + Default>(list: &mut Vec<T>, index: usize) -> &mut T {
    if list.len() <= index {
        list.resize(index + 1, T::default());
    }
    &mut list[index]
}

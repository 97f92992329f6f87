//! Evidence on zones from what the exchange observes: counts of replicas, rates of traffic.

use pipitcrank_core::coordinator::zones::{RequestTraffic, ZoneObservation, ZoneTraffic};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_failover::routing_table::ClassLoad;
use pipitcrank_membership::evidence::ReplicaCounts;

use crate::zone_topology::ZoneTopology;

/// Replicas probed of a zone that is closed or suspected, each time evidence is gathered: all reporters together reach
/// each replica of some dozens within a second.
const PROBES_OF_DOUBTFUL_ZONE: usize = 8;
/// Replicas probed of a zone of which little was heard recently, as all but the own are on calm days: each replica of
/// some is reached each second, so that the zone's loss is known before it is needed.
const PROBES_OF_QUIET_ZONE: usize = 2;
/// A zone is suspected where one in so many of its replicas left something unanswered.
const SUSPECTED_RATIO: u32 = 4;
/// A zone is quiet where fewer than one in so many of its replicas was heard from recently.
const QUIET_RATIO: u32 = 2;
/// Rates are averaged over this time: shorter ones jump with single queries.
const RATE_WINDOW: TimeSpan = TimeSpan::from_millis(2000);
/// Stands for no parts a second where a rate is divided by.
const MIN_RATE: f64 = 1e-9;

/// Replicas of a zone to be probed now, so that its state is known; none where it is.
pub(crate) fn probes_needed(observed: &ZoneObservation, is_closed: bool) -> Option<usize> {
    let is_quiet = observed.recently_responded * QUIET_RATIO < observed.listed;
    let is_suspected = observed.suspected * SUSPECTED_RATIO >= observed.listed && observed.suspected > 0;
    if is_closed || is_suspected {
        return Some(PROBES_OF_DOUBTFUL_ZONE);
    }
    is_quiet.then_some(PROBES_OF_QUIET_ZONE)
}

/// Queries and parts a second of one request class.
#[derive(Clone, Copy, Default)]
struct ClassRate {
    queries: f64,
    parts: f64,
}

/// Rates from counts that only grow.
pub(crate) struct EvidenceCollector {
    last_update: Timestamp,
    last_traffic: ZoneTraffic,
    /// Parts that clients request, a second.
    demand: f64,
    /// Parts answered a second, by zone.
    answered: Vec<f64>,
    by_class: Vec<ClassRate>,
}

impl EvidenceCollector {
    pub(crate) fn new(now: Timestamp) -> EvidenceCollector {
        EvidenceCollector {
            last_update: now,
            last_traffic: ZoneTraffic::default(),
            demand: 0.0,
            answered: Vec::new(),
            by_class: Vec::new(),
        }
    }

    /// Takes the exchange's counts of traffic into the rates.
    pub(crate) fn update(&mut self, now: Timestamp, traffic: &ZoneTraffic) {
        let passed = (now - self.last_update).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        self.last_update = now;
        let before = std::mem::replace(&mut self.last_traffic, traffic.clone());
        // The newest rate weighs as its time does in the window.
        let weight = (passed / RATE_WINDOW.as_secs_f64()).min(1.0);
        let blend = |rate: &mut f64, more: u64| *rate += weight * (more as f64 / passed - *rate);
        let of = |list: &[RequestTraffic], class: usize| list.get(class).copied().unwrap_or_default();
        self.by_class.resize(traffic.requested.len(), ClassRate::default());
        for (class, rate) in self.by_class.iter_mut().enumerate() {
            let (newest, before) = (of(&traffic.requested, class), of(&before.requested, class));
            blend(&mut rate.queries, newest.queries - before.queries);
            blend(&mut rate.parts, newest.parts - before.parts);
        }
        self.demand = self.by_class.iter().map(|rate| rate.parts).sum();
        self.answered.resize(traffic.answered_parts.len(), 0.0);
        for (zone, rate) in self.answered.iter_mut().enumerate() {
            let known = before.answered_parts.get(zone).copied().unwrap_or(0);
            blend(rate, traffic.answered_parts[zone] - known);
        }
    }

    /// Parts that clients request, a second.
    pub(crate) fn demand(&self) -> u32 {
        self.demand.round() as u32
    }

    /// What is reported of each zone. Of another region only its site is seen here, which tells nothing of one of its
    /// zones.
    pub(crate) fn replica_counts(
        &self,
        topology: &ZoneTopology,
        observed: &[ZoneObservation],
    ) -> Vec<ReplicaCounts> {
        let counts = |(zone, observed): (usize, &ZoneObservation)| {
            if !topology.is_in_own_region(zone) {
                return ReplicaCounts::default();
            }
            replica_counts(observed, self.answered_parts(zone))
        };
        observed.iter().enumerate().map(counts).collect()
    }

    fn answered_parts(&self, zone: usize) -> u32 {
        self.answered.get(zone).copied().unwrap_or(0.0).round() as u32
    }

    /// Of each request class, its fraction of the parts and its priority weight a part.
    pub(crate) fn class_loads(&self, priority_weights: &[f64]) -> Vec<ClassLoad> {
        let all = self.demand.max(MIN_RATE);
        let load = |(class, rate): (usize, &ClassRate)| {
            let weight = priority_weights.get(class).copied().unwrap_or(1.0);
            ClassLoad {
                work_fraction: rate.parts / all,
                priority_weight: weight * rate.queries / rate.parts.max(MIN_RATE),
            }
        };
        self.by_class.iter().enumerate().map(load).collect()
    }
}

fn replica_counts(observed: &ZoneObservation, answered_parts: u32) -> ReplicaCounts {
    let small = |n: u32| n.min(u32::from(u16::MAX)) as u16;
    ReplicaCounts {
        listed: small(observed.listed),
        responsive: small(observed.responsive),
        unresponsive: small(observed.unresponsive),
        failing: small(observed.failing),
        saturated: small(observed.saturated),
        warming_up: small(observed.warming_up),
        answered_parts,
    }
}

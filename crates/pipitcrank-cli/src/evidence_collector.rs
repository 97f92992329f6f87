//! Evidence on the zones, collected from the exchange: replica counts and traffic rates.

use pipitcrank_core::coordinator::zones::{RequestTraffic, ZoneObservation, ZoneTraffic};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_failover::routing_table::ClassLoad;
use pipitcrank_membership::evidence::ReplicaCounts;

use crate::zone_topology::ZoneTopology;

/// Number of replicas probed in a closed or suspected zone on each report of evidence. With this number the reporters
/// together probe each of several dozen replicas within a second.
const SUSPECTED_ZONE_PROBES: usize = 8;
/// Number of replicas probed in a quiet zone on each report of evidence. Without faults all zones but the own one are
/// quiet. With this number each of a few replicas is probed every second, so that the loss of the zone is detected
/// before traffic has to be moved there.
const QUIET_ZONE_PROBES: usize = 2;
/// A zone is suspected if at least one in this many of its replicas left an attempt or probe unanswered.
const SUSPECTED_RATIO: u32 = 4;
/// A zone is quiet if fewer than one in this many of its replicas responded recently.
const QUIET_RATIO: u32 = 2;
/// Averaging window of the rates. Over shorter windows single queries make the rates jump.
const RATE_WINDOW: TimeSpan = TimeSpan::from_millis(2000);
/// Lower bound of a rate, in parts per second, where it is a divisor.
const MIN_RATE: f64 = 1e-9;

/// Number of replicas of the zone to probe now; `None` if regular traffic shows the zone's state.
pub(crate) fn probes_needed(observed: &ZoneObservation, is_closed: bool) -> Option<usize> {
    let is_quiet = observed.recently_responded * QUIET_RATIO < observed.listed;
    let is_suspected = observed.suspected * SUSPECTED_RATIO >= observed.listed && observed.suspected > 0;
    if is_closed || is_suspected {
        return Some(SUSPECTED_ZONE_PROBES);
    }
    is_quiet.then_some(QUIET_ZONE_PROBES)
}

/// Queries and parts per second of one request class.
#[derive(Clone, Copy, Default)]
struct ClassRate {
    queries: f64,
    parts: f64,
}

/// Derives traffic rates from cumulative counts.
pub(crate) struct EvidenceCollector {
    last_update: Timestamp,
    last_traffic: ZoneTraffic,
    /// Parts per second requested by clients.
    demand: f64,
    /// Answered parts per second, by zone.
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

    /// Updates the rates from the exchange's traffic counts.
    pub(crate) fn update(&mut self, now: Timestamp, traffic: &ZoneTraffic) {
        let elapsed = (now - self.last_update).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.last_update = now;
        let before = std::mem::replace(&mut self.last_traffic, traffic.clone());
        // Moving average: the newest rate has the weight of its time span within the window.
        let weight = (elapsed / RATE_WINDOW.as_secs_f64()).min(1.0);
        let blend = |rate: &mut f64, added: u64| *rate += weight * (added as f64 / elapsed - *rate);
        let class_count =
            |list: &[RequestTraffic], class: usize| list.get(class).copied().unwrap_or_default();
        self.by_class.resize(traffic.requested.len(), ClassRate::default());
        for (class, rate) in self.by_class.iter_mut().enumerate() {
            let (newest, before) =
                (class_count(&traffic.requested, class), class_count(&before.requested, class));
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

    /// Parts per second requested by clients.
    pub(crate) fn demand(&self) -> u32 {
        self.demand.round() as u32
    }

    /// Replica counts to report, by zone. The counts of zones in other regions are zero, since another region is
    /// visible here only as one site.
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

    /// The fraction of all parts and the priority weight per part, by request class.
    pub(crate) fn class_loads(&self, priority_weights: &[f64]) -> Vec<ClassLoad> {
        let total = self.demand.max(MIN_RATE);
        let load = |(class, rate): (usize, &ClassRate)| {
            let weight = priority_weights.get(class).copied().unwrap_or(1.0);
            ClassLoad {
                work_fraction: rate.parts / total,
                priority_weight: weight * rate.queries / rate.parts.max(MIN_RATE),
            }
        };
        self.by_class.iter().enumerate().map(load).collect()
    }
}

fn replica_counts(observed: &ZoneObservation, answered_parts: u32) -> ReplicaCounts {
    let saturating = |n: u32| n.min(u32::from(u16::MAX)) as u16;
    ReplicaCounts {
        listed: saturating(observed.listed),
        responsive: saturating(observed.responsive),
        unresponsive: saturating(observed.unresponsive),
        failing: saturating(observed.failing),
        saturated: saturating(observed.saturated),
        warming_up: saturating(observed.warming_up),
        answered_parts,
    }
}

//! Report of the experiment. Its JSON keys are part of the public interface and must not change.

use std::collections::BTreeMap;

use pipitcrank_failover::decision::ZoneState;
use serde::Serialize;

use super::parameters::{END_S, OUTAGE};
use super::run::{Run, Runs};
use super::world::World;

/// Times from the first node that applies a decision until nearly all nodes have applied it, over all
/// decisions. Serialized as a list of the two values.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct SpreadTimes {
    /// Median in seconds.
    pub median_s: f64,
    /// Maximum in seconds.
    pub max_s: f64,
}

impl From<SpreadTimes> for (f64, f64) {
    fn from(times: SpreadTimes) -> (f64, f64) {
        (times.median_s, times.max_s)
    }
}

/// Fractions of the demand answered in time. Serialized as a list of the two values.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct ServiceFractions {
    /// Fraction during the outage.
    pub in_outage: f64,
    /// Fraction from the start of the outage to the end of the run.
    pub to_end: f64,
}

impl From<ServiceFractions> for (f64, f64) {
    fn from(service: ServiceFractions) -> (f64, f64) {
        (service.in_outage, service.to_end)
    }
}

/// Measured values, in the order of their output. Values that are not given by mode are those with the common
/// decision.
#[derive(Clone, Debug, Serialize)]
pub struct ZonesReport {
    /// Number of nodes.
    #[serde(rename = "copies")]
    pub nodes: usize,
    /// Number of zones.
    pub zones: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Seconds from the start of the outage to the first decision in which the zone is suspected.
    #[serde(rename = "suspected_s")]
    pub time_to_suspect_s: Option<f64>,
    /// Seconds from the start of the outage to the first decision in which the zone is out of service.
    #[serde(rename = "out_s")]
    pub time_to_remove_s: Option<f64>,
    /// Seconds from the start of the outage until nearly all nodes have applied the lowest-numbered
    /// decision in which the zone is out of service.
    #[serde(rename = "moved_s")]
    pub time_to_move_s: Option<f64>,
    /// Seconds from the restart of the replicas until the zone receives its even share of the load.
    #[serde(rename = "home_s")]
    pub time_to_return_s: Option<f64>,
    /// Times for a decision to spread.
    #[serde(rename = "spread_s")]
    pub spread: SpreadTimes,
    /// Number of decisions.
    pub decisions: usize,
    /// Datagrams per second and node before the outage.
    #[serde(rename = "datagrams_calm")]
    pub datagrams_before_outage: f64,
    /// Bytes per second and node before the outage.
    #[serde(rename = "bytes_calm")]
    pub bytes_before_outage: f64,
    /// Datagrams per second and node over the whole run.
    pub datagrams: f64,
    /// Bytes per second and node over the whole run.
    pub bytes: f64,
    /// Bytes per second sent by the busiest node over the whole run.
    #[serde(rename = "bytes_busiest")]
    pub busiest_node_bytes: f64,
    /// Fractions of the demand answered in time, by mode.
    pub service: BTreeMap<&'static str, ServiceFractions>,
    /// Highest load of a zone whose replicas have not failed, as a fraction of its capacity, by mode.
    #[serde(rename = "peak")]
    pub peak_load: BTreeMap<&'static str, f64>,
    /// Parts sent to warming replicas beyond the slow-start allowance, by mode.
    #[serde(rename = "cold_pushed_over")]
    pub slow_start_excess: BTreeMap<&'static str, f64>,
    /// Number of times that different decisions had the same number.
    #[serde(rename = "two_under_one_number")]
    pub conflicting_decisions: u64,
    /// Number of times that a node changed from a decision to an older one.
    #[serde(rename = "older_acted_on")]
    pub decision_regressions: u64,
}

impl ZonesReport {
    pub(super) fn new(nodes: usize, zones: usize, seed: u64, runs: &Runs) -> ZonesReport {
        let common = &runs.common;
        let world = &common.world;
        let zone = common.failing_zone;
        let per_node = nodes as f64;
        let sent = world.network.sent;
        ZonesReport {
            nodes,
            zones,
            seed,
            time_to_suspect_s: first_decision(world, zone, ZoneState::Suspected),
            time_to_remove_s: first_decision(world, zone, ZoneState::OutOfService),
            time_to_move_s: time_to_move(world, zone),
            time_to_return_s: common.time_to_return_s,
            spread: spread_times(world),
            decisions: world.decision_log.decisions.len(),
            datagrams_before_outage: common.traffic_before_outage.datagrams as f64 / per_node / OUTAGE.start,
            bytes_before_outage: common.traffic_before_outage.bytes as f64 / per_node / OUTAGE.start,
            datagrams: sent.datagrams as f64 / per_node / END_S,
            bytes: sent.bytes as f64 / per_node / END_S,
            busiest_node_bytes: common.busiest_node_bytes() as f64 / END_S,
            service: by_mode(runs, |run| ServiceFractions {
                in_outage: run.service_in_outage.fraction(),
                to_end: run.service_to_end.fraction(),
            }),
            peak_load: by_mode(runs, |run| run.peak_load),
            slow_start_excess: by_mode(runs, Run::slow_start_excess),
            conflicting_decisions: world.decision_log.conflicts,
            decision_regressions: world.decision_log.regressions,
        }
    }
}

/// Evaluates a value for each run, by the name of its mode.
fn by_mode<T>(runs: &Runs, value: impl Fn(&Run) -> T) -> BTreeMap<&'static str, T> {
    runs.by_mode().into_iter().map(|(name, run)| (name, value(run))).collect()
}

/// Seconds from the start of the outage to the first decision in which the zone has this state.
fn first_decision(world: &World, zone: usize, state: ZoneState) -> Option<f64> {
    let decisions = world.decision_log.decisions.values();
    let since_outage = decisions
        .filter(|decision| decision.at.as_secs_f64() >= OUTAGE.start && decision.zones[zone].state == state);
    since_outage.map(|decision| decision.at.as_secs_f64() - OUTAGE.start).min_by(f64::total_cmp)
}

/// Seconds from the start of the outage until nearly all nodes have applied the lowest-numbered decision in
/// which the zone is out of service.
fn time_to_move(world: &World, zone: usize) -> Option<f64> {
    let log = &world.decision_log;
    let (number, _) = log.decisions.iter().find(|(_, decision)| {
        let state = decision.zones[zone].state;
        decision.at.as_secs_f64() >= OUTAGE.start && state == ZoneState::OutOfService
    })?;
    let spread = log.applications.get(number)?.spread?;
    Some(spread.as_secs_f64() - OUTAGE.start)
}

fn spread_times(world: &World) -> SpreadTimes {
    let applications = world.decision_log.applications.values();
    let mut times: Vec<f64> = applications
        .filter_map(|application| Some((application.spread? - application.first).as_secs_f64()))
        .collect();
    times.sort_by(f64::total_cmp);
    SpreadTimes {
        median_s: times.get(times.len() / 2).copied().unwrap_or(0.0),
        max_s: times.last().copied().unwrap_or(0.0),
    }
}

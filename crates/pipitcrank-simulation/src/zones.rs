//! Experiment `zones`: the replicas of a zone fail under load and later restart cold. The experiment runs in
//! each [`RoutingMode`] with the same seed. It measures the times to decide and to move the load, the
//! datagrams and bytes sent per node, the service and the load of the zones.
//!
//! Single attempts are not simulated, because of the number of nodes. The experiment uses a simpler model: a
//! part sent to a failed zone is retried in another zone within the retry budget, or else stays unanswered.
//! Each node detects the outage of a zone after its own delay of some tenths of a second. In the modes
//! [`RoutingMode::CommonDecision`] and [`RoutingMode::IgnoreZones`] it then divides the parts of that zone
//! evenly among the others. In [`RoutingMode::Independent`] a node whose own zone fails sends to the other
//! zones and probes its own zone from time to time. With the common decision a zone stays closed until there
//! is evidence that it has recovered.

mod decision_log;
mod node;
mod parameters;
mod report;
mod run;
mod world;

pub use node::RoutingMode;
pub use report::{ServiceFractions, SpreadTimes, ZonesReport};

use crate::plot::Series;
use run::Runs;

/// Results of the experiment.
pub struct ZonesExperiment {
    /// Measured values.
    pub report: ZonesReport,
    /// Fraction of the demand answered in time, by mode.
    pub service: Vec<Series>,
    /// Load of each zone as a fraction of its capacity, with the common decision.
    pub load: Vec<Series>,
}

/// Runs the experiment with `nodes` nodes in `zones` zones.
pub fn run_experiment(nodes: usize, zones: usize, seed: u64) -> ZonesExperiment {
    let runs = Runs::simulate(nodes, zones, seed);
    let report = ZonesReport::new(nodes, zones, seed, &runs);
    let service = runs.by_mode().map(|(name, run)| Series { name: name.into(), points: run.service.clone() });
    let zone_load = |(zone, points)| Series { name: format!("zone {zone}"), points };
    let load = runs.common.load.into_iter().enumerate().map(zone_load).collect();
    ZonesExperiment { report, service: service.into(), load }
}

#[cfg(test)]
mod tests;

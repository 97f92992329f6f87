//! The experiment `zones`: the replicas of a zone fail under load and come back cold. It is played in each
//! [`RoutingMode`] from one seed; measured are the time to decide and to move, messages and bytes of a node, service and
//! load.
//!
//! Single attempts are not played at this size. In their place: a part sent to a failed zone is retried elsewhere within
//! the retry budget, and is not answered otherwise; each node notices a zone's silence at a moment of its own, some tenths
//! of a second after it began, and then sends that zone's parts evenly to the others, in any mode. In
//! [`RoutingMode::Independent`] a node probes its own zone now and then; by the common decision a zone stays closed until
//! evidence says otherwise.

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

/// What the experiment came to.
pub struct ZonesExperiment {
    /// The figures.
    pub report: ZonesReport,
    /// In each mode, the fraction of the demand that is answered in time.
    pub service: Vec<Series>,
    /// By the common decision, the load of each zone as a fraction of its capacity.
    pub load: Vec<Series>,
}

/// Plays the experiment with `nodes` nodes in `zones` zones.
pub fn run_experiment(nodes: usize, zones: usize, seed: u64) -> ZonesExperiment {
    let runs = Runs::play(nodes, zones, seed);
    let report = ZonesReport::new(nodes, zones, seed, &runs);
    let service = runs.by_mode().map(|(name, run)| Series { name: name.into(), points: run.service.clone() });
    let zone_load = |(zone, points)| Series { name: format!("zone {zone}"), points };
    let load = runs.common.load.into_iter().enumerate().map(zone_load).collect();
    ZonesExperiment { report, service: service.into(), load }
}

#[cfg(test)]
mod tests;

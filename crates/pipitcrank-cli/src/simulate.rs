//! `pipitcrank lab`: runs an experiment in simulated time.

use std::path::PathBuf;

use anyhow::{Context, Result};
use pipitcrank_simulation::plot::{self, Chart};
use pipitcrank_simulation::zones::{ZonesExperiment, run_experiment};

use crate::exit_code;

/// Largest number of co-ordinators in an experiment. A run with more takes hours.
const MAX_NODES: usize = 10_000;
/// Title of the service chart.
const SERVICE_TITLE: &str = "share of what was asked that was answered in time";
/// Title of the load chart.
const LOAD_TITLE: &str = "load of each zone against what it bears, by the common decision";

/// Parameters of an experiment.
pub(crate) struct Experiment {
    pub(crate) name: String,
    /// Number of co-ordinators.
    pub(crate) nodes: usize,
    pub(crate) zones: usize,
    pub(crate) seed: u64,
    /// File to write the figures to, as JSON.
    pub(crate) json: Option<PathBuf>,
    /// File to write the charts of service and load over time to, as SVG.
    pub(crate) plot: Option<PathBuf>,
}

impl Experiment {
    /// Runs the experiment and prints its figures.
    pub(crate) fn run(&self) -> Result<i32> {
        let Experiment { name, nodes, zones, seed, json, plot } = self;
        anyhow::ensure!(name == "zones", "no experiment is named '{name}'; there is: zones");
        anyhow::ensure!((*zones..=MAX_NODES).contains(nodes), "{nodes} copies, not {zones} to {MAX_NODES}");
        let ZonesExperiment { report, service, load } = run_experiment(*nodes, *zones, *seed);
        let text = serde_json::to_string_pretty(&report)?;
        println!("{text}");
        if let Some(path) = json {
            std::fs::write(path, &text).with_context(|| path.display().to_string())?;
        }
        if let Some(path) = plot {
            let service = Chart { title: SERVICE_TITLE, series: &service };
            let load = Chart { title: LOAD_TITLE, series: &load };
            plot::draw(path, service, load)?;
        }
        Ok(exit_code::SUCCESS)
    }
}

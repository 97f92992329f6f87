//! `pipitcrank lab`: plays an experiment in simulated time.

use std::path::PathBuf;

use anyhow::{Context, Result};
use pipitcrank_simulation::plot::{self, Chart};
use pipitcrank_simulation::zones::{ZonesExperiment, run_experiment};

use crate::exit_code;

/// Most co-ordinators that an experiment is played with: more take hours.
const MAX_NODES: usize = 10_000;
/// Titles of the picture's charts.
const SERVICE_TITLE: &str = "share of what was asked that was answered in time";
/// See [`SERVICE_TITLE`].
const LOAD_TITLE: &str = "load of each zone against what it bears, by the common decision";

/// An experiment to be played.
pub(crate) struct Experiment {
    pub(crate) name: String,
    /// Number of co-ordinators.
    pub(crate) nodes: usize,
    pub(crate) zones: usize,
    pub(crate) seed: u64,
    /// Where figures go as JSON.
    pub(crate) json: Option<PathBuf>,
    /// Where service and load over time go as a picture.
    pub(crate) plot: Option<PathBuf>,
}

impl Experiment {
    /// Plays it and prints its figures.
    pub(crate) fn play(&self) -> Result<i32> {
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

//! `pipitcrank lab`: plays an experiment in simulated time.

use std::path::PathBuf;

use anyhow::{Context, Result};

use crate::exit_code;

/// Most co-ordinators that an experiment is played with: more take hours.
const MAX_NODES: usize = 10_000;

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
        let (figures, lines) = pipitcrank_simulation::zones::play(*nodes, *zones, *seed);
        let text = serde_json::to_string_pretty(&figures)?;
        println!("{text}");
        if let Some(path) = json {
            std::fs::write(path, &text).with_context(|| path.display().to_string())?;
        }
        if let Some(path) = plot {
            let service = ("share of what was asked that was answered in time", &lines.service[..]);
            let load = ("load of each zone against what it bears, by the common decision", &lines.load[..]);
            pipitcrank_simulation::plot::draw(path, service, load)?;
        }
        Ok(exit_code::SUCCESS)
    }
}

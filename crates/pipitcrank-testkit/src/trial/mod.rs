//! Trials: named fault scenarios that run the program on loopback against stand-in replicas. The same seed gives the
//! same script. Each trial is bounded in time, and its exit code shows whether all requirements were met.

pub mod gateway;
mod observer;
mod operators_file;
pub mod returns;
pub mod upgrade;
pub mod zones;

use std::path::Path;
use std::time::Duration;

use anyhow::{Result, bail};

pub use crate::outcome::Outcome;
pub use crate::runtime::on_one_thread;
use crate::soak;

/// Time limit of a trial, which ends it even if a process hangs.
const BASE_TIME_LIMIT: Duration = Duration::from_secs(60);
/// Addition to the time limit for each round.
const TIME_LIMIT_PER_ROUND: Duration = Duration::from_secs(12);

/// Names of all trials.
pub const NAMES: &str = "upgrade, upgrade-overloaded, upgrade-known, gateway, gateway-table, zones, return, soak, soak-short, soak-hard";

/// Options of a trial.
pub struct TrialOptions<'a> {
    /// Seed of the script; the same seed gives the same script.
    pub seed: u64,
    /// Number of rounds, for trials that consist of rounds.
    pub rounds: u32,
    /// Name of the only round, fault or case to run.
    pub only: Option<&'a str>,
    /// Whether the figures are printed as JSON instead of a table.
    pub json: bool,
}

/// Runs the named trial and prints its figures. Returns the exit code: 0 if all requirements were met, otherwise 1.
pub fn run(program: &Path, name: &str, options: TrialOptions) -> Result<i32> {
    let TrialOptions { seed, rounds, only, json } = options;
    let limit = BASE_TIME_LIMIT + TIME_LIMIT_PER_ROUND * rounds;
    let outcome = match name {
        "upgrade" => on_one_thread(limit, upgrade::run_trial(program, seed, rounds, only, !json))?,
        "upgrade-overloaded" => on_one_thread(limit, upgrade::run_overloaded(program, seed, rounds))?,
        "upgrade-known" => on_one_thread(limit, upgrade::run_with_bad_replicas(program, seed))?,
        "gateway" => on_one_thread(limit, gateway::run_trial(program, seed, !json))?,
        "gateway-table" => on_one_thread(limit * 3, gateway::run_table(program, seed))?,
        "zones" => on_one_thread(limit * 2, zones::run_trial(program, seed, only, !json))?,
        "return" => on_one_thread(limit * 3, returns::run_trial(program, seed, only, !json))?,
        "soak" => on_one_thread(limit * 2, soak::run(program, seed, soak::Size::FULL, only, !json))?,
        "soak-hard" => on_one_thread(limit * 2, soak::run(program, seed, soak::Size::HARD, only, !json))?,
        "soak-short" => on_one_thread(limit * 2, soak::run(program, seed, soak::Size::SHORT, only, !json))?,
        _ => bail!("unknown trial '{name}'; expected one of: {NAMES}"),
    };
    outcome.print(json)?;
    Ok(if outcome.broken.is_empty() { 0 } else { 1 })
}

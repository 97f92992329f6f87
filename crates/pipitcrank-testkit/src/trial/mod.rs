//! Named scenarios on loopback. The same seed plays the same script; each is bounded in time and says by its exit code
//! whether its promise held.

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

/// No trial lasts longer, and a round more, whatever hangs.
const LONGEST: Duration = Duration::from_secs(60);
const A_ROUND: Duration = Duration::from_secs(12);

/// Names of all trials.
pub const NAMES: &str = "upgrade, upgrade-overloaded, upgrade-known, gateway, gateway-table, zones, return, soak, soak-short, soak-hard";

/// Options of a trial: the same seed plays the same script.
pub struct TrialOptions<'a> {
    /// Seed of the script.
    pub seed: u64,
    /// Rounds, where the trial has them.
    pub rounds: u32,
    /// One kind of round alone.
    pub only: Option<&'a str>,
    /// Print JSON in place of a table.
    pub json: bool,
}

/// Plays one; the exit code.
pub fn run(program: &Path, name: &str, options: TrialOptions) -> Result<i32> {
    let TrialOptions { seed, rounds, only, json } = options;
    let limit = LONGEST + A_ROUND * rounds;
    let outcome = match name {
        "upgrade" => on_one_thread(limit, upgrade::run_trial(program, seed, rounds, only, !json))?,
        "upgrade-overloaded" => on_one_thread(limit, upgrade::run_overloaded(program, seed, rounds))?,
        "upgrade-known" => on_one_thread(limit, upgrade::run_with_bad_replicas(program, seed))?,
        "gateway" => on_one_thread(limit, gateway::run_trial(program, seed, !json))?,
        "gateway-table" => on_one_thread(limit * 3, gateway::run_table(program, seed))?,
        "zones" => on_one_thread(limit * 2, zones::run_trial(program, seed, only, !json))?,
        "return" => on_one_thread(limit * 3, returns::run_trial(program, seed, only, !json))?,
        "soak" => on_one_thread(limit * 2, soak::play(program, seed, soak::Size::FULL, only, !json))?,
        "soak-hard" => on_one_thread(limit * 2, soak::play(program, seed, soak::Size::HARD, only, !json))?,
        "soak-short" => on_one_thread(limit * 2, soak::play(program, seed, soak::Size::SHORT, only, !json))?,
        _ => bail!("no trial is named '{name}'; there are: {NAMES}"),
    };
    outcome.print(json)?;
    Ok(if outcome.broken.is_empty() { 0 } else { 1 })
}

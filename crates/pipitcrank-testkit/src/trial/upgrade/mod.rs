//! Upgrade trial: successful upgrades and upgrades that fail at each step, under load. The same load without upgrades
//! and with plain restarts serves as comparison.

mod comparison;
mod figures;
mod load;
mod probes;
mod round;
mod run;
mod run_round;
mod session;
mod wait;

use std::path::Path;

use anyhow::{Context, Result};
use rand::SeedableRng;
use rand_pcg::Pcg64;

pub use comparison::run_with_bad_replicas;
use load::LoadProfile;
pub use round::Round;
use round::{KINDS, script};
use run::run_rounds;

use crate::outcome::Outcome;

/// Runs rounds of all kinds in the order given by the seed, or only of the kind whose name begins with `only`. For
/// comparison, also runs the same load without upgrades and with restarts.
///
/// # Errors
///
/// Returns an error if no kind's name begins with `only`, or if a process can't be started or fails a step of a
/// round.
pub async fn run_trial(
    program: &Path,
    seed: u64,
    rounds: u32,
    only: Option<&str>,
    verbose: bool,
) -> Result<Outcome> {
    let script = match only {
        None => script(&mut Pcg64::seed_from_u64(seed), rounds),
        Some(only) => {
            let named = |kind: &&Round| kind.to_string().to_lowercase().starts_with(&only.to_lowercase());
            let kind = *KINDS.iter().find(named).with_context(|| format!("unknown round '{only}'"))?;
            vec![kind; rounds as usize]
        }
    };
    let mut outcome = run_rounds(program, seed, &script, LoadProfile::USUAL, verbose).await?;
    comparison::restarts(program, seed, &mut outcome).await?;
    Ok(outcome)
}

/// Runs the rounds under the usual load.
///
/// # Errors
///
/// Returns an error if a process can't be started or fails a step of a round.
pub async fn run_usual_rounds(program: &Path, seed: u64, script: &[Round]) -> Result<Outcome> {
    run_rounds(program, seed, script, LoadProfile::USUAL, false).await
}

/// Runs upgrades without faults at twice the load that the replicas can serve. There are no idle clients, because the
/// program closes idle connections when connections run short, with or without an upgrade.
///
/// # Errors
///
/// Returns an error if a process can't be started or an upgrade does not finish.
pub async fn run_overloaded(program: &Path, seed: u64, rounds: u32) -> Result<Outcome> {
    let script = vec![Round::Plain; rounds as usize];
    run_rounds(program, seed, &script, LoadProfile::OVERLOAD, false).await
}

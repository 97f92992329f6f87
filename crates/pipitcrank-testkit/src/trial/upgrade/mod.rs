//! Trial of upgrades: upgrades under load, plain ones and such that go wrong at every step, beside the same load without any
//! and with plain restarts.

mod comparison;
mod figures;
mod load;
mod play_round;
mod probes;
mod round;
mod run;
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

/// All kinds in the seed's order, or one kind alone where it is named; beside it the same load without upgrades, and
/// with restarts.
///
/// # Errors
///
/// A name in `only` that no kind begins with, or a process that can't be started or does not do what a round needs of it.
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
            let kind = *KINDS.iter().find(named).with_context(|| format!("no round is named {only}"))?;
            vec![kind; rounds as usize]
        }
    };
    let mut outcome = run_rounds(program, seed, &script, LoadProfile::USUAL, verbose).await?;
    comparison::restarts(program, seed, &mut outcome).await?;
    Ok(outcome)
}

/// Those rounds under the usual load.
///
/// # Errors
///
/// A process that can't be started or does not do what a round needs of it.
pub async fn run_usual_rounds(program: &Path, seed: u64, script: &[Round]) -> Result<Outcome> {
    run_rounds(program, seed, script, LoadProfile::USUAL, false).await
}

/// Plain upgrades at twice the load that the replicas can serve. No idle clients: where connections are short they are
/// closed, as they are without an upgrade.
///
/// # Errors
///
/// A process that can't be started, or an upgrade that does not end.
pub async fn run_overloaded(program: &Path, seed: u64, rounds: u32) -> Result<Outcome> {
    let script = vec![Round::Plain; rounds as usize];
    run_rounds(program, seed, &script, LoadProfile::OVERLOAD, false).await
}

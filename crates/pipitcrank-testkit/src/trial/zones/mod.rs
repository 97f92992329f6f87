//! Trial of zones: nine members of the program in three zones, three of them voters; three more in a second region that
//! the gateway reaches; one member of the version before; replicas in each zone. Faults between members, and between
//! members and replicas, follow from the seed. An observer polls each member ten times a second for what it knows, and
//! holds it against the promises.

mod cluster;
mod fault;
mod figures;
mod member_faults;
mod replica_faults;
mod report;
mod run;

use std::path::Path;

use anyhow::{Result, ensure};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

pub use cluster::MOVED_WITHIN_S;
use cluster::RoutingMode;
pub use fault::{FAULTS, Fault};
pub use run::run_faults;

use crate::outcome::Outcome;
use crate::query_log::QueryOutcome;

/// Faults drawn beside those that every run has.
const DRAWN_FAULTS: usize = 5;

/// Faults in the seed's order, calm first; then the loss of a zone once more without the common decision, and without
/// zones, from the same seed.
///
/// # Errors
///
/// A name in `only` that no fault has, or a process that can't be started or does not do what the script needs of it.
pub async fn run_trial(program: &Path, seed: u64, only: Option<&str>, verbose: bool) -> Result<Outcome> {
    let faults = script(seed, only)?;
    let mut outcome = run_faults(program, seed, &faults, verbose, true).await?;
    if only.is_none() {
        for (mode, name) in
            [(RoutingMode::Independent, "each copy alone"), (RoutingMode::ZoneBlind, "no zones")]
        {
            let (service, logs) = run::without_decision(program, seed, mode).await?;
            outcome.figure(&format!("service while a zone is lost, {name}, %"), service * 100.0);
            let lost: u64 = logs.iter().map(|log| log.count(QueryOutcome::Lost) + log.open()).sum();
            outcome.expect_zero(&format!("lost, {name}"), lost);
        }
    }
    Ok(outcome)
}

fn script(seed: u64, only: Option<&str>) -> Result<Vec<Fault>> {
    let mut faults: Vec<Fault> = FAULTS.iter().map(|(fault, _)| *fault).collect();
    let Some(name) = only else {
        // The loss of a zone is in each; of the others, some.
        faults.retain(|fault| !matches!(fault, Fault::Calm | Fault::Replicas));
        faults.shuffle(&mut Pcg64::seed_from_u64(seed));
        faults.truncate(DRAWN_FAULTS);
        faults.insert(0, Fault::Replicas);
        faults.insert(0, Fault::Calm);
        return Ok(faults);
    };
    faults.retain(|fault| fault.name().eq_ignore_ascii_case(name));
    let known = FAULTS.map(|(_, name)| name).join(", ");
    ensure!(!faults.is_empty(), "no trouble is named '{name}'; there are: [{known}]");
    Ok(faults)
}

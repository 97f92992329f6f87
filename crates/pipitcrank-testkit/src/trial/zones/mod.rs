//! Zones trial. Nine members, three of them voters, run in three zones of one region, and three more members run in a
//! second region reached through the gateway. One further member does not take part in failover; it stands for the
//! previous version of the program. The seed selects the faults between members and between members and replicas. An
//! observer polls the status of each member ten times a second, and the trial checks it against the requirements.

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

/// Number of faults drawn by the seed, in addition to those of every run.
const DRAWN_FAULTS: usize = 5;

/// Runs the faults in the order given by the seed, after a period without faults. The loss of a zone is then repeated
/// with the same seed, first without the common decision and then without zones, for comparison.
///
/// # Errors
///
/// Returns an error if no fault has the name in `only`, or if a process can't be started or fails a step of the
/// script.
pub async fn run_trial(program: &Path, seed: u64, only: Option<&str>, verbose: bool) -> Result<Outcome> {
    let faults = script(seed, only)?;
    let mut outcome = run_faults(program, seed, &faults, verbose, true).await?;
    if only.is_none() {
        for (mode, name) in
            [(RoutingMode::Independent, "each copy alone"), (RoutingMode::ZoneBlind, "no zones")]
        {
            let (service, logs) = run::run_without_decision(program, seed, mode).await?;
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
        // Every run includes the loss of a zone; the seed selects some of the other faults.
        faults.retain(|fault| !matches!(fault, Fault::Calm | Fault::Replicas));
        faults.shuffle(&mut Pcg64::seed_from_u64(seed));
        faults.truncate(DRAWN_FAULTS);
        faults.insert(0, Fault::Replicas);
        faults.insert(0, Fault::Calm);
        return Ok(faults);
    };
    faults.retain(|fault| fault.name().eq_ignore_ascii_case(name));
    let known = FAULTS.map(|(_, name)| name).join(", ");
    ensure!(!faults.is_empty(), "unknown fault '{name}'; expected one of: [{known}]");
    Ok(faults)
}

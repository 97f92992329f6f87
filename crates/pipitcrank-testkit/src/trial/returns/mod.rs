//! Return trial. Twelve members in three zones run under load; most of them are killed at once and restarted: without
//! stores, with their stores, with some members still running, or with stores that are stale, truncated or lost. An
//! observer polls each member ten times a second for the decision that it follows and compares it with the decisions
//! that the member followed before.

mod case;
mod cluster;
mod figures;
mod outage;
mod recovery;
mod report;

use std::path::Path;

use anyhow::{Result, ensure};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

pub use case::{CASES, Case};
use cluster::RestartCluster;
use figures::Totals;

use crate::client::Clients;
use crate::fleet::Load;
use crate::outcome::Outcome;
use crate::query_log::QueryLog;

/// Number of cases from the start of `CASES` that every run includes.
const FIXED_CASES: usize = 4;
/// Number of cases in a run.
const CASES_PER_RUN: usize = 7;

/// Runs the fixed cases and then further cases in the order given by the seed, or only the case named in `only`.
///
/// # Errors
///
/// Returns an error if no case has the name in `only`, or if a process can't be started or fails a step of the script.
pub async fn run_trial(program: &Path, seed: u64, only: Option<&str>, verbose: bool) -> Result<Outcome> {
    let mut cases: Vec<Case> = CASES.iter().map(|(case, _)| *case).collect();
    match only {
        Some(name) => {
            cases.retain(|case| case.name().eq_ignore_ascii_case(name));
            let known = CASES.map(|(_, name)| name).join(", ");
            ensure!(!cases.is_empty(), "unknown case '{name}'; expected one of: [{known}]");
        }
        None => {
            cases[FIXED_CASES..].shuffle(&mut Pcg64::seed_from_u64(seed));
            cases.truncate(CASES_PER_RUN);
        }
    }
    run_cases(program, seed, &cases, verbose, true).await
}

/// Runs each of the cases on a cluster of its own. Limits on times and loads are checked only if `check_targets` is
/// set; all other requirements are always checked.
///
/// # Errors
///
/// Returns an error if a process can't be started or fails a step of the script.
pub async fn run_cases(
    program: &Path,
    seed: u64,
    cases: &[Case],
    verbose: bool,
    check_targets: bool,
) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    let mut totals = Totals::default();
    for &case in cases {
        let mut cluster = RestartCluster::start(program, seed, case.keeps_stores()).await?;
        let logs: Vec<QueryLog> = cluster.members.iter().map(|_| QueryLog::default()).collect();
        let loads: Vec<Load> = (cluster.members.iter().zip(&logs).enumerate())
            .map(|(n, (member, log))| {
                let clients = Clients::new(member.process.address, log.clone());
                let name = format!("{}{n}x{seed:x}", case.name());
                Load::start(&name, seed ^ (n as u64) << 8, cluster::RATE, 0.0, clients)
            })
            .collect();
        let report = cluster.run_case(case, seed, &logs).await?;
        for load in loads {
            load.stop().await?;
        }
        if verbose {
            report.print(case);
        }
        report.figures(case, check_targets, &mut outcome);
        totals.add(case, &cluster, &logs);
        figures::expect_no_panic(case, &cluster, &mut outcome);
    }
    totals.figures(&mut outcome);
    Ok(outcome)
}

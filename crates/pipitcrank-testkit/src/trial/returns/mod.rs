//! Trial of return: twelve members of the program in three zones, under load, most of them killed at once and started
//! again: with nothing, with what each kept in its store, with survivors, with stores that are old, truncated or lost. An
//! observer polls each member ten times a second for the decision it follows, and holds it against what it followed
//! before.

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

/// Cases that every run has: the first of `CASES`.
const FIXED_CASES: usize = 4;
/// Cases of a run.
const CASES_PER_RUN: usize = 7;

/// Cases in the seed's order, the four kinds of memory first.
///
/// # Errors
///
/// A name in `only` that no case has, or a process that can't be started or does not do what the script needs of it.
pub async fn run_trial(program: &Path, seed: u64, only: Option<&str>, verbose: bool) -> Result<Outcome> {
    let mut cases: Vec<Case> = CASES.iter().map(|(case, _)| *case).collect();
    match only {
        Some(name) => {
            cases.retain(|case| case.name().eq_ignore_ascii_case(name));
            let known = CASES.map(|(_, name)| name).join(", ");
            ensure!(!cases.is_empty(), "no case is named '{name}'; there are: [{known}]");
        }
        None => {
            cases[FIXED_CASES..].shuffle(&mut Pcg64::seed_from_u64(seed));
            cases.truncate(CASES_PER_RUN);
        }
    }
    run_cases(program, seed, &cases, verbose, true).await
}

/// Plays those cases, a cluster each. `aims`: whether times and loads are promised, too; the rules always are.
///
/// # Errors
///
/// A process that can't be started or does not do what the script needs of it.
pub async fn run_cases(
    program: &Path,
    seed: u64,
    cases: &[Case],
    verbose: bool,
    aims: bool,
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
        let report = cluster.play(case, seed, &logs).await?;
        for load in loads {
            load.stop().await?;
        }
        if verbose {
            report.print(case);
        }
        report.figures(case, aims, &mut outcome);
        totals.add(case, &cluster, &logs);
        figures::promise_no_panic(case, &cluster, &mut outcome);
    }
    totals.figures(&mut outcome);
    Ok(outcome)
}

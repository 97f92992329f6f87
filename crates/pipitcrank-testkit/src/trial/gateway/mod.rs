//! Gateway trial: three sites on loopback, joined by links that can be slow, stalled or cut. At the first site the
//! replicas of two cells are busy, so that it needs the other sites. The same seed runs with the gateway, with only
//! the site of the shortest round trip, and without far sites.

mod cluster;
mod fault;
mod inject;
mod run;
mod table;

use std::path::Path;

use anyhow::Result;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;

use cluster::Reach;
pub use fault::Fault;
use run::{RunReport, check_requirements, run};
pub use table::run_table;

use crate::outcome::Outcome;
use crate::query_log::QueryOutcome;

/// Runs all faults in the order given by the seed, with the same script at once on three clusters that differ in
/// which far sites are reached.
///
/// # Errors
///
/// Returns an error if a process can't be started or fails a step of a fault.
pub async fn run_trial(program: &Path, seed: u64, verbose: bool) -> Result<Outcome> {
    let mut script = fault::ALL;
    script.shuffle(&mut Pcg64::seed_from_u64(seed));
    let (both, shortest, alone) = tokio::join!(
        run(program, seed, Reach::Both, &script, verbose),
        run(program, seed, Reach::Shortest, &script, false),
        run(program, seed, Reach::Nobody, &script, false),
    );
    let (both, shortest, alone) = (both?, shortest?, alone?);
    let mut outcome = Outcome::default();
    check_requirements(&mut outcome, &both);
    outcome.figure("service with the gateway, %", both.query_log.service() * 100.0);
    outcome.figure("service with the shortest way alone, %", shortest.query_log.service() * 100.0);
    outcome.figure("service without far sites, %", alone.query_log.service() * 100.0);
    let more = (both.cpu_seconds - alone.cpu_seconds) * 1e6 / both.forwarded_parts.max(1) as f64;
    outcome.figure("processor time more than without far sites, a part over, microseconds", more);
    let lost = |report: &RunReport| {
        report.query_log.count(QueryOutcome::Lost) + report.query_log.parts_run_again("sale-")
    };
    outcome.expect_zero("lost or run twice in the two others", lost(&shortest) + lost(&alone));
    outcome.expect_that(
        both.query_log.service() > alone.query_log.service(),
        "the gateway served more than no far site",
    );
    Ok(outcome)
}

/// Runs one fault with the gateway, between two periods without faults.
///
/// # Errors
///
/// Returns an error if a process can't be started or fails a step of the fault.
pub async fn run_single_fault(program: &Path, seed: u64, fault: Fault) -> Result<Outcome> {
    let report = run(program, seed, Reach::Both, &[Fault::Calm, fault, Fault::Calm], false).await?;
    let mut outcome = Outcome::default();
    check_requirements(&mut outcome, &report);
    Ok(outcome)
}

//! Soak test: up to a few dozen processes of the program on loopback with stand-in clients, replicas, discovery and
//! links, under overlapping faults. A seed determines the script. The result is verified against the rules
//! (`docs/rules.md`) from the observations of the stand-ins and from the run-time check of each process.

mod clients;
mod cluster;
mod fault_kind;
mod inject;
mod periods;
mod requests;
mod script;
mod size;
mod verifier;

use std::path::Path;

use anyhow::Result;

use fault_kind::FaultKind;
pub use size::Size;

use crate::outcome::Outcome;

/// Runs the soak test for one seed. `only` restricts the faults to the kind with that name.
///
/// # Errors
///
/// If no kind has the name in `only`, or a stand-in or process cannot be started.
pub async fn run(
    program: &Path,
    seed: u64,
    size: Size,
    only: Option<&str>,
    verbose: bool,
) -> Result<Outcome> {
    let only = only.map(FaultKind::from_name).transpose()?;
    let cluster = cluster::SoakCluster::start(program, seed, size).await?;
    let loads: Vec<_> =
        (0..size.processes).map(|n| clients::Load::start(cluster.clone(), n, seed, size.rate)).collect();
    let faults = script::run(cluster.clone(), seed, size, only, verbose);
    let (faults, ()) = tokio::join!(faults, tokio::time::sleep(size.duration));
    let faults = faults?;
    for load in loads {
        load.stop().await?;
    }
    verifier::verify(&cluster, faults).await
}

//! The soak test: a few dozen processes of the program on loopback, with stand-in clients, replicas, discovery and links,
//! under faults that overlap. What happens is scripted from a seed; the result is verified against the rules
//! (`docs/rules.md`) from outside, and by each process's own run-time check.

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

/// Plays one seed. `only`: faults of that kind alone.
///
/// # Errors
///
/// A name in `only` that no kind has, or a stand-in or process that can't be started.
pub async fn run(
    program: &Path,
    seed: u64,
    size: Size,
    only: Option<&str>,
    verbose: bool,
) -> Result<Outcome> {
    let only = only.map(FaultKind::named).transpose()?;
    let cluster = cluster::SoakCluster::start(program, seed, size).await?;
    let load: Vec<_> =
        (0..size.processes).map(|n| clients::Load::start(cluster.clone(), n, seed, size.rate)).collect();
    let faults = script::run(cluster.clone(), seed, size, only, verbose);
    let (faults, ()) = tokio::join!(faults, tokio::time::sleep(size.duration));
    let faults = faults?;
    for each in load {
        each.stop().await?;
    }
    verifier::verify(&cluster, faults).await
}

//! The soak test: a few dozen processes of the program on loopback, with clients, replicas, discovery and ways between
//! them of our own, under troubles that overlap. What happens is scripted from a seed; what came of it is judged by the
//! rules (`docs/rules.md`) from outside, and by each process's own run-time check.

mod clients;
mod cluster;
mod script;
mod verifier;

use std::path::Path;
use std::time::Duration;

use anyhow::Result;

use crate::outcome::Outcome;

/// How large a play is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub processes: usize,
    /// How long clients ask.
    pub lasts: Duration,
    /// Requests a second to each process.
    pub rate: f64,
    /// Troubles that are under way at once.
    pub overlap: usize,
}

impl Size {
    /// Some dozens of processes: for seeds by hand.
    pub const FULL: Size = Size { processes: 24, lasts: Duration::from_secs(16), rate: 8.0, overlap: 3 };
    /// More of them, for longer, with more troubles at once.
    pub const HARD: Size = Size { processes: 36, lasts: Duration::from_secs(24), rate: 8.0, overlap: 6 };
    /// The same in short, for CI.
    pub const SHORT: Size = Size { processes: 6, lasts: Duration::from_secs(8), rate: 6.0, overlap: 2 };
}

/// Plays one seed. `only`: troubles of that kind alone.
pub async fn play(
    program: &Path,
    seed: u64,
    size: Size,
    only: Option<&str>,
    verbose: bool,
) -> Result<Outcome> {
    let only = only.map(script::FaultKind::named).transpose()?;
    let cluster = cluster::SoakCluster::start(program, seed, size).await?;
    let load: Vec<_> =
        (0..size.processes).map(|n| clients::Load::start(cluster.clone(), n, seed, size.rate)).collect();
    let faults = script::run(cluster.clone(), seed, size, only, verbose);
    let (faults, ()) = tokio::join!(faults, tokio::time::sleep(size.lasts));
    let faults = faults?;
    for each in load {
        each.stop().await?;
    }
    verifier::verify(&cluster, faults).await
}

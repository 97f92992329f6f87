//! The soak test: a few dozen processes of the program on loopback, with clients, replicas, discovery and ways between
//! them of our own, under troubles that overlap. What happens is scripted from a seed; what came of it is judged by the
//! rules (`docs/rules.md`) from outside, and by each process's own run-time check.

mod clients;
mod judge;
mod scene;
mod script;

use std::path::Path;
use std::time::Duration;

use anyhow::Result;

use crate::trial::Outcome;

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
pub async fn play(program: &Path, seed: u64, size: Size, only: Option<&str>, talk: bool) -> Result<Outcome> {
    let only = only.map(script::Kind::named).transpose()?;
    let scene = scene::Scene::start(program, seed, size).await?;
    let load: Vec<_> =
        (0..size.processes).map(|n| clients::Load::start(scene.clone(), n, seed, size.rate)).collect();
    let troubles = script::run(scene.clone(), seed, size, only, talk);
    let (troubles, ()) = tokio::join!(troubles, tokio::time::sleep(size.lasts));
    let troubles = troubles?;
    for each in load {
        each.stop().await?;
    }
    judge::judge(&scene, troubles).await
}

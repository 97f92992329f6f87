//! The script of a soak test. Several lanes play one fault after another each, so that as many faults as there are lanes
//! overlap; what each lane plays, on whom and for how long follows from the seed alone.

use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::JoinSet;

use super::cluster::SoakCluster;
use super::fault_kind::{FAULT_KINDS, FaultKind};
use super::inject::{PlannedFault, play};
use super::size::Size;

/// Nothing begins so late that its end is not seen.
const LAST_START: Duration = Duration::from_secs(3);

/// One fault as it was played.
pub struct PlayedFault {
    pub kind: FaultKind,
    pub on: String,
    pub from: Instant,
    pub to: Instant,
}

/// Draws the next fault of a lane.
fn draw(rng: &mut Pcg64, size: Size, replicas: usize, only: Option<FaultKind>) -> PlannedFault {
    let kind = FAULT_KINDS[rng.random_range(0..FAULT_KINDS.len())].0;
    PlannedFault {
        kind: only.unwrap_or(kind),
        node: rng.random_range(0..size.processes),
        replica: rng.random_range(0..replicas),
        lasts: Duration::from_millis(rng.random_range(600..2400)),
        fraction: rng.random(),
    }
}

/// Plays all lanes until the time is over; what was played.
pub async fn run(
    cluster: Rc<SoakCluster>,
    seed: u64,
    size: Size,
    only: Option<FaultKind>,
    verbose: bool,
) -> Result<Vec<PlayedFault>> {
    let until = Instant::now() + size.duration;
    let mut lanes = JoinSet::new();
    for lane in 0..size.concurrent_faults {
        let cluster = cluster.clone();
        lanes.spawn_local(async move {
            let mut rng = Pcg64::seed_from_u64(seed.wrapping_mul(31) + lane as u64);
            let mut played = Vec::new();
            while Instant::now() + LAST_START < until {
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
                let replicas = cluster.replicas.borrow().len();
                let planned = draw(&mut rng, size, replicas, only);
                let from = Instant::now();
                let on = play(&cluster, &planned).await?;
                let (kind, to) = (planned.kind, Instant::now());
                if verbose {
                    let at = |t: Instant| (t - cluster.begun).as_secs_f64();
                    eprintln!("{:7.3} to {:7.3}  {} {on}", at(from), at(to), kind.name());
                }
                played.push(PlayedFault { kind, on, from, to });
            }
            Ok::<_, anyhow::Error>(played)
        });
    }
    let mut all = Vec::new();
    while let Some(lane) = lanes.join_next().await {
        all.extend(lane??);
    }
    Ok(all)
}

//! Script of a soak test. Several lanes run concurrently, and each injects one fault after another, so that faults of
//! different lanes overlap. The seed alone determines the kind, target and duration of each fault.

use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::JoinSet;

use super::cluster::SoakCluster;
use super::fault_kind::{FAULT_KINDS, FaultKind};
use super::inject::{PlannedFault, inject};
use super::size::Size;

/// Time before the end of the run in which no fault starts, so that the end of each fault is observed.
const QUIET_TIME_AT_END: Duration = Duration::from_secs(3);

/// A fault that was injected.
pub struct InjectedFault {
    pub kind: FaultKind,
    /// The process or replica that it was injected into.
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
        duration: Duration::from_millis(rng.random_range(600..2400)),
        fraction: rng.random(),
    }
}

/// Runs all lanes until the end of the soak test and returns the injected faults.
pub async fn run(
    cluster: Rc<SoakCluster>,
    seed: u64,
    size: Size,
    only: Option<FaultKind>,
    verbose: bool,
) -> Result<Vec<InjectedFault>> {
    let until = Instant::now() + size.duration;
    let mut lanes = JoinSet::new();
    for lane in 0..size.concurrent_faults {
        let cluster = cluster.clone();
        lanes.spawn_local(async move {
            let mut rng = Pcg64::seed_from_u64(seed.wrapping_mul(31) + lane as u64);
            let mut injected = Vec::new();
            while Instant::now() + QUIET_TIME_AT_END < until {
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
                let replicas = cluster.replicas.borrow().len();
                let planned = draw(&mut rng, size, replicas, only);
                let from = Instant::now();
                let on = inject(&cluster, &planned).await?;
                let (kind, to) = (planned.kind, Instant::now());
                if verbose {
                    let at = |t: Instant| (t - cluster.start).as_secs_f64();
                    eprintln!("{:7.3} to {:7.3}  {} {on}", at(from), at(to), kind.name());
                }
                injected.push(InjectedFault { kind, on, from, to });
            }
            Ok::<_, anyhow::Error>(injected)
        });
    }
    let mut all = Vec::new();
    while let Some(lane) = lanes.join_next().await {
        all.extend(lane??);
    }
    Ok(all)
}

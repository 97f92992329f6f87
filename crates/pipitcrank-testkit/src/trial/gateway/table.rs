//! Table of the gateway trial: service against round trip, and against links that are broken again and again.

use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use tokio::time::Instant;

use super::cluster::{FAR_TRIP, NEAR_TRIP, NORTH, RATE, Reach, SiteCluster};
use super::run::lack_cells;
use crate::client::Clients;
use crate::fleet::Load;
use crate::link::Link;
use crate::outcome::Outcome;
use crate::query_log::QueryOutcome;

/// How long each figure's load lasts.
const LOAD_DURATION: Duration = Duration::from_secs(5);

/// Service against round trip, and against links broken again and again: each figure is a run of its own.
///
/// # Errors
///
/// A process that can't be started.
pub async fn run_table(program: &Path, seed: u64) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    for ms in [1, 10, 50, 100, 200, 400] {
        let trip = Duration::from_millis(ms);
        let mut served = Vec::new();
        for reach in [Reach::Both, Reach::Shortest, Reach::Nobody] {
            let cluster = SiteCluster::start(program, seed, reach, [trip, trip]).await?;
            lack_cells(&cluster);
            served.push(serve(&cluster, seed, Duration::MAX).await?);
        }
        outcome.figure(&format!("round trip {ms} ms: both sites, %"), served[0]);
        outcome.figure(&format!("round trip {ms} ms: shortest alone, %"), served[1]);
        outcome.figure(&format!("round trip {ms} ms: no far site, %"), served[2]);
    }
    for ms in [2000, 1000, 500, 250, 100] {
        let cluster = SiteCluster::start(program, seed, Reach::Both, [NEAR_TRIP, FAR_TRIP]).await?;
        lack_cells(&cluster);
        let served = serve(&cluster, seed, Duration::from_millis(ms)).await?;
        outcome.figure(&format!("both ways broken each {ms} ms, %"), served);
        outcome.expect_zero(
            &format!("run twice or lost, broken each {ms} ms"),
            cluster.query_log.parts_run_again("sale-") + cluster.query_log.count(QueryOutcome::Lost),
        );
    }
    Ok(outcome)
}

/// Service in percent while all links are broken once every `breaks`.
async fn serve(cluster: &SiteCluster, seed: u64, breaks: Duration) -> Result<f64> {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let clients = Clients::new(cluster.sites[NORTH].process.address, cluster.query_log.clone());
    let load = Load::start("table", seed ^ 2, RATE, 0.0, clients);
    let until = Instant::now() + LOAD_DURATION;
    while Instant::now() < until {
        tokio::time::sleep(breaks.min(until - Instant::now())).await;
        if breaks < LOAD_DURATION {
            cluster.links.iter().for_each(Link::break_now);
        }
    }
    load.stop().await?;
    Ok(cluster.query_log.service() * 100.0)
}

//! Table of the gateway trial: service by round-trip time and by interval between link failures.

use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use tokio::time::Instant;

use super::cluster::{FAR_ROUND_TRIP, NEAR_ROUND_TRIP, NORTH, RATE, Reach, SiteCluster};
use super::run::make_cells_busy;
use crate::client::Clients;
use crate::fleet::Load;
use crate::link::Link;
use crate::outcome::Outcome;
use crate::query_log::QueryOutcome;

/// Duration of the load for each figure.
const LOAD_DURATION: Duration = Duration::from_secs(5);

/// Measures the service by round-trip time and by interval between link failures. Each figure is a separate run.
///
/// # Errors
///
/// Returns an error if a process can't be started.
pub async fn run_table(program: &Path, seed: u64) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    for ms in [1, 10, 50, 100, 200, 400] {
        let trip = Duration::from_millis(ms);
        let mut served = Vec::new();
        for reach in [Reach::Both, Reach::Shortest, Reach::Nobody] {
            let cluster = SiteCluster::start(program, seed, reach, [trip, trip]).await?;
            make_cells_busy(&cluster);
            served.push(service_percent(&cluster, seed, Duration::MAX).await?);
        }
        outcome.figure(&format!("round trip {ms} ms: both sites, %"), served[0]);
        outcome.figure(&format!("round trip {ms} ms: shortest alone, %"), served[1]);
        outcome.figure(&format!("round trip {ms} ms: no far site, %"), served[2]);
    }
    for ms in [2000, 1000, 500, 250, 100] {
        let cluster =
            SiteCluster::start(program, seed, Reach::Both, [NEAR_ROUND_TRIP, FAR_ROUND_TRIP]).await?;
        make_cells_busy(&cluster);
        let served = service_percent(&cluster, seed, Duration::from_millis(ms)).await?;
        outcome.figure(&format!("both ways broken each {ms} ms, %"), served);
        outcome.expect_zero(
            &format!("run twice or lost, broken each {ms} ms"),
            cluster.query_log.parts_run_again("sale-") + cluster.query_log.count(QueryOutcome::Lost),
        );
    }
    Ok(outcome)
}

/// Returns the service in percent while all links are broken once every `interval`.
async fn service_percent(cluster: &SiteCluster, seed: u64, interval: Duration) -> Result<f64> {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let clients = Clients::new(cluster.sites[NORTH].process.address, cluster.query_log.clone());
    let load = Load::start("table", seed ^ 2, RATE, 0.0, clients);
    let until = Instant::now() + LOAD_DURATION;
    while Instant::now() < until {
        tokio::time::sleep(interval.min(until - Instant::now())).await;
        if interval < LOAD_DURATION {
            cluster.links.iter().for_each(Link::close_connections);
        }
    }
    load.stop().await?;
    Ok(cluster.query_log.service() * 100.0)
}

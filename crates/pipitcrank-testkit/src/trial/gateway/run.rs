//! One run of the gateway trial: a script of faults under load, and the results.

use std::path::Path;

use anyhow::{Context, Result};

use super::cluster::{
    FAR_ROUND_TRIP, NEAR_ROUND_TRIP, NORTH, RATE, Reach, SETTLE_TIME, SITE_NAMES, SiteCluster,
};
use super::fault::Fault;
use crate::client::{Clients, get};
use crate::fleet::Load;
use crate::link::Link;
use crate::outcome::Outcome;
use crate::query_log::{QueryLog, QueryOutcome, RetryBudget};
use crate::replica::ReplicaBehavior;

/// Fraction of queries that are sales with a part of one to two seconds, so that one is in flight at most breaks of a
/// link.
const SLOW_SALES: f64 = 0.05;
/// Cells whose replicas at the first site are busy.
const NORTH_BUSY_CELLS: [u32; 2] = [0, 1];
/// Minimum number of parts answered by other sites for a run to be meaningful.
const MIN_FORWARDED_PARTS: u64 = 100;
/// Retry budget, as in the node configuration of the trial.
const BUDGET: RetryBudget = RetryBudget {
    free: 5.0,
    fraction: 0.1,
    window: std::time::Duration::from_secs(10),
    run_delay: std::time::Duration::from_secs(2),
};

/// Results of one run.
pub(super) struct RunReport {
    pub query_log: QueryLog,
    /// Parts that other sites answered.
    pub forwarded_parts: u64,
    /// Parts that other sites answered too late.
    late_parts: u64,
    /// Bytes on all links from the first site.
    bytes: u64,
    /// Processor time of all sites.
    pub cpu_seconds: f64,
    /// Log of the first site.
    log: String,
}

/// Makes the replicas of two cells at the first site busy, so that other sites are needed.
pub(super) fn make_cells_busy(cluster: &SiteCluster) {
    cluster.set_cell_behavior(NORTH, NORTH_BUSY_CELLS, ReplicaBehavior::Busy);
}

pub(super) async fn run(
    program: &Path,
    seed: u64,
    reach: Reach,
    script: &[Fault],
    verbose: bool,
) -> Result<RunReport> {
    let mut cluster = SiteCluster::start(program, seed, reach, [NEAR_ROUND_TRIP, FAR_ROUND_TRIP]).await?;
    make_cells_busy(&cluster);
    tokio::time::sleep(SETTLE_TIME).await;
    let clients = Clients::new(cluster.sites[NORTH].process.address, cluster.query_log.clone());
    let load = Load::start("load", seed ^ 2, RATE, SLOW_SALES, clients.clone());
    for (n, fault) in script.iter().enumerate() {
        if verbose {
            let (total, service) = (cluster.query_log.total(), cluster.query_log.service());
            println!("{:>2}: {fault:?}, after {total} queries, service {service:.3}", n + 1);
        }
        cluster
            .inject_fault(*fault, seed ^ (n as u64) << 16, &clients)
            .await
            .with_context(|| format!("{fault:?}"))?;
    }
    load.stop().await?;
    if let Ok(folder) = std::env::var("TRIAL_LOGS") {
        save_logs(&cluster, reach, &folder).await?;
    }
    let north = &cluster.sites[NORTH].process;
    Ok(RunReport {
        forwarded_parts: north.counter("forwards parts").await.unwrap_or(0),
        late_parts: north.counter("forwards late_parts").await.unwrap_or(0),
        bytes: cluster.links.iter().map(Link::bytes).sum(),
        cpu_seconds: cluster.sites.iter().map(|site| site.process.cpu_seconds()).sum(),
        log: north.log(),
        query_log: cluster.query_log,
    })
}

async fn save_logs(cluster: &SiteCluster, reach: Reach, folder: &str) -> Result<()> {
    for (site, name) in cluster.sites.iter().zip(SITE_NAMES) {
        std::fs::write(format!("{folder}/{reach:?}-{name}.log"), site.process.log())?;
    }
    let north = cluster.sites[NORTH].process.address;
    let counters = get(north, "/counters").await.map(|response| response.body).unwrap_or_default();
    std::fs::write(format!("{folder}/{reach:?}-north.counters"), counters)?;
    Ok(())
}

/// Reports the figures of a run with the gateway and checks its requirements.
pub(super) fn check_requirements(outcome: &mut Outcome, report: &RunReport) {
    let query_log = &report.query_log;
    outcome.figure("queries", query_log.total() as f64);
    outcome.expect_zero("lost", query_log.count(QueryOutcome::Lost) + query_log.open());
    outcome.expect_zero("refused connections", query_log.count(QueryOutcome::ConnectionRefused));
    outcome.expect_exactly_once(query_log);
    let over = query_log.over_budget(BUDGET);
    outcome.figure("further runs over the budget of any window", over);
    outcome.expect_that(over <= 0.0, "further calls, near and far together, stay within the budget");
    outcome.query_outcomes(query_log);
    outcome.figure("answer ms, half", query_log.response_time_ms(0.5));
    outcome.figure("answer ms, 99 of 100", query_log.response_time_ms(0.99));
    outcome.figure("parts answered by other sites", report.forwarded_parts as f64);
    outcome.figure("of them too late", report.late_parts as f64);
    outcome.expect_that(report.forwarded_parts > MIN_FORWARDED_PARTS, "other sites were needed");
    outcome.figure(
        "bytes on the links a part, heartbeats included",
        report.bytes as f64 / report.forwarded_parts.max(1) as f64,
    );
    outcome.figure(
        "processor time of all sites a query, microseconds",
        report.cpu_seconds * 1e6 / query_log.total() as f64,
    );
    let panicked = report.log.lines().find(|line| line.contains("panicked"));
    outcome.expect_that(panicked.is_none(), &format!("nothing panics: {panicked:?}"));
}

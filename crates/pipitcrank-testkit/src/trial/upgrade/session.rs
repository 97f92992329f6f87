//! One process of the upgrade trial with its fleet, clients and probes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Result, ensure};

use super::load::{BASELINE_S, LoadProfile, SLOW_SALES, UPGRADE_TIMES};
use super::probes::{AcceptProbe, PeakUsage};
use super::round::UpgradeCounts;
use crate::client::{Clients, DedicatedConnection, QueryRequest};
use crate::fleet::{Fleet, Load};
use crate::process::{Process, ResourceUsage};
use crate::query_log::{QueryLog, QueryOutcome};

/// One process under load, with its fleet, clients and probes.
pub(super) struct UpgradeRun {
    pub fleet: Fleet,
    pub process: Process,
    pub clients: Clients,
    pub idle: Vec<DedicatedConnection>,
    pub accepts: AcceptProbe,
    pub peak: PeakUsage,
    /// Query log of the same load before the first upgrade.
    pub baseline: QueryLog,
    /// Resources of the process before the first upgrade.
    pub before: ResourceUsage,
    /// Expected upgrade counters after the rounds run so far.
    pub expected: UpgradeCounts,
}

impl UpgradeRun {
    /// Starts the process, measures the baseline without upgrades, and opens the idle connections.
    pub(super) async fn start(program: &Path, seed: u64, profile: LoadProfile) -> Result<UpgradeRun> {
        let fleet = Fleet::start(seed, profile.work).await?;
        let node_config = fleet.node_config(seed, 1024, 3000)?;
        let process = Process::start(program, node_config, UPGRADE_TIMES.operators_file()).await?;
        let baseline = baseline_load(&process, seed, profile.rate).await?;
        let before = process.resource_usage();
        let clients = Clients::new(process.address, fleet.query_log.clone());
        let idle = connect_idle(process.address, &fleet.query_log, profile.idle_clients).await?;
        let accepts = AcceptProbe::start(process.address);
        let (peak, expected) = (PeakUsage::default(), UpgradeCounts::default());
        Ok(UpgradeRun { fleet, process, clients, idle, accepts, peak, baseline, before, expected })
    }
}

/// Runs the load without upgrades on separate clients and returns their query log.
async fn baseline_load(process: &Process, seed: u64, rate: f64) -> Result<QueryLog> {
    let clients = Clients::new(process.address, QueryLog::default());
    let load = Load::start("quiet", seed ^ 1, rate, SLOW_SALES, clients.clone());
    tokio::time::sleep(Duration::from_secs_f64(BASELINE_S)).await;
    load.stop().await?;
    Ok(clients.query_log)
}

/// Opens connections that send one query each and then stay idle.
async fn connect_idle(
    address: SocketAddr,
    query_log: &QueryLog,
    count: usize,
) -> Result<Vec<DedicatedConnection>> {
    let mut idle = Vec::new();
    for n in 0..count {
        let mut connection = DedicatedConnection::connect(address, query_log.clone()).await?;
        let ended = connection.send_in_pieces(QueryRequest::short(&format!("view-idle{n}-0")), &[]).await;
        ensure!(
            ended == QueryOutcome::Complete,
            "first query of idle client {n}: expected a complete answer, got {ended}"
        );
        idle.push(connection);
    }
    Ok(idle)
}

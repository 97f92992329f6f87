//! One process of the upgrade trial under load, with all that probes it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Result, ensure};

use super::load::{LoadProfile, QUIET_S, SLOW_SALES, UPGRADE_TIMES};
use super::probes::{AcceptProbe, PeakUsage};
use super::round::UpgradeCounts;
use crate::client::{Clients, DedicatedConnection, QueryRequest};
use crate::fleet::{Fleet, Load};
use crate::process::{Process, ResourceUsage};
use crate::query_log::{QueryLog, QueryOutcome};

/// One process under load.
pub(super) struct UpgradeRun {
    pub fleet: Fleet,
    pub process: Process,
    pub clients: Clients,
    pub idle: Vec<DedicatedConnection>,
    pub accepts: AcceptProbe,
    pub peak: PeakUsage,
    /// The same load before the first upgrade.
    pub quiet: QueryLog,
    /// What the process held then.
    pub before: ResourceUsage,
    /// Upgrades that the rounds played so far should have counted.
    pub expected: UpgradeCounts,
}

impl UpgradeRun {
    /// Starts the process, measures the load without upgrades, and opens the idle connections.
    pub(super) async fn start(program: &Path, seed: u64, profile: LoadProfile) -> Result<UpgradeRun> {
        let fleet = Fleet::start(seed, profile.work).await?;
        let node_config = fleet.node_config(seed, 1024, 3000)?;
        let process = Process::start(program, node_config, UPGRADE_TIMES.operators_file()).await?;
        let quiet = quiet_load(&process, seed, profile.rate).await?;
        let before = process.resource_usage();
        let clients = Clients::new(process.address, fleet.query_log.clone());
        let idle = connect_idle(process.address, &fleet.query_log, profile.idle_clients).await?;
        let accepts = AcceptProbe::start(process.address);
        let (peak, expected) = (PeakUsage::default(), UpgradeCounts::default());
        Ok(UpgradeRun { fleet, process, clients, idle, accepts, peak, quiet, before, expected })
    }
}

/// The load without any upgrade, on clients of its own.
async fn quiet_load(process: &Process, seed: u64, rate: f64) -> Result<QueryLog> {
    let clients = Clients::new(process.address, QueryLog::default());
    let load = Load::start("quiet", seed ^ 1, rate, SLOW_SALES, clients.clone());
    tokio::time::sleep(Duration::from_secs_f64(QUIET_S)).await;
    load.stop().await?;
    Ok(clients.query_log)
}

/// Connections that have sent one query each.
async fn connect_idle(
    address: SocketAddr,
    query_log: &QueryLog,
    count: usize,
) -> Result<Vec<DedicatedConnection>> {
    let mut idle = Vec::new();
    for n in 0..count {
        let mut connection = DedicatedConnection::connect(address, query_log.clone()).await?;
        let ended = connection.send_in_pieces(QueryRequest::short(&format!("view-idle{n}-0")), &[]).await;
        ensure!(ended == QueryOutcome::Complete, "a client's first query: {ended}");
        idle.push(connection);
    }
    Ok(idle)
}

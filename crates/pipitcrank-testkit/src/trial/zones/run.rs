//! Plays faults under load, and collects the figures of all of them.

use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::cluster::{ISOLATED_MEMBER, NORTH_ZONES, REPLICAS_PER_ZONE, RoutingMode, SOUTH_ZONE, ZoneCluster};
use super::fault::Fault;
use super::figures::Totals;
use super::report::FaultReport;
use crate::client::Clients;
use crate::fleet::Load;
use crate::outcome::Outcome;
use crate::query_log::QueryLog;

/// Queries a second at each member.
const RATE: f64 = 18.0;
/// Load before the fault begins.
const LEAD_IN: Duration = Duration::from_millis(1500);

/// The zones that the seed has drawn for a fault, and the generator as it goes on.
struct Targets {
    /// The zone that fails.
    zone: usize,
    /// Another zone of the region.
    other: usize,
    rng: Pcg64,
}

impl Targets {
    fn draw(seed: u64, fault: Fault) -> Targets {
        let mut rng = Pcg64::seed_from_u64(seed ^ fault as u64);
        let zone = rng.random_range(0..NORTH_ZONES);
        let other = (zone + 1 + rng.random_range(0..2)) % NORTH_ZONES;
        Targets { zone, other, rng }
    }

    /// The failing zone, the other, and the third.
    fn all(&self) -> [usize; 3] {
        [self.zone, self.other, 3 - self.zone - self.other]
    }
}

/// Load on all members, each with a log of its own.
struct ClusterLoad {
    logs: Vec<QueryLog>,
    loads: Vec<Load>,
}

impl ClusterLoad {
    /// Starts the load; `name` and the member's number are part of the queries' ids.
    fn start(cluster: &ZoneCluster, seed: u64, name: &str) -> ClusterLoad {
        let logs: Vec<QueryLog> = cluster.members.iter().map(|_| QueryLog::default()).collect();
        let loads = (cluster.members.iter().zip(&logs).enumerate())
            .map(|(n, (member, log))| {
                let clients = Clients::new(member.process.address, log.clone());
                Load::start(&format!("{name}{n}x{seed:x}"), seed ^ (n as u64) << 8, RATE, 0.0, clients)
            })
            .collect();
        ClusterLoad { logs, loads }
    }

    /// Stops the load and waits for what is open.
    async fn stop(self) -> Result<Vec<QueryLog>> {
        for load in self.loads {
            load.stop().await?;
        }
        Ok(self.logs)
    }
}

impl ZoneCluster {
    /// Plays one fault under load; the report, and the logs of clients by member.
    async fn play_under_load(&mut self, fault: Fault) -> Result<(FaultReport, Vec<QueryLog>)> {
        let load = ClusterLoad::start(self, self.seed, fault.name());
        tokio::time::sleep(LEAD_IN).await;
        let mut report = self.play_fault(fault).await?;
        let logs = load.stop().await?;
        // Of a region that is lost, its own clients tell.
        let counts = |n: &usize| fault != Fault::Region || self.members[*n].zone == SOUTH_ZONE;
        let counted: Vec<usize> = self.unaffected_members(fault).into_iter().filter(counts).collect();
        let service: f64 = counted.iter().map(|&n| logs[n].service()).sum();
        report.service = service / counted.len().max(1) as f64;
        Ok((report, logs))
    }

    async fn play_fault(&mut self, fault: Fault) -> Result<FaultReport> {
        let mut targets = Targets::draw(self.seed, fault);
        let (zone, other, all) = (targets.zone, targets.other, targets.all());
        let mut report = FaultReport::default();
        match fault {
            Fault::Calm => tokio::time::sleep(Duration::from_secs(5)).await,
            Fault::Replicas => self.play_replicas(zone, &mut report).await,
            Fault::Zone => self.play_zone(zone, &mut report).await?,
            Fault::Members => self.play_members(zone, &mut report).await?,
            Fault::HalfZone => self.play_half(zone, &mut report).await,
            Fault::Flaps => self.play_flaps(zone, &mut report).await,
            Fault::Partitioned => self.play_parted(zone, &mut report).await,
            Fault::Cut => self.play_cut(zone, other, &mut report).await,
            Fault::LeaderStopped => self.play_leader(&mut report).await,
            Fault::MajorityKilled => self.play_majority(all, &mut report).await?,
            Fault::TwoZones => self.play_two(all, &mut report).await,
            Fault::Slow => self.play_slow(zone, &mut report).await,
            Fault::Restarts => self.play_restarts(zone, other, &mut report).await?,
            Fault::Drain => self.play_drain(all, &mut report).await?,
            Fault::Lossy => self.play_lossy(zone, &mut report).await,
            Fault::IsolatedMember => self.play_sick(&mut report).await,
            Fault::Region => self.play_region(&mut report).await,
            Fault::InvalidDatagrams => self.play_strangers(&mut targets.rng, &mut report).await?,
        }
        Ok(report)
    }

    /// Members that the fault does not kill, stop or restart: nothing may be lost at them.
    fn unaffected_members(&self, fault: Fault) -> Vec<usize> {
        let Targets { zone, other, .. } = Targets::draw(self.seed, fault);
        let unaffected = |n: &usize| match fault {
            Fault::Zone | Fault::Members => !self.takes_part(*n) || self.members[*n].zone != zone,
            // Any voter may have led; the others go on.
            Fault::LeaderStopped => *n >= NORTH_ZONES,
            Fault::MajorityKilled => *n != zone && *n != other,
            // It can't serve, and says so.
            Fault::IsolatedMember => *n != ISOLATED_MEMBER,
            // One shuts down gracefully, and its clients find it closed.
            Fault::Restarts => self.members[*n].zone != other || *n < NORTH_ZONES,
            _ => true,
        };
        (0..self.members.len()).filter(unaffected).collect()
    }

    /// The loss of a zone without the common decision: as long as the decision took at most.
    async fn lose_undecided(&mut self, seed: u64) -> Result<(f64, Vec<QueryLog>)> {
        let zone = Targets::draw(seed, Fault::Replicas).zone;
        let load = ClusterLoad::start(self, seed, "blind");
        tokio::time::sleep(LEAD_IN).await;
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, true);
        tokio::time::sleep(Duration::from_secs(5)).await;
        self.heal(zone);
        tokio::time::sleep(Duration::from_secs(8)).await;
        let logs = load.stop().await?;
        let service = logs.iter().map(QueryLog::service).sum::<f64>() / logs.len() as f64;
        Ok((service, logs))
    }
}

/// Plays the loss of a zone in a cluster without the common decision; the mean service and the logs.
pub(super) async fn without_decision(
    program: &Path,
    seed: u64,
    mode: RoutingMode,
) -> Result<(f64, Vec<QueryLog>)> {
    let mut cluster = ZoneCluster::start(program, seed, mode).await?;
    cluster.lose_undecided(seed).await
}

/// Plays those faults in their order on one cluster. `aims`: whether times and service are promised, too; the rules
/// always are.
///
/// # Errors
///
/// A process that can't be started or does not do what the script needs of it.
pub async fn run_faults(
    program: &Path,
    seed: u64,
    faults: &[Fault],
    verbose: bool,
    aims: bool,
) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    let mut cluster = ZoneCluster::start(program, seed, RoutingMode::Agreed).await?;
    let mut totals = Totals::default();
    for &fault in faults {
        let before = cluster.part_locality().await;
        let (report, logs) = cluster.play_under_load(fault).await?;
        if verbose {
            report.print(fault);
        }
        report.service_figure(fault, &mut outcome);
        if fault == Fault::Calm {
            super::figures::calm_figures(before, cluster.part_locality().await, &mut outcome);
        }
        report.promises(fault, aims, &mut outcome);
        totals.add(&cluster, &report, logs, &cluster.unaffected_members(fault));
    }
    totals.figures(&cluster, &mut outcome);
    debug_assert_eq!(cluster.mode, RoutingMode::Agreed);
    Ok(outcome)
}

//! Runs faults under load and collects their figures.

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

/// Load on each member, in queries per second.
const RATE: f64 = 18.0;
/// Time under load before the fault begins.
const LEAD_IN: Duration = Duration::from_millis(1500);

/// Zones drawn for a fault, and the generator for its further random values.
struct Targets {
    /// Zone that fails.
    zone: usize,
    /// Another zone of the same region.
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

    /// The failing zone, the other zone and the third zone.
    fn all(&self) -> [usize; 3] {
        [self.zone, self.other, 3 - self.zone - self.other]
    }
}

/// Load on all members, with a separate query log for each.
struct ClusterLoad {
    logs: Vec<QueryLog>,
    loads: Vec<Load>,
}

impl ClusterLoad {
    /// Starts the load. The query ids contain `name` and the index of the member.
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

    /// Stops the load and waits for open queries.
    async fn stop(self) -> Result<Vec<QueryLog>> {
        for load in self.loads {
            load.stop().await?;
        }
        Ok(self.logs)
    }
}

impl ZoneCluster {
    /// Runs one fault under load. Returns its report and the query logs by member.
    async fn run_under_load(&mut self, fault: Fault) -> Result<(FaultReport, Vec<QueryLog>)> {
        let load = ClusterLoad::start(self, self.seed, fault.name());
        tokio::time::sleep(LEAD_IN).await;
        let mut report = self.run_fault(fault).await?;
        let logs = load.stop().await?;
        // If a region is lost, only the service of its own clients counts.
        let counts = |n: &usize| fault != Fault::Region || self.members[*n].zone == SOUTH_ZONE;
        let counted: Vec<usize> = self.unaffected_members(fault).into_iter().filter(counts).collect();
        let service: f64 = counted.iter().map(|&n| logs[n].service()).sum();
        report.service = service / counted.len().max(1) as f64;
        Ok((report, logs))
    }

    async fn run_fault(&mut self, fault: Fault) -> Result<FaultReport> {
        let mut targets = Targets::draw(self.seed, fault);
        let (zone, other, all) = (targets.zone, targets.other, targets.all());
        let mut report = FaultReport::default();
        match fault {
            Fault::Calm => tokio::time::sleep(Duration::from_secs(5)).await,
            Fault::Replicas => self.run_replica_outage(zone, &mut report).await,
            Fault::Zone => self.run_zone_outage(zone, &mut report).await?,
            Fault::Members => self.run_members_killed(zone, &mut report).await?,
            Fault::HalfZone => self.run_half_zone(zone, &mut report).await,
            Fault::Flaps => self.run_flaps(zone, &mut report).await,
            Fault::Partitioned => self.run_partition(zone, &mut report).await,
            Fault::Cut => self.run_path_cut(zone, other, &mut report).await,
            Fault::LeaderStopped => self.run_leader_stopped(&mut report).await,
            Fault::MajorityKilled => self.run_majority_killed(all, &mut report).await?,
            Fault::TwoZones => self.run_two_zones(all, &mut report).await,
            Fault::Slow => self.run_slow_zone(zone, &mut report).await,
            Fault::Restarts => self.run_restarts(zone, other, &mut report).await?,
            Fault::Drain => self.run_drain(all, &mut report).await?,
            Fault::Lossy => self.run_lossy(zone, &mut report).await,
            Fault::IsolatedMember => self.run_isolated_member(&mut report).await,
            Fault::Region => self.run_region(&mut report).await,
            Fault::InvalidDatagrams => self.run_invalid_datagrams(&mut targets.rng, &mut report).await?,
        }
        Ok(report)
    }

    /// Members at which the fault must not cause lost queries, because it does not kill, stop, restart or isolate them.
    fn unaffected_members(&self, fault: Fault) -> Vec<usize> {
        let Targets { zone, other, .. } = Targets::draw(self.seed, fault);
        let unaffected = |n: &usize| match fault {
            Fault::Zone | Fault::Members => !self.takes_part(*n) || self.members[*n].zone != zone,
            // Any voter may be the leader that is stopped.
            Fault::LeaderStopped => *n >= NORTH_ZONES,
            Fault::MajorityKilled => *n != zone && *n != other,
            // The isolated member can't serve queries and rejects them.
            Fault::IsolatedMember => *n != ISOLATED_MEMBER,
            // One of these members shuts down, so that its clients can't connect.
            Fault::Restarts => self.members[*n].zone != other || *n < NORTH_ZONES,
            _ => true,
        };
        (0..self.members.len()).filter(unaffected).collect()
    }

    /// Runs the loss of a zone without the common decision. The zone is lost for as long as the decision would take
    /// at most. Returns the mean service and the query logs by member.
    async fn fail_zone_undecided(&mut self, seed: u64) -> Result<(f64, Vec<QueryLog>)> {
        let zone = Targets::draw(seed, Fault::Replicas).zone;
        let load = ClusterLoad::start(self, seed, "blind");
        tokio::time::sleep(LEAD_IN).await;
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, true);
        tokio::time::sleep(Duration::from_secs(5)).await;
        self.restore_zone(zone);
        tokio::time::sleep(Duration::from_secs(8)).await;
        let logs = load.stop().await?;
        let service = logs.iter().map(QueryLog::service).sum::<f64>() / logs.len() as f64;
        Ok((service, logs))
    }
}

/// Runs the loss of a zone in a new cluster without the common decision. Returns the mean service and the query logs by
/// member.
pub(super) async fn run_without_decision(
    program: &Path,
    seed: u64,
    mode: RoutingMode,
) -> Result<(f64, Vec<QueryLog>)> {
    let mut cluster = ZoneCluster::start(program, seed, mode).await?;
    cluster.fail_zone_undecided(seed).await
}

/// Runs the faults in the given order on one cluster. Limits on times and service are checked only if `check_targets`
/// is set; all other requirements are always checked.
///
/// # Errors
///
/// Returns an error if a process can't be started or fails a step of the script.
pub async fn run_faults(
    program: &Path,
    seed: u64,
    faults: &[Fault],
    verbose: bool,
    check_targets: bool,
) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    let mut cluster = ZoneCluster::start(program, seed, RoutingMode::Agreed).await?;
    let mut totals = Totals::default();
    for &fault in faults {
        let before = cluster.part_locality().await;
        let (report, logs) = cluster.run_under_load(fault).await?;
        if verbose {
            report.print(fault);
        }
        report.service_figure(fault, &mut outcome);
        if fault == Fault::Calm {
            super::figures::calm_figures(before, cluster.part_locality().await, &mut outcome);
        }
        report.check_requirements(fault, check_targets, &mut outcome);
        totals.add(&cluster, &report, logs, &cluster.unaffected_members(fault));
    }
    totals.figures(&cluster, &mut outcome);
    debug_assert_eq!(cluster.mode, RoutingMode::Agreed);
    Ok(outcome)
}

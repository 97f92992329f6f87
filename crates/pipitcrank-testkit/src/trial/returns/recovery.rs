//! Runs one case of the return trial: the drain before the outage, the outage and the recovery.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use pipitcrank_failover::decision::{OperatorOrder, ZoneState};
use pipitcrank_failover::node::OperatorAnswer;

use super::case::Case;
use super::cluster::{DRAINED_ZONE, MEMBERS, RATE, RestartCluster};
use super::outage::Outage;
use super::report::CaseReport;
use crate::query_log::{QueryLog, ServiceTotals};

/// Full service is reached when each of the next `FULL_FOR_S` seconds has at least this fraction of the service
/// before the outage.
const FULL_FRACTION: f64 = 0.95;
const FULL_FOR_S: u64 = 5;
/// Interval between the moments tested for full service.
const FULL_STEP_MS: u64 = 250;
/// Period after the last start in which full service may begin and errors are counted.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);
const ONE_SECOND: Duration = Duration::from_secs(1);
/// Time left out at the end of the baseline period, whose queries may still be open.
const OPEN_QUERY_MARGIN: Duration = Duration::from_millis(500);

/// Service of the queries sent within a period, over all members.
struct Service {
    /// Utility earned divided by utility offered.
    fraction: f64,
    /// Number of queries that got no usable answer.
    failed: u64,
}

fn service(logs: &[QueryLog], from: Instant, to: Instant) -> Service {
    let each = logs.iter().map(|log| log.service_between(from, to));
    let sum = each.fold(ServiceTotals::default(), |sum, one| ServiceTotals {
        earned: sum.earned + one.earned,
        offered: sum.offered + one.offered,
        failed: sum.failed + one.failed,
    });
    Service { fraction: sum.earned / sum.offered.max(1e-9), failed: sum.failed }
}

impl RestartCluster {
    /// Runs one case under load; `logs` are the query logs by member.
    pub(super) async fn run_case(&mut self, case: Case, seed: u64, logs: &[QueryLog]) -> Result<CaseReport> {
        let mut report = CaseReport::default();
        let copies = if case == Case::StaleStores { self.copy_stores().await? } else { Vec::new() };
        let baseline = self.drain_zone(logs, &mut report).await?;
        let newest = self.newest_decision();
        let outage = Outage::draw(case, seed);
        let started = self.run_outage(outage, &copies, newest, &mut report).await?;
        self.measure_recovery(started, baseline, logs, &mut report).await;
        // A decision has to survive the restart if a majority of the voters have it in their stores.
        let kept = self.stores_enabled && case != Case::LostVoterStores;
        let drained = case != Case::Failover;
        if kept && !self.all(|_, d| d.number >= newest && (!drained || RestartCluster::is_drained(d))) {
            report.fail("what was decided before did not outlive the processes");
        }
        if case == Case::Stores {
            self.check_return_and_plan(&mut report).await?;
        }
        Ok(report)
    }

    /// Drains a zone and returns the baseline service without it.
    async fn drain_zone(&self, logs: &[QueryLog], report: &mut CaseReport) -> Result<f64> {
        match self.order(OperatorOrder::Drain(DRAINED_ZONE as u16)).await? {
            OperatorAnswer::Decided(_) => {}
            answer => report.fail(format!("the zone was not drained: {answer:?}")),
        }
        let drained = |cluster: &RestartCluster| cluster.all(|_, d| RestartCluster::is_drained(d));
        let out = self.until(drained, 15.0).await;
        ensure!(out.is_some(), "routing did not move off the drained zone: {}", self.logs());
        tokio::time::sleep(ONE_SECOND).await;
        let from = Instant::now();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let to = Instant::now();
        report.before = self.fleet.peak_arrivals(ONE_SECOND, from, to);
        Ok(service(logs, from, to - OPEN_QUERY_MARGIN).fraction)
    }

    async fn measure_recovery(
        &self,
        started: Instant,
        baseline: f64,
        logs: &[QueryLog],
        report: &mut CaseReport,
    ) {
        let agreed = self.until(RestartCluster::all_follow, 20.0).await;
        report.agreed = agreed.map(|_| started.elapsed().as_secs_f64());
        if report.agreed.is_none() {
            report.fail(format!("copies do not find together again: {}", self.logs()));
        }
        let measured = started + RECOVERY_LIMIT + Duration::from_secs(FULL_FOR_S);
        tokio::time::sleep(measured.saturating_duration_since(Instant::now())).await;
        let end = Instant::now();
        // Finds the first moment from which each of the next seconds has full service.
        let after = |ms: u64| started + Duration::from_millis(ms);
        let is_full =
            |ms: u64| service(logs, after(ms), after(ms + 1000)).fraction >= FULL_FRACTION * baseline;
        let limit_ms = RECOVERY_LIMIT.as_millis() as u64;
        let full = (0..=(limit_ms / FULL_STEP_MS))
            .map(|n| n * FULL_STEP_MS)
            .find(|&ms| (0..FULL_FOR_S).all(|second| is_full(ms + second * 1000)));
        report.full = full.map(|ms| ms as f64 / 1000.0);
        let failed = service(logs, started, after(limit_ms)).failed;
        let offered = RATE * MEMBERS as f64 * RECOVERY_LIMIT.as_secs_f64();
        report.errors = failed as f64 / offered;
        report.after = self.fleet.peak_arrivals(ONE_SECOND, started, end);
    }

    /// Checks that the drained zone can be returned to service and that a restart can then be planned.
    async fn check_return_and_plan(&self, report: &mut CaseReport) -> Result<()> {
        let answer = self.order(OperatorOrder::Return(DRAINED_ZONE as u16)).await?;
        let home = |cluster: &RestartCluster| {
            cluster.all(|_, d| {
                d.zones.iter().all(|zone| zone.state == ZoneState::Serving && zone.retained == 1000)
            })
        };
        if !matches!(answer, OperatorAnswer::Decided(_)) || self.until(home, 15.0).await.is_none() {
            report.fail(format!("the drained zone did not return: {answer:?}"));
        }
        let plan = self.command(1, &["restart-plan", "--share", "0.25"]).await?;
        let last = plan.text.lines().last().unwrap_or("");
        let named =
            self.members.iter().filter(|member| plan.text.contains(&member.known_as.to_string())).count();
        if !plan.done || named != MEMBERS || !last.contains("voter") {
            report.fail(format!("no plan of a restart: {}", plan.text));
        }
        Ok(())
    }
}

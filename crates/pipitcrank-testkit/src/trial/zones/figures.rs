//! Figures and requirements of the zones trial.

use super::cluster::{BUDGET, MOVED_WITHIN_S, PartLocality, SLOW_START, ZoneCluster};
use super::fault::Fault;
use super::report::FaultReport;
use crate::outcome::Outcome;
use crate::query_log::{QueryLog, QueryOutcome, RetryBudget};

/// Upper limit of the fraction of parts that cross zones while nothing fails.
const MAX_CROSS_ZONE: f64 = 0.05;
/// Lower limit of the service while a zone is lost.
const MIN_SERVICE: f64 = 0.97;

impl FaultReport {
    pub(super) fn print(&self, fault: Fault) {
        let seconds = |x: Option<f64>| x.map_or("-".to_string(), |x| format!("{x:.2}"));
        println!(
            "{:<10} service {:>6.2} %  moved {:>6} s  back {:>6} s",
            fault.name(),
            self.service * 100.0,
            seconds(self.moved),
            seconds(self.recovered)
        );
        if let Some(late) = &self.late {
            println!("moved late: {late}");
        }
    }

    pub(super) fn service_figure(&self, fault: Fault, outcome: &mut Outcome) {
        outcome.figure(&format!("service, {}, %", fault.name().to_lowercase()), self.service * 100.0);
    }

    /// Checks the requirements for one fault. Times and service are checked only if `check_targets` is set; the
    /// expectations of the fault itself are always checked.
    pub(super) fn check_requirements(&self, fault: Fault, check_targets: bool, outcome: &mut Outcome) {
        let name = fault.name().to_lowercase();
        if check_targets && matches!(fault, Fault::Replicas | Fault::Zone) {
            outcome.expect_that(
                self.moved.is_some_and(|s| s <= MOVED_WITHIN_S),
                &format!("moved within {MOVED_WITHIN_S} s of a zone's loss ({name}: {:?})", self.moved),
            );
            outcome.expect_that(
                self.service >= MIN_SERVICE,
                &format!("service at least 97 % where the rest can carry it ({name}: {:.3})", self.service),
            );
        }
        self.failures.iter().for_each(|what| outcome.expect_that(false, &format!("{name}: {what}")));
    }
}

/// Reports and checks the fraction of parts that crossed zones while nothing failed.
pub(super) fn calm_figures(before: PartLocality, after: PartLocality, outcome: &mut Outcome) {
    let (same_zone, cross_zone) = (after.same_zone - before.same_zone, after.cross_zone - before.cross_zone);
    let fraction = cross_zone as f64 / (same_zone + cross_zone).max(1) as f64;
    outcome.figure("parts that cross zones on calm, %", fraction * 100.0);
    outcome.expect_that(fraction < MAX_CROSS_ZONE, "under 5 % of parts cross zones on calm");
}

/// Totals over all faults of a run.
#[derive(Default)]
pub(super) struct Totals {
    moved: Vec<f64>,
    recovered: Vec<f64>,
    logs: Vec<QueryLog>,
    lost: u64,
    queries: u64,
    unexpected_statuses: u64,
    answered_twice: u64,
    over_budget: f64,
}

impl Totals {
    /// Adds the results of one fault. Lost queries count only at the unaffected members.
    pub(super) fn add(
        &mut self,
        cluster: &ZoneCluster,
        report: &FaultReport,
        logs: Vec<QueryLog>,
        unaffected: &[usize],
    ) {
        self.moved.extend(report.moved);
        self.recovered.extend(report.recovered);
        for &n in unaffected {
            self.lost += logs[n].count(QueryOutcome::Lost) + logs[n].open();
        }
        for log in logs {
            self.queries += log.total();
            self.unexpected_statuses += log.unexpected_statuses();
            self.answered_twice += log.answered_twice();
            self.logs.push(log);
        }
        // Each member has its own budget, so the sum of the budgets limits the retries of the cluster.
        let budget = RetryBudget { free: BUDGET.free * cluster.members.len() as f64, ..BUDGET };
        let logs: Vec<&QueryLog> = self.logs.iter().collect();
        let over = cluster.fleet.query_log.over_budget_with_queries_of(&logs, budget);
        self.over_budget = self.over_budget.max(over);
    }

    pub(super) fn figures(self, cluster: &ZoneCluster, outcome: &mut Outcome) {
        outcome.figure("queries", self.queries as f64);
        outcome.expect_zero("lost at copies that lived", self.lost);
        outcome.expect_zero("answered twice", self.answered_twice);
        outcome.expect_zero("odd answers", self.unexpected_statuses);
        let query_log = &cluster.fleet.query_log;
        outcome.expect_zero("side-effecting parts run twice", query_log.parts_run_again("sale-"));
        decision_figures(cluster, outcome);
        let over = cluster.fleet.parts_over_slow_start(SLOW_START);
        outcome.expect_zero("parts over what a cold leaf may get", over);
        outcome.figure("further runs over the budget", self.over_budget);
        outcome.expect_that(self.over_budget <= 0.0, "further calls stay within the budgets");
        for (name, mut values) in [("moved, s", self.moved), ("back home, s", self.recovered)] {
            values.sort_by(f64::total_cmp);
            if let (Some(middle), Some(longest)) = (values.get(values.len() / 2), values.last()) {
                outcome.figure(&format!("{name}: middle"), *middle);
                outcome.figure(&format!("{name}: longest"), *longest);
            }
        }
        let datagrams = cluster.net.counts();
        outcome.figure("datagrams between copies", datagrams.passed as f64);
        outcome.figure("bytes a datagram", datagrams.bytes as f64 / datagrams.passed.max(1) as f64);
        outcome.figure("datagrams dropped on purpose", datagrams.dropped as f64);
        let logs: String = cluster.members.iter().map(|member| member.process.log()).collect();
        let panicked = logs.lines().find(|line| line.contains("panicked"));
        outcome.expect_that(panicked.is_none(), &format!("nothing panics: {panicked:?}"));
    }
}

fn decision_figures(cluster: &ZoneCluster, outcome: &mut Outcome) {
    let observed = cluster.observed.borrow();
    outcome.figure("decisions", observed.decisions.len() as f64);
    outcome.expect_zero("two decisions under one number", observed.conflicting_decisions);
    outcome.expect_zero("acted on an older decision", observed.regressions);
    outcome.expect_zero("planned beyond capacity", observed.over_capacity);
}

//! Figures and requirements of the return trial.

use super::case::Case;
use super::cluster::{MEMBERS, RestartCluster};
use super::report::CaseReport;
use crate::outcome::Outcome;
use crate::query_log::{QueryLog, QueryOutcome, RetryBudget};

/// Required time limit from the start of the last process to full service if members have stores, in seconds.
const BACK_WITHIN_S: f64 = 5.0;
/// Limit on parts that arrive at one replica in a second: 1.2 times the 200 parts that it serves.
const MOST_PARTS: f64 = 1.2 * 200.0;
/// Figure printed for a time that was not reached within its limit, in seconds.
const TIMED_OUT_S: f64 = 99.0;
/// Retry budget of one member, as in the node configuration.
const BUDGET: RetryBudget = RetryBudget {
    free: 5.0,
    fraction: 0.1,
    window: std::time::Duration::from_secs(10),
    run_delay: std::time::Duration::from_secs(2),
};

impl CaseReport {
    pub(super) fn print(&self, case: Case) {
        let seconds = |x: Option<f64>| x.map_or("-".to_string(), |x| format!("{x:.2}"));
        println!(
            "{:<10} full service after {:>5} s, one decision after {:>5} s, errors {:>5.2} %, most parts {} -> {}, connections {} -> {}",
            case.name().to_lowercase(),
            seconds(self.full),
            seconds(self.agreed),
            self.errors * 100.0,
            self.before.parts,
            self.after.parts,
            self.before.connections,
            self.after.connections
        );
    }

    /// Reports the figures of one case and checks its requirements. Limits on times and loads are checked only if
    /// `check_targets` is set; the expectations of the case itself are always checked.
    pub(super) fn figures(&self, case: Case, check_targets: bool, outcome: &mut Outcome) {
        let name = case.name().to_lowercase();
        outcome.figure(&format!("{name}: full service, s"), self.full.unwrap_or(TIMED_OUT_S));
        outcome.figure(&format!("{name}: one decision, s"), self.agreed.unwrap_or(TIMED_OUT_S));
        outcome.figure(&format!("{name}: errors in ten seconds, %"), self.errors * 100.0);
        let after = self.after;
        outcome.figure(&format!("{name}: most parts at a leaf in a second"), after.parts as f64);
        outcome.figure(&format!("{name}: most connections at a leaf in a second"), after.connections as f64);
        let targets_apply = check_targets && case.keeps_stores() && case != Case::Failover;
        outcome.expect_that(
            !targets_apply || self.full.is_some_and(|s| s <= BACK_WITHIN_S),
            &format!(
                "full service within {BACK_WITHIN_S} s where something was kept ({name}: {:?})",
                self.full
            ),
        );
        outcome.expect_that(
            !check_targets || after.parts as f64 <= MOST_PARTS,
            &format!("at most {MOST_PARTS} parts a second come to a leaf ({name}: {})", after.parts),
        );
        self.failures.iter().for_each(|what| outcome.expect_that(false, &format!("{name}: {what}")));
    }
}

/// Totals over all cases of a run.
#[derive(Default)]
pub(super) struct Totals {
    lost: u64,
    answered_twice: u64,
    unexpected_statuses: u64,
    sales_repeated: u64,
    conflicting_decisions: u64,
    regressions: u64,
    over_budget: f64,
}

impl Totals {
    /// Adds the results of one case; `logs` are the query logs by member.
    pub(super) fn add(&mut self, case: Case, cluster: &RestartCluster, logs: &[QueryLog]) {
        // A member that no fault affects loses no query, and a graceful shutdown loses no accepted query.
        let unaffected = |n: usize| match case {
            Case::OneSurvivor => n == MEMBERS - 1,
            Case::RollingRestart => true,
            _ => false,
        };
        for n in (0..MEMBERS).filter(|&n| unaffected(n)) {
            self.lost += logs[n].count(QueryOutcome::Lost) + logs[n].open();
        }
        self.answered_twice += logs.iter().map(QueryLog::answered_twice).sum::<u64>();
        self.unexpected_statuses += logs.iter().map(QueryLog::unexpected_statuses).sum::<u64>();
        let query_log = &cluster.fleet.query_log;
        self.sales_repeated += query_log.parts_run_again("sale-");
        // With a store, the restarted process continues the budget of the killed one. Without a store, each start
        // has a new budget.
        let starts = if case.keeps_stores() { MEMBERS } else { 2 * MEMBERS } as f64;
        let budget = RetryBudget { free: BUDGET.free * starts, ..BUDGET };
        let all_logs: Vec<&QueryLog> = logs.iter().collect();
        self.over_budget = self.over_budget.max(query_log.over_budget_with_queries_of(&all_logs, budget));
        let observed = cluster.observed.borrow();
        self.conflicting_decisions += observed.conflicting_decisions;
        self.regressions += observed.regressions;
    }

    pub(super) fn figures(&self, outcome: &mut Outcome) {
        outcome.expect_zero("lost at copies that no fault touched", self.lost);
        outcome.expect_zero("answered twice", self.answered_twice);
        outcome.expect_zero("odd answers", self.unexpected_statuses);
        outcome.expect_zero("side-effecting parts run twice", self.sales_repeated);
        outcome.expect_zero("two decisions under one number", self.conflicting_decisions);
        outcome.expect_zero("acted on an older decision", self.regressions);
        outcome.figure("further runs over the budget", self.over_budget);
        outcome.expect_that(self.over_budget <= 0.0, "further calls stay within the budgets");
    }
}

/// Checks that no process of the case panicked.
pub(super) fn expect_no_panic(case: Case, cluster: &RestartCluster, outcome: &mut Outcome) {
    let logs: String = cluster.members.iter().map(|member| member.process.log()).collect();
    // The store's library panics on some truncated files; the program catches these panics.
    let panicked = logs.lines().find(|line| line.contains("panicked") && !line.contains("'store'"));
    let name = case.name().to_lowercase();
    outcome.expect_that(panicked.is_none(), &format!("{name}: nothing panics: {panicked:?}"));
}

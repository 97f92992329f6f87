//! Result of a trial: its figures and the expectations that were not met.

use anyhow::Result;
use serde::Serialize;

use crate::query_log::{QueryLog, QueryOutcome};

/// Result of a trial.
#[derive(Default, Serialize)]
pub struct Outcome {
    /// Names and values of the figures, in the order in which they are printed.
    pub figures: Vec<(String, f64)>,
    /// Expectations that were not met.
    pub broken: Vec<String>,
}

impl Outcome {
    /// Adds a figure.
    pub fn figure(&mut self, name: &str, value: impl Into<f64>) {
        self.figures.push((name.to_string(), value.into()));
    }

    /// Adds a figure that must be zero.
    pub fn expect_zero(&mut self, name: &str, value: u64) {
        self.figure(name, value as f64);
        if value != 0 {
            self.broken.push(format!("{name} is {value}, not 0"));
        }
    }

    /// Records the expectation as broken unless it was met.
    pub fn expect_that(&mut self, met: bool, expectation: &str) {
        if !met {
            self.broken.push(expectation.to_string());
        }
    }

    /// Expects one final answer per query, one run per side-effecting part, and no unexpected status.
    pub(crate) fn expect_exactly_once(&mut self, query_log: &QueryLog) {
        self.expect_zero("answered twice", query_log.answered_twice());
        self.expect_zero("side-effecting parts run twice", query_log.parts_run_again("sale-"));
        self.expect_zero("odd answers", query_log.unexpected_statuses());
    }

    /// Adds the outcomes of the queries and the repeated runs of repeatable parts as figures.
    pub(crate) fn query_outcomes(&mut self, query_log: &QueryLog) {
        self.figure("merged", query_log.count(QueryOutcome::Complete) as f64);
        self.figure("merged in part", query_log.count(QueryOutcome::Partial) as f64);
        self.figure("rejected", query_log.count(QueryOutcome::Rejected) as f64);
        self.figure("aborted", query_log.count(QueryOutcome::Aborted) as f64);
        self.figure(
            "repeatable parts run again",
            (query_log.parts_run_again("view-") + query_log.parts_run_again("rank-")) as f64,
        );
    }

    pub(crate) fn print(&self, json: bool) -> Result<()> {
        if json {
            let figures: serde_json::Map<String, serde_json::Value> =
                self.figures.iter().map(|(k, v)| (k.clone(), (*v).into())).collect();
            println!("{}", serde_json::json!({"figures": figures, "broken": self.broken}));
            return Ok(());
        }
        for (name, value) in &self.figures {
            println!("{name:<44} {value:>12.1}");
        }
        for broken in &self.broken {
            println!("BROKEN: {broken}");
        }
        println!("{}", if self.broken.is_empty() { "the promise held" } else { "the promise did not hold" });
        Ok(())
    }
}

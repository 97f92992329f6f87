//! What a trial ends with: its figures in their order, and the promises that were not kept.

use anyhow::Result;
use serde::Serialize;

use crate::query_log::{QueryLog, QueryOutcome};

/// Figures in their order, and promises that were not kept.
#[derive(Default, Serialize)]
pub struct Outcome {
    /// Figures by name, in their order.
    pub figures: Vec<(String, f64)>,
    /// Promises that were not kept.
    pub broken: Vec<String>,
}

impl Outcome {
    /// Adds a figure.
    pub fn figure(&mut self, name: &str, value: impl Into<f64>) {
        self.figures.push((name.to_string(), value.into()));
    }

    /// Adds a figure that has to be zero.
    pub fn expect_zero(&mut self, name: &str, value: u64) {
        self.figure(name, value as f64);
        if value != 0 {
            self.broken.push(format!("{name} is {value}, not 0"));
        }
    }

    /// Notes the promise as broken unless it was kept.
    pub fn expect_that(&mut self, kept: bool, what: &str) {
        if !kept {
            self.broken.push(what.to_string());
        }
    }

    /// One final answer a query, one run a side-effecting part.
    pub(crate) fn expect_exactly_once(&mut self, query_log: &QueryLog) {
        self.expect_zero("answered twice", query_log.answered_twice());
        self.expect_zero("side-effecting parts run twice", query_log.parts_run_again("sale-"));
        self.expect_zero("odd answers", query_log.unexpected_statuses());
    }

    /// How queries ended, and what ran again.
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

//! Named scenarios on loopback. The same seed plays the same script; each is bounded in time and says by its exit code
//! whether its promise held.

pub mod gateway;
pub mod returns;
pub mod upgrade;
pub mod zones;

use std::path::Path;
use std::time::Duration;

use anyhow::{Result, bail};
use serde::Serialize;

use crate::query_log::{QueryLog, QueryOutcome};
use crate::soak;

/// No trial lasts longer, and a round more, whatever hangs.
const LONGEST: Duration = Duration::from_secs(60);
const A_ROUND: Duration = Duration::from_secs(12);

/// Figures in their order, and promises that were not kept.
#[derive(Default, Serialize)]
pub struct Outcome {
    pub figures: Vec<(String, f64)>,
    pub broken: Vec<String>,
}

impl Outcome {
    pub fn figure(&mut self, name: &str, value: impl Into<f64>) {
        self.figures.push((name.to_string(), value.into()));
    }

    /// A figure that has to be nought.
    pub fn expect_zero(&mut self, name: &str, value: u64) {
        self.figure(name, value as f64);
        if value != 0 {
            self.broken.push(format!("{name} is {value}, not 0"));
        }
    }

    pub fn promise(&mut self, kept: bool, what: &str) {
        if !kept {
            self.broken.push(what.to_string());
        }
    }

    /// One final answer a query, one run a side-effecting part.
    fn once_each(&mut self, query_log: &QueryLog) {
        self.expect_zero("answered twice", query_log.answered_twice());
        self.expect_zero("side-effecting parts run twice", query_log.parts_run_again("sale-"));
        self.expect_zero("odd answers", query_log.unexpected_statuses());
    }

    /// How queries ended, and what ran again.
    fn ends(&mut self, query_log: &QueryLog) {
        self.figure("merged", query_log.count(QueryOutcome::Complete) as f64);
        self.figure("merged in part", query_log.count(QueryOutcome::Partial) as f64);
        self.figure("rejected", query_log.count(QueryOutcome::Rejected) as f64);
        self.figure("aborted", query_log.count(QueryOutcome::Aborted) as f64);
        self.figure(
            "repeatable parts run again",
            (query_log.parts_run_again("view-") + query_log.parts_run_again("rank-")) as f64,
        );
    }

    fn show(&self, json: bool) -> Result<()> {
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

pub fn on_one_thread<T>(limit: Duration, run: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        match tokio::time::timeout(limit, run).await {
            Ok(ended) => ended,
            Err(_) => bail!("it did not end within {limit:?}"),
        }
    })
}

pub const NAMES: &str = "upgrade, upgrade-overloaded, upgrade-known, gateway, gateway-table, zones, return, soak, soak-short, soak-hard";

/// What of a trial can be told: the same seed plays the same script.
pub struct TrialOptions<'a> {
    pub seed: u64,
    pub rounds: u32,
    /// One kind of round alone.
    pub only: Option<&'a str>,
    pub json: bool,
}

/// Plays one; the exit code.
pub fn play(program: &Path, name: &str, options: TrialOptions) -> Result<i32> {
    let TrialOptions { seed, rounds, only, json } = options;
    let limit = LONGEST + A_ROUND * rounds;
    let outcome = match name {
        "upgrade" => on_one_thread(limit, upgrade::play(program, seed, rounds, only, !json))?,
        "upgrade-overloaded" => on_one_thread(limit, upgrade::overloaded(program, seed, rounds))?,
        "upgrade-known" => on_one_thread(limit, upgrade::known(program, seed))?,
        "gateway" => on_one_thread(limit, gateway::play(program, seed, !json))?,
        "gateway-table" => on_one_thread(limit * 3, gateway::table(program, seed))?,
        "zones" => on_one_thread(limit * 2, zones::play(program, seed, only, !json))?,
        "return" => on_one_thread(limit * 3, returns::play(program, seed, only, !json))?,
        "soak" => on_one_thread(limit * 2, soak::play(program, seed, soak::Size::FULL, only, !json))?,
        "soak-hard" => on_one_thread(limit * 2, soak::play(program, seed, soak::Size::HARD, only, !json))?,
        "soak-short" => on_one_thread(limit * 2, soak::play(program, seed, soak::Size::SHORT, only, !json))?,
        _ => bail!("no trial is named '{name}'; there are: {NAMES}"),
    };
    outcome.show(json)?;
    Ok(if outcome.broken.is_empty() { 0 } else { 1 })
}

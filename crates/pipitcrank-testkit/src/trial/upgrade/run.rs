//! Runs the rounds of the upgrade trial on one process under load.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::JoinHandle;

use super::figures;
use super::load::{LoadProfile, SLOW_SALES};
use super::round::Round;
use super::session::UpgradeRun;
use crate::client::{DedicatedConnection, QueryRequest};
use crate::fleet::Load;
use crate::outcome::Outcome;
use crate::query_log::{QueryLog, QueryOutcome};

/// Number of idle connections opened before a process is killed, so that some are still idle in that process even if
/// the load uses others.
const IDLE_PER_KILL: usize = 40;
/// Number of rounds between two queries of an idle client.
const IDLE_PERIOD: usize = 10;
/// Number of clients per round that send their request in pieces.
const PARTIAL_CLIENTS: usize = 8;
/// Number of log lines quoted in an error.
const LOG_TAIL: usize = 40;

impl UpgradeRun {
    async fn run_one(
        &mut self,
        n: usize,
        round: Round,
        rng: &mut Pcg64,
        outcome: &mut Outcome,
    ) -> Result<()> {
        let partial = send_partial_requests(self.process.address, &self.fleet.query_log, n, rng);
        if round == Round::OldKilled {
            self.clients.open_idle(&format!("rest{n}"), IDLE_PER_KILL).await;
        }
        self.run_round(round)
            .await
            .with_context(|| format!("round {}, {round}; log tail: {}", n + 1, self.log_tail()))?;
        self.expected = self.expected + round.expected();
        for request in partial {
            let ended = request.await?;
            let answered =
                matches!(ended, QueryOutcome::Complete | QueryOutcome::Rejected) || round == Round::OldKilled;
            outcome.expect_that(answered, &format!("round {}: a request in pieces ended {ended}", n + 1));
        }
        let due = self.idle.iter_mut().enumerate().skip(n % IDLE_PERIOD).step_by(IDLE_PERIOD);
        for (m, connection) in due {
            connection.send_in_pieces(QueryRequest::short(&format!("view-idle{m}-{}", n + 1)), &[]).await;
        }
        Ok(())
    }

    fn log_tail(&self) -> String {
        let log = self.process.log();
        let mut tail: Vec<&str> = log.lines().rev().take(LOG_TAIL).collect();
        tail.reverse();
        tail.join("\n")
    }
}

/// Runs the rounds in the given order, and returns the figures and unmet requirements of the whole run.
pub(super) async fn run_rounds(
    program: &Path,
    seed: u64,
    script: &[Round],
    profile: LoadProfile,
    verbose: bool,
) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    let mut rng = Pcg64::seed_from_u64(seed ^ 5);
    let mut run = UpgradeRun::start(program, seed, profile).await?;
    let load = Load::start("load", seed ^ 2, profile.rate, SLOW_SALES, run.clients.clone());
    for (n, &round) in script.iter().enumerate() {
        if verbose {
            let log = &run.fleet.query_log;
            let (all, rejected) = (log.total(), log.count(QueryOutcome::Rejected));
            println!("round {:>3}: {round}, after {all} queries, {rejected} rejected", n + 1);
        }
        run.run_one(n, round, &mut rng, &mut outcome).await?;
    }
    let done = run.process.counter("upgrades done").await;
    let undone = run.process.counter("upgrades undone").await;
    load.stop().await?;
    let after = run.process.resource_usage();
    figures::upgrades(script, &run, done, undone, &mut outcome);
    figures::queries(script, &run, &mut outcome);
    figures::response_times(&run, &mut outcome);
    figures::resources(&run, after, &mut outcome);
    figures::shutdown(run, &mut outcome).await?;
    Ok(outcome)
}

/// Starts clients that send only part of their request, cut in the head or in the body, and the rest later in the
/// round.
fn send_partial_requests(
    address: SocketAddr,
    query_log: &QueryLog,
    round: usize,
    rng: &mut Pcg64,
) -> Vec<JoinHandle<QueryOutcome>> {
    let requests = (0..PARTIAL_CLIENTS).map(|n| {
        let query = QueryRequest::short(&format!("view-half{round}-{n}"));
        let cut = if n == 0 { 0 } else { rng.random_range(1..query.request().len()) };
        let pause = Duration::from_millis(rng.random_range(100..1800));
        let before = Duration::from_millis(rng.random_range(0..600));
        let query_log = query_log.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(before).await;
            match DedicatedConnection::connect(address, query_log).await {
                // The first client sends no byte before its pause, so the connection may be handed over without data.
                Ok(mut connection) => connection.send_in_pieces(query, &[(cut, pause)]).await,
                Err(_) => QueryOutcome::ConnectionRefused,
            }
        })
    });
    requests.collect()
}

//! A run of the upgrade trial: one process under load through all rounds.

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

/// Idle connections held where a process is killed: some of them with it, whatever the load takes from them.
const RESTING: usize = 40;
/// An idle client sends a query every that many rounds.
const IDLE_PERIOD: usize = 10;
/// Clients of a round that send their request in pieces.
const PARTIAL_CLIENTS: usize = 8;
/// Lines of the process's log that an error quotes.
const LOG_TAIL: usize = 40;

impl UpgradeRun {
    async fn play(&mut self, n: usize, round: Round, rng: &mut Pcg64, outcome: &mut Outcome) -> Result<()> {
        let partial = send_partial_requests(self.process.address, &self.fleet.query_log, n, rng);
        if round == Round::OldKilled {
            self.clients.open_idle(&format!("rest{n}"), RESTING).await;
        }
        self.play_round(round)
            .await
            .with_context(|| format!("round {}, {round}; its log ends: {}", n + 1, self.log_tail()))?;
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

/// Plays those rounds in their order; figures and promises of the whole run.
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
        run.play(n, round, &mut rng, &mut outcome).await?;
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

/// Clients that have sent a part of their head, or of their body, while the round goes on.
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
                // Sometimes none of it has arrived when the connection is handed over.
                Ok(mut connection) => connection.send_in_pieces(query, &[(cut, pause)]).await,
                Err(_) => QueryOutcome::ConnectionRefused,
            }
        })
    });
    requests.collect()
}

//! Demonstration on one machine: stand-in replicas, one co-ordinator, 400 queries of three request classes, and one
//! replica killed after half of them.

use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::client::Clients;
use crate::fleet::{Fleet, random_query};
use crate::process::Process;
use crate::query_log::{QueryLog, QueryOutcome};
use crate::replica::Work;
use crate::runtime::on_one_thread;

/// Longest run time of the demo.
const LIMIT: Duration = Duration::from_secs(60);
const QUERIES: u64 = 400;
/// Pause between two queries.
const PAUSE: Duration = Duration::from_millis(8);

/// Runs the demo and prints a table. Returns the exit code: 0 if each query got one final answer and no `sale` part
/// ran twice.
///
/// # Errors
///
/// If the stand-ins or the program cannot be started, or the demo did not end within its time limit.
pub fn run(program: &Path, seed: u64) -> Result<i32> {
    on_one_thread(LIMIT, async {
        println!("starting 12 stand-in leaves, discovery and one co-ordinator on loopback");
        let fleet =
            Fleet::start(seed, Work { mean_time: Duration::from_millis(10), concurrency: 16 }).await?;
        let process = Process::start(program, fleet.node_config(seed, 1024, 2000)?, None).await?;
        let mut rng = Pcg64::seed_from_u64(seed);
        let query_logs = ["view", "rank", "sale"].map(|class| (class, QueryLog::default()));
        let mut tasks = tokio::task::JoinSet::new();
        println!("asking {QUERIES} queries; leaf 5 is killed half way");
        let all = Clients::new(process.address, QueryLog::default());
        for n in 0..QUERIES {
            if n == QUERIES / 2 {
                fleet.replicas[5].kill();
            }
            let query = random_query("demo", n, 0.0, &mut rng);
            let query_log =
                query_logs.iter().find(|(class, _)| *class == query.class).map(|(_, log)| log.clone());
            let clients = all.recording_in(query_log.unwrap_or_default());
            tasks.spawn_local(async move { clients.send(query).await });
            tokio::time::sleep(PAUSE).await;
        }
        while tasks.join_next().await.is_some() {}
        println!(
            "{:<10} {:>7} {:>7} {:>7} {:>8} {:>8} {:>9} {:>9}",
            "vertical", "asked", "whole", "in part", "rejected", "aborted", "half, ms", "99%, ms"
        );
        let mut answered = 0;
        for (class, query_log) in &query_logs {
            let counts = [
                QueryOutcome::Complete,
                QueryOutcome::Partial,
                QueryOutcome::Rejected,
                QueryOutcome::Aborted,
            ]
            .map(|outcome| query_log.count(outcome));
            answered += counts.iter().sum::<u64>();
            let [whole, part, rejected, aborted] = counts;
            println!(
                "{class:<10} {:>7} {whole:>7} {part:>7} {rejected:>8} {aborted:>8} {:>9.1} {:>9.1}",
                query_log.total(),
                query_log.response_time_ms(0.5),
                query_log.response_time_ms(0.99)
            );
        }
        let calls = process.counter("frames calls_sent").await.unwrap_or(0);
        println!(
            "{calls} leaf calls carried {} parts to the leaves; {} sales ran twice",
            fleet.query_log.part_runs(),
            fleet.query_log.parts_run_again("sale-")
        );
        let passed = answered == QUERIES && fleet.query_log.parts_run_again("sale-") == 0;
        println!(
            "{}",
            if passed { "every query got one final answer" } else { "not every query got its answer" }
        );
        Ok(if passed { 0 } else { 1 })
    })
}

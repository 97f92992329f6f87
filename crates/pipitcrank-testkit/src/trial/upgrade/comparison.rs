//! Comparisons for the upgrade trial: plain restarts under the same load, and the first seconds after an upgrade and
//! after a restart.

use std::path::Path;
use std::time::Duration;

use anyhow::{Result, ensure};
use rustix::process::Signal;

use super::load::{BASELINE_S, RATE, SLOW_SALES, TERM_LIMIT, UPGRADE_TIMES, USUAL};
use super::wait::wait_until;
use crate::client::Clients;
use crate::fleet::{Fleet, Load};
use crate::outcome::Outcome;
use crate::process::Process;
use crate::query_log::{QueryLog, QueryOutcome};
use crate::replica::ReplicaBehavior;

/// Number of restarts; two are enough because each loses queries in the same way.
const RESTARTS: u32 = 2;
/// Limit for a prompt answer: a few times the usual response time and a small part of the slow replica's.
const PROMPT: Duration = Duration::from_millis(100);
/// Length of the measured period after an upgrade or a restart, in seconds.
const MEASURED_S: f64 = 10.0;

/// Runs the load of the upgrade trial while the program is shut down and restarted instead of upgraded.
pub(super) async fn restarts(program: &Path, seed: u64, outcome: &mut Outcome) -> Result<()> {
    let fleet = Fleet::start(seed ^ 7, USUAL).await?;
    let mut process = Process::start(program, fleet.node_config(seed, 1024, 3000)?, None).await?;
    let clients = Clients::new(process.address, fleet.query_log.clone());
    let load = Load::start("restart", seed ^ 3, RATE, SLOW_SALES, clients);
    for _ in 0..RESTARTS {
        tokio::time::sleep(Duration::from_secs(1)).await;
        process.signal(Signal::TERM)?;
        ensure!(process.wait_for_exit(TERM_LIMIT).await.is_some(), "the process did not exit after SIGTERM");
        process.restart(None).await?;
    }
    load.stop().await?;
    outcome.figure("beside it: restarts", RESTARTS);
    outcome.figure("beside it: queries", fleet.query_log.total() as f64);
    outcome.figure("beside it: lost", fleet.query_log.count(QueryOutcome::Lost) as f64);
    outcome.figure(
        "beside it: refused connections",
        fleet.query_log.count(QueryOutcome::ConnectionRefused) as f64,
    );
    Ok(())
}

/// Compares the first seconds after an upgrade with those after a restart while one replica is slow and another
/// fails. The upgraded process takes over the state of the replicas; the restarted one starts with the endpoint list
/// alone.
///
/// # Errors
///
/// Returns an error if a process can't be started, or does not exit or upgrade in time.
pub async fn run_with_bad_replicas(program: &Path, seed: u64) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    for (name, operators_file) in [("an upgrade", UPGRADE_TIMES.operators_file()), ("a restart", None)] {
        let fleet = Fleet::start(seed, USUAL).await?;
        fleet.replicas[2].set_behavior(ReplicaBehavior::Slow(60.0));
        fleet.replicas[7].set_behavior(ReplicaBehavior::Fails);
        let mut process =
            Process::start(program, fleet.node_config(seed, 1024, 3000)?, operators_file.clone()).await?;
        let clients = Clients::new(process.address, QueryLog::default());
        let load = Load::start("warm", seed ^ 1, RATE, 0.0, clients.clone());
        tokio::time::sleep(Duration::from_secs_f64(BASELINE_S)).await;
        let before = clients.query_log.answered_within(PROMPT);
        if operators_file.is_some() {
            process.signal(Signal::USR2)?;
            wait_until("the upgrade", Duration::from_secs(20), async || {
                process.counter("upgrades done").await == Some(1)
            })
            .await?;
            load.stop().await?;
        } else {
            load.stop().await?;
            process.signal(Signal::TERM)?;
            ensure!(
                process.wait_for_exit(TERM_LIMIT).await.is_some(),
                "the process did not exit after SIGTERM"
            );
            process.restart(None).await?;
        }
        let clients = clients.recording_in(QueryLog::default());
        let load = Load::start("first", seed ^ 2, RATE, 0.0, clients.clone());
        tokio::time::sleep(Duration::from_secs_f64(MEASURED_S)).await;
        load.stop().await?;
        let query_log = &clients.query_log;
        outcome.figure(&format!("merged soon before {name}, %"), before * 100.0);
        outcome.figure(
            &format!("merged soon in the first seconds after {name}, %"),
            query_log.answered_within(PROMPT) * 100.0,
        );
        outcome.figure(&format!("answer ms, 99 of 100, after {name}"), query_log.response_time_ms(0.99));
        if operators_file.is_some() {
            outcome.expect_zero("lost after an upgrade", query_log.count(QueryOutcome::Lost));
        } else {
            outcome.figure("lost after a restart", query_log.count(QueryOutcome::Lost) as f64);
        }
    }
    Ok(outcome)
}

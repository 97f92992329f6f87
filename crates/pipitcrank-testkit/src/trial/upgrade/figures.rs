//! Figures and requirements of the upgrade trial.

use std::path::Path;

use anyhow::Result;
use rustix::process::Signal;

use super::load::TERM_LIMIT;
use super::round::Round;
use super::session::UpgradeRun;
use crate::outcome::Outcome;
use crate::process::ResourceUsage;
use crate::query_log::QueryOutcome;

/// Reports and checks the program's counters of upgrades.
pub(super) fn upgrades(
    script: &[Round],
    run: &UpgradeRun,
    done: Option<u64>,
    undone: Option<u64>,
    outcome: &mut Outcome,
) {
    let (expected_done, expected_undone) = (run.expected.done, run.expected.undone);
    outcome.figure("rounds", script.len() as u32);
    outcome.figure("upgrades done", done.unwrap_or(0) as f64);
    outcome.figure("upgrades undone", undone.unwrap_or(0) as f64);
    outcome.expect_that(
        (done, undone) == (Some(expected_done), Some(expected_undone)),
        &format!(
            "upgrades done and undone are {:?}, not {:?}",
            (done, undone),
            (expected_done, expected_undone)
        ),
    );
}

/// Reports and checks the outcomes of queries and connections.
pub(super) fn queries(script: &[Round], run: &UpgradeRun, outcome: &mut Outcome) {
    let query_log = &run.fleet.query_log;
    outcome.figure("queries", query_log.total() as f64);
    // The queries of a killed process are lost with it.
    let killed = script.contains(&Round::OldKilled);
    let lost = query_log.count(QueryOutcome::Lost);
    outcome.expect_zero("lost", query_log.open() + if killed { 0 } else { lost });
    if killed {
        outcome.figure("lost with a killed process", lost as f64);
    }
    outcome.expect_zero("refused connections", query_log.count(QueryOutcome::ConnectionRefused));
    let unanswered = if killed { 0 } else { run.accepts.refused.get() };
    outcome.expect_zero("tries to connect without an answer", unanswered);
    outcome.expect_exactly_once(query_log);
    let closed = run.idle.iter().filter(|connection| connection.is_closed()).count() as u64;
    if killed {
        outcome.figure("idle connections closed by the kill", closed as f64);
    } else {
        outcome.expect_zero("idle connections closed", closed);
    }
    outcome.expect_zero("kept connections closed", run.clients.closed.get());
    if killed {
        let by_kill = run.clients.closed_by_kill.get();
        outcome.figure("kept connections closed by the kill", by_kill as f64);
        outcome.expect_that(by_kill > 0, "none of the connections that rested was closed by the kill");
    }
    outcome.query_outcomes(query_log);
}

/// Reports response times with and without upgrades.
pub(super) fn response_times(run: &UpgradeRun, outcome: &mut Outcome) {
    for (name, log) in [("with upgrades", &run.fleet.query_log), ("without", &run.baseline)] {
        outcome.figure(&format!("answer ms, half, {name}"), log.response_time_ms(0.5));
        outcome.figure(&format!("answer ms, 99 of 100, {name}"), log.response_time_ms(0.99));
        outcome.figure(&format!("answer ms, longest, {name}"), log.longest_ms());
    }
    let longest_accept = run.accepts.longest.get();
    outcome.figure("longest time to accept and answer, ms", longest_accept.as_secs_f64() * 1000.0);
}

/// Reports memory and descriptors before, during and after the upgrades.
pub(super) fn resources(run: &UpgradeRun, after: ResourceUsage, outcome: &mut Outcome) {
    let (before, peak) = (run.before, run.peak.get());
    outcome.figure("memory before, MB", before.memory_kb as f64 / 1024.0);
    outcome.figure("memory at the peak, MB", peak.memory_kb as f64 / 1024.0);
    outcome.figure("memory after, MB", after.memory_kb as f64 / 1024.0);
    outcome.figure("descriptors before", before.descriptors as f64);
    outcome.figure("descriptors at the peak", peak.descriptors as f64);
    outcome.figure("descriptors after", after.descriptors as f64);
}

/// Shuts the process down gracefully and checks that no worker is left. Writes its log to the file named by
/// `TRIAL_LOG`, if set.
pub(super) async fn shutdown(run: UpgradeRun, outcome: &mut Outcome) -> Result<()> {
    // The fleet and the idle connections have to stay open until the process has exited.
    let UpgradeRun { mut process, accepts, fleet: _fleet, idle: _idle, .. } = run;
    drop(accepts);
    if let Ok(path) = std::env::var("TRIAL_LOG") {
        std::fs::write(path, process.log())?;
    }
    let pids = process.workers();
    process.signal(Signal::TERM)?;
    let status = process.wait_for_exit(TERM_LIMIT).await;
    outcome.expect_that(status.is_some_and(|s| s.success()), &format!("its end is {status:?}"));
    let left = pids.iter().filter(|pid| Path::new(&format!("/proc/{pid}")).exists()).count();
    outcome.expect_zero("workers left behind", left as u64);
    Ok(())
}

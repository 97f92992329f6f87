//! Runs one round of the upgrade trial and injects its faults before and after the request for an upgrade.

use std::cell::Cell;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

use anyhow::{Context, Result};
use rustix::process::Signal;
use serde_json::json;

use super::round::{Round, UpgradeCounts};
use super::session::UpgradeRun;
use super::wait::wait_until;
use crate::process::{Process, signal_worker};

/// Index of the replica that drains in `Round::Drained`.
const DRAINED_REPLICA: usize = 3;
/// Time limit for the new worker to enter its trial period, and for a killed worker to disappear.
const TRIAL_LIMIT: Duration = Duration::from_secs(5);
/// Time limit for the upgrade to succeed or to be undone.
const UPGRADE_LIMIT: Duration = Duration::from_secs(25);
/// Time between the first and the second signal.
const SECOND_SIGNAL_DELAY: Duration = Duration::from_millis(150);

/// Replacement for the program's file.
enum Replacement {
    Nothing,
    /// A shell script and its file mode.
    Script(&'static str, u32),
}

/// Replaces the program's file until `restore_program` is called.
fn replace_program(process: &Process, replacement: Replacement) -> Result<()> {
    let (real, saved) = (&process.program, process.program.with_extension("kept"));
    std::fs::rename(real, &saved)?;
    if let Replacement::Script(script, mode) = replacement {
        std::fs::write(real, format!("#!/bin/sh\n{script}\n"))?;
        std::fs::set_permissions(real, std::fs::Permissions::from_mode(mode))?;
    }
    Ok(())
}

fn restore_program(process: &Process) -> Result<()> {
    let saved = process.program.with_extension("kept");
    if saved.exists() {
        std::fs::rename(saved, &process.program)?;
    }
    Ok(())
}

async fn upgrade_counts(process: &Process) -> Option<UpgradeCounts> {
    let done = process.counter("upgrades done").await?;
    let undone = process.counter("upgrades undone").await?;
    Some(UpgradeCounts { done, undone })
}

impl UpgradeRun {
    pub(super) async fn run_round(&mut self, round: Round) -> Result<()> {
        let before = upgrade_counts(&self.process)
            .await
            .context("the process did not answer the request for its counters")?;
        self.prepare(round)?;
        let old = self.process.workers();
        self.process.signal(Signal::USR2)?;
        let new = match round {
            Round::NewCrashes(_) | Round::NewHangs | Round::OldKilled => self.wait_for_trial(&old).await?,
            _ => None,
        };
        self.inject(round, &old, new).await?;
        let expected = before + round.expected();
        let ended = wait_until("the end of the upgrade", UPGRADE_LIMIT, async || {
            self.peak.observe(self.process.resource_usage());
            upgrade_counts(&self.process).await == Some(expected) && self.process.workers().len() == 1
        })
        .await;
        restore_program(&self.process)?;
        self.process.restore_node_config()?;
        if round == Round::Drained {
            self.fleet.set_replica_state(DRAINED_REPLICA, "active");
        }
        ended
    }

    /// Injects the faults that precede the request for an upgrade.
    fn prepare(&self, round: Round) -> Result<()> {
        let replacement = match round {
            Round::NoProgram => Replacement::Nothing,
            Round::NotExecutable => Replacement::Script("exit 0", 0o644),
            Round::HangsBeforeReady => Replacement::Script("exec sleep 100", 0o755),
            Round::CrashesBeforeReady => Replacement::Script("exit 70", 0o755),
            Round::BadOutput => Replacement::Script("head -c 300 /dev/urandom >&0; exec sleep 100", 0o755),
            Round::FaultyNodeConfig => {
                return self.process.override_node_config("/settings/tick_s", json!("soon"));
            }
            Round::Drained => {
                self.fleet.set_replica_state(DRAINED_REPLICA, "leaving");
                return Ok(());
            }
            _ => return Ok(()),
        };
        replace_program(&self.process, replacement)
    }

    /// Waits until the new worker is in its trial period and returns its process id.
    async fn wait_for_trial(&self, old: &[i32]) -> Result<Option<i32>> {
        let new = Cell::new(None);
        wait_until("the new worker's trial period", TRIAL_LIMIT, async || {
            let log = self.process.log();
            new.set(self.process.workers().into_iter().find(|pid| !old.contains(pid)));
            new.get().is_some()
                && log.rfind("continuing with the predecessor's state") > log.rfind("handover begins")
        })
        .await?;
        Ok(new.get())
    }

    /// Injects the faults that occur during the upgrade. `new` is the new worker, if the round waits for its trial
    /// period.
    async fn inject(&self, round: Round, old: &[i32], new: Option<i32>) -> Result<()> {
        match (round, new) {
            (Round::NewCrashes(after_ms), Some(new)) => {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                signal_worker(new, Signal::KILL);
            }
            (Round::NewHangs, Some(new)) => signal_worker(new, Signal::STOP),
            (Round::OldKilled, _) => {
                self.clients.begin_kill();
                old.iter().for_each(|&pid| signal_worker(pid, Signal::KILL));
                let gone = async || !self.process.workers().iter().any(|pid| old.contains(pid));
                wait_until("the end of the killed worker", TRIAL_LIMIT, gone).await?;
                self.clients.end_kill();
            }
            (Round::RequestedTwice, _) => {
                tokio::time::sleep(SECOND_SIGNAL_DELAY).await;
                self.process.signal(Signal::USR2)?;
            }
            (Round::Reloaded, _) => {
                tokio::time::sleep(SECOND_SIGNAL_DELAY).await;
                self.process.signal(Signal::HUP)?;
            }
            _ => {}
        }
        Ok(())
    }
}

//! Plays one round of the upgrade trial: what goes wrong before, during and after the request for an upgrade.

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

/// The replica that drains in `Round::Drained`.
const DRAINED_REPLICA: usize = 3;
/// Longest wait for the new process's trial, and for a killed process to be gone.
const TRIAL_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for the upgrade to end either way.
const UPGRADE_LIMIT: Duration = Duration::from_secs(25);
/// Time from the first signal to a second one.
const SECOND_SIGNAL: Duration = Duration::from_millis(150);

/// What stands in the place of the program's file.
enum Replacement {
    Nothing,
    /// A shell script, with the file's mode.
    Script(&'static str, u32),
}

/// Moves the program's file away until `restore_program`.
fn replace_program(process: &Process, replacement: Replacement) -> Result<()> {
    let (real, kept) = (&process.program, process.program.with_extension("kept"));
    std::fs::rename(real, &kept)?;
    if let Replacement::Script(script, mode) = replacement {
        std::fs::write(real, format!("#!/bin/sh\n{script}\n"))?;
        std::fs::set_permissions(real, std::fs::Permissions::from_mode(mode))?;
    }
    Ok(())
}

fn restore_program(process: &Process) -> Result<()> {
    let kept = process.program.with_extension("kept");
    if kept.exists() {
        std::fs::rename(kept, &process.program)?;
    }
    Ok(())
}

async fn upgrade_counts(process: &Process) -> Option<UpgradeCounts> {
    let done = process.counter("upgrades done").await?;
    let undone = process.counter("upgrades undone").await?;
    Some(UpgradeCounts { done, undone })
}

impl UpgradeRun {
    pub(super) async fn play_round(&mut self, round: Round) -> Result<()> {
        let before = upgrade_counts(&self.process).await.context("its counters")?;
        self.prepare(round)?;
        let old = self.process.workers();
        self.process.signal(Signal::USR2)?;
        let new = match round {
            Round::NewCrashes(_) | Round::NewHangs | Round::OldKilled => self.wait_for_trial(&old).await?,
            _ => None,
        };
        self.disturb(round, &old, new).await?;
        let expected = before + round.expected();
        let ended = wait_until("the upgrade's end", UPGRADE_LIMIT, async || {
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

    /// What goes wrong before the upgrade is requested.
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

    /// Waits until the new worker is on trial; its process id.
    async fn wait_for_trial(&self, old: &[i32]) -> Result<Option<i32>> {
        let new = Cell::new(None);
        wait_until("a trial", TRIAL_LIMIT, async || {
            let log = self.process.log();
            new.set(self.process.workers().into_iter().find(|pid| !old.contains(pid)));
            new.get().is_some()
                && log.rfind("continuing with the predecessor's state") > log.rfind("handover begins")
        })
        .await?;
        Ok(new.get())
    }

    /// What goes wrong during the upgrade; `new` is the worker on trial, where the round waits for one.
    async fn disturb(&self, round: Round, old: &[i32], new: Option<i32>) -> Result<()> {
        match (round, new) {
            (Round::NewCrashes(after_ms), Some(new)) => {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                signal_worker(new, Signal::KILL);
            }
            (Round::NewHangs, Some(new)) => signal_worker(new, Signal::STOP),
            (Round::OldKilled, _) => {
                self.clients.kill_begins();
                old.iter().for_each(|&pid| signal_worker(pid, Signal::KILL));
                let gone = async || !self.process.workers().iter().any(|pid| old.contains(pid));
                wait_until("the killed process's end", TRIAL_LIMIT, gone).await?;
                self.clients.kill_is_over();
            }
            (Round::RequestedTwice, _) => {
                tokio::time::sleep(SECOND_SIGNAL).await;
                self.process.signal(Signal::USR2)?;
            }
            (Round::Reloaded, _) => {
                tokio::time::sleep(SECOND_SIGNAL).await;
                self.process.signal(Signal::HUP)?;
            }
            _ => {}
        }
        Ok(())
    }
}

//! Outages of the return trial: killed and stopped members, and their restart.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;

use super::case::Case;
use super::cluster::{DRAINED_ZONE, MEMBERS, RestartCluster, ZONES};
use super::report::CaseReport;
use crate::process::signal_worker;

/// Index of the member whose operators' file is passed to commands.
const COMMAND_MEMBER: usize = 1;
/// Index of the voter that does not restart with the others in `Case::Begin`.
const ABSENT_VOTER: usize = 0;
/// Number of replicas in one zone.
const REPLICAS_PER_ZONE: usize = 6;
/// Time for which members are stopped in `Case::Stopped`.
const STOPPED: Duration = Duration::from_secs(6);
const TERM_LIMIT: Duration = Duration::from_secs(10);

async fn sleep_ms(milliseconds: u64) {
    tokio::time::sleep(Duration::from_millis(milliseconds)).await;
}

/// Path of a member's store, and path of a copy made before the last decision.
pub(super) struct StoreCopy {
    store: PathBuf,
    copy: PathBuf,
}

/// Outage drawn by the seed for a case.
pub(super) struct Outage {
    case: Case,
    /// Members that are killed or stopped.
    affected: Vec<usize>,
    /// Zone that is lost in `Case::Failover`.
    lost_zone: usize,
    rng: Pcg64,
}

impl Outage {
    pub(super) fn draw(case: Case, seed: u64) -> Outage {
        let mut rng = Pcg64::seed_from_u64(seed ^ case as u64);
        let mut order: Vec<usize> = (0..MEMBERS).collect();
        order.shuffle(&mut rng);
        let affected: Vec<usize> = match case {
            Case::OneSurvivor => order.iter().copied().filter(|&n| n != MEMBERS - 1).collect(),
            Case::ThreeSurvivors => order[..9].to_vec(),
            Case::Stopped => order[..8].to_vec(),
            Case::CrashLoop => vec![ZONES.len() + rng.random_range(0..MEMBERS - ZONES.len())],
            _ => order,
        };
        let lost_zone = rng.random_range(0..DRAINED_ZONE);
        Outage { case, affected, lost_zone, rng }
    }
}

impl RestartCluster {
    /// Copies the stores of the members with odd indices.
    pub(super) async fn copy_stores(&self) -> Result<Vec<StoreCopy>> {
        sleep_ms(1000).await;
        let mut copies = Vec::new();
        for n in (0..MEMBERS).filter(|n| n % 2 == 1) {
            let store = self.members[n].store.clone();
            let copy = self.stores.path().join(format!("old{n}"));
            std::fs::copy(&store, &copy)?;
            copies.push(StoreCopy { store, copy });
        }
        Ok(copies)
    }

    /// Runs the outage. `newest` is the number of the last decision before it. Returns the time at which the last
    /// process started or continued.
    pub(super) async fn run_outage(
        &mut self,
        mut outage: Outage,
        copies: &[StoreCopy],
        newest: u64,
        report: &mut CaseReport,
    ) -> Result<Instant> {
        let started = match outage.case {
            Case::Stopped => self.stop_and_continue(&outage.affected).await,
            Case::RollingRestart => self.restart_one_by_one(report).await?,
            _ => self.kill_and_restart(&mut outage, copies).await?,
        };
        match outage.case {
            Case::Begin => self.restart_decisions(newest, report).await,
            Case::KilledTwice => {
                tokio::time::sleep(Duration::from_secs(1).saturating_sub(started.elapsed())).await;
                self.kill(&outage.affected);
                self.restart(&outage.affected).await
            }
            Case::CrashLoop => self.crash_repeatedly(&outage.affected, started).await,
            Case::Failover => {
                sleep_ms(2000).await;
                self.fleet.begin_slow_start(outage.lost_zone, Duration::from_secs(4));
                self.fleet.set_unreachable(outage.lost_zone, REPLICAS_PER_ZONE, false);
                Ok(Instant::now())
            }
            _ => Ok(started),
        }
    }

    async fn stop_and_continue(&self, members: &[usize]) -> Instant {
        let set_up = |up| members.iter().for_each(|&n| self.members[n].up.set(up));
        let signal_all =
            |signal| members.iter().for_each(|&n| signal_worker(self.members[n].process.pid(), signal));
        set_up(false);
        signal_all(Signal::STOP);
        tokio::time::sleep(STOPPED).await;
        signal_all(Signal::CONT);
        set_up(true);
        Instant::now()
    }

    async fn restart_one_by_one(&mut self, report: &mut CaseReport) -> Result<Instant> {
        // Members should not be restarted while a zone is drained, so the plan has to be rejected.
        let plan = self.command(COMMAND_MEMBER, &["restart-plan"]).await?;
        if plan.done || !plan.text.contains("is not at home") {
            report.fail(format!("a plan while a zone is drained: {}", plan.text));
        }
        for n in 0..MEMBERS {
            self.members[n].up.set(false);
            self.members[n].process.signal(Signal::TERM)?;
            let exit = self.members[n].process.wait_for_exit(TERM_LIMIT).await;
            ensure!(exit.is_some(), "member {n} did not exit after SIGTERM");
            self.discard(n);
            self.restart(&[n]).await?;
        }
        Ok(Instant::now())
    }

    async fn kill_and_restart(&mut self, outage: &mut Outage, copies: &[StoreCopy]) -> Result<Instant> {
        if outage.case == Case::Failover {
            self.fleet.set_unreachable(outage.lost_zone, REPLICAS_PER_ZONE, true);
            sleep_ms(700).await;
        }
        self.kill(&outage.affected);
        self.damage_stores(outage.case, copies)?;
        sleep_ms(500 + outage.rng.random_range(0..1000)).await;
        let absent = (outage.case == Case::Begin).then_some(ABSENT_VOTER);
        let returning: Vec<usize> = outage.affected.iter().copied().filter(|&n| Some(n) != absent).collect();
        self.restart(&returning).await
    }

    fn damage_stores(&self, case: Case, copies: &[StoreCopy]) -> Result<()> {
        match case {
            Case::StaleStores => {
                for StoreCopy { store, copy } in copies {
                    std::fs::copy(copy, store)?;
                }
            }
            Case::LostVoterStores | Case::Begin => {
                for voter in &self.members[..ZONES.len()] {
                    std::fs::remove_file(&voter.store)?;
                }
            }
            Case::TruncatedStores => {
                for member in self.members.iter().step_by(2) {
                    let store = std::fs::OpenOptions::new().write(true).open(&member.store)?;
                    store.set_len(store.metadata()?.len() / 2)?;
                }
            }
            _ => {}
        }
        Ok(())
    }

    async fn crash_repeatedly(&mut self, members: &[usize], mut started: Instant) -> Result<Instant> {
        for _ in 0..5 {
            sleep_ms(800).await;
            self.kill(members);
            started = self.restart(members).await?;
        }
        Ok(started)
    }

    /// Recovers from an outage in which two of three voters have no store and the third is down: an operator starts the
    /// decisions anew without the third voter, and reverts that order when the third voter has restarted.
    async fn restart_decisions(&mut self, newest: u64, report: &mut CaseReport) -> Result<Instant> {
        // Two voters without stores must not start anew by themselves; this time would be enough for it.
        sleep_ms(6000).await;
        let begun =
            self.observed.borrow().decisions.last_key_value().is_some_and(|(n, _)| n >> 32 > newest >> 32);
        if begun {
            report.fail("two of three voters without memory began anew by themselves");
        }
        let absent = self.members[ABSENT_VOTER].known_as.to_string();
        let begin = self.command(COMMAND_MEMBER, &["zones", "begin", &absent]).await?;
        if !begin.done {
            report.fail(format!("`zones begin` was not done: {}", begin.text));
        }
        if self.until(RestartCluster::all_follow, 15.0).await.is_none() {
            report.fail("nothing was begun anew without the dead voter");
        }
        let again = self.command(COMMAND_MEMBER, &["zones", "begin", &absent]).await?;
        if again.done || !again.text.contains("leader") {
            report.fail(format!("`zones begin` with a leader: {}", again.text));
        }
        // The absent voter restarts.
        let started = self.restart(&[ABSENT_VOTER]).await?;
        let back = self.command(COMMAND_MEMBER, &["zones", "begin"]).await?;
        if !back.done {
            report.fail(format!("`zones begin` was not taken back: {}", back.text));
        }
        Ok(started)
    }
}

//! Faults of members: killed, stopped, restarted or partitioned processes, and invalid datagrams.

use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use pipitcrank_membership::envelope::{DatagramKind, Sealer, derive_key};
use rand::Rng;
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::net::UdpSocket;

use super::cluster::{NORTH_ZONES, REPLICAS_PER_ZONE, ZoneCluster};
use super::report::FaultReport;
use crate::process::signal_worker;
use crate::trial::operators_file::SECRET;

/// Time for which the leader is stopped.
const LEADER_STOPPED: Duration = Duration::from_secs(5);
const TERM_LIMIT: Duration = Duration::from_secs(15);
const UPGRADE_LIMIT: Duration = Duration::from_secs(20);
/// Reasons for rejected datagrams, as named in the program's counters.
const REJECT_REASONS: [&str; 6] = ["forged", "cut", "too_long", "other_version", "replayed", "unread"];
/// Number of batches of invalid datagrams.
const INVALID_ROUNDS: usize = 40;

async fn sleep_ms(milliseconds: u64) {
    tokio::time::sleep(Duration::from_millis(milliseconds)).await;
}

impl ZoneCluster {
    /// Kills all live members of a zone and returns their indices.
    fn kill_members_of(&mut self, zone: usize) -> Vec<usize> {
        let members = self.live_members_of(zone);
        members.iter().for_each(|&n| self.kill(n));
        members
    }

    async fn restart_all(&mut self, members: &[usize]) -> Result<()> {
        for &n in members {
            self.restart(n).await?;
        }
        Ok(())
    }

    pub(super) async fn run_zone_outage(&mut self, zone: usize, report: &mut FaultReport) -> Result<()> {
        let killed = self.kill_members_of(zone);
        self.fail_zone(zone, report, Duration::from_secs(1)).await;
        self.restart_all(&killed).await?;
        self.wait_for_recovery(report, 30.0).await;
        Ok(())
    }

    pub(super) async fn run_members_killed(&mut self, zone: usize, report: &mut FaultReport) -> Result<()> {
        let killed = self.kill_members_of(zone);
        sleep_ms(4000).await;
        if !self.retains_all(zone) {
            report.fail("leaves that are well were left with their copies");
        }
        self.restart_all(&killed).await?;
        self.wait_for_recovery(report, 15.0).await;
        Ok(())
    }

    pub(super) async fn run_partition(&mut self, zone: usize, report: &mut FaultReport) {
        let before = self.newest_decision();
        let members = self.live_members_of(zone);
        self.net.partition(&members);
        sleep_ms(4000).await;
        if !members.iter().all(|&n| self.reports(n, |status| status.status == "holding")) {
            report.fail("copies that hear nobody do not hold what stands");
        }
        if self.moved_since(before, None) {
            report.fail("a zone that is well for all was left");
        }
        self.net.heal();
        self.wait_for_recovery(report, 15.0).await;
    }

    pub(super) async fn run_leader_stopped(&mut self, report: &mut FaultReport) {
        let Some(leader) = self.leader() else {
            report.fail("nobody leads");
            return;
        };
        let zone = (self.members[leader].zone + 1) % NORTH_ZONES;
        self.members[leader].up.set(false);
        let workers = self.members[leader].process.workers();
        let signal_all = |signal| workers.iter().for_each(|&pid| signal_worker(pid, signal));
        signal_all(Signal::STOP);
        let stopped = Instant::now();
        self.fail_zone(zone, report, Duration::from_millis(500)).await;
        tokio::time::sleep(LEADER_STOPPED.saturating_sub(stopped.elapsed())).await;
        signal_all(Signal::CONT);
        self.members[leader].up.set(true);
        self.wait_for_recovery(report, 25.0).await;
    }

    pub(super) async fn run_majority_killed(
        &mut self,
        [zone, other, third]: [usize; 3],
        report: &mut FaultReport,
    ) -> Result<()> {
        let killed = [zone, other];
        killed.iter().for_each(|&n| self.kill(n));
        sleep_ms(1000).await;
        let before = self.newest_decision();
        self.fleet.set_unreachable(third, REPLICAS_PER_ZONE, true);
        sleep_ms(4000).await;
        if self.newest_decision() != before {
            report.fail("a minority decided");
        }
        self.restart_all(&killed).await?;
        if self.until(|cluster| cluster.is_out(third), 15.0).await.is_none() {
            report.fail("voters that came back did not decide");
        }
        self.restore_zone(third);
        self.wait_for_recovery(report, 30.0).await;
        Ok(())
    }

    pub(super) async fn run_restarts(
        &mut self,
        zone: usize,
        other: usize,
        report: &mut FaultReport,
    ) -> Result<()> {
        let non_voters = self.live_members_of(other).into_iter().filter(|&n| n >= NORTH_ZONES);
        let [terminated, upgraded] = non_voters.collect::<Vec<_>>()[..] else {
            bail!("expected two members without a vote in zone {other}");
        };
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, true);
        self.until(|cluster| cluster.is_moving(zone), 8.0).await;
        self.members[terminated].up.set(false);
        self.members[terminated].process.signal(Signal::TERM)?;
        let upgrades_before = self.upgrades_done(upgraded).await.unwrap_or(0);
        self.members[upgraded].up.set(false);
        self.members[upgraded].process.signal(Signal::USR2)?;
        let exit = self.members[terminated].process.wait_for_exit(TERM_LIMIT).await;
        exit.context("the member did not exit after SIGTERM")?;
        self.wait_for_upgrade(upgraded, upgrades_before + 1).await?;
        self.observed.borrow_mut().discard(upgraded);
        self.members[upgraded].up.set(true);
        self.restart(terminated).await?;
        if self.until(|cluster| cluster.is_out(zone), 10.0).await.is_none() {
            report.fail("the zone was not left while copies restarted");
        }
        self.restore_zone(zone);
        self.wait_for_recovery(report, 25.0).await;
        Ok(())
    }

    async fn upgrades_done(&self, member: usize) -> Option<u64> {
        self.members[member].process.counter("upgrades done").await
    }

    async fn wait_for_upgrade(&self, member: usize, upgrades: u64) -> Result<()> {
        let start = Instant::now();
        while self.upgrades_done(member).await != Some(upgrades) {
            ensure!(
                start.elapsed() < UPGRADE_LIMIT,
                "the member's upgrade did not finish: {}",
                self.members[member].process.log()
            );
            sleep_ms(50).await;
        }
        Ok(())
    }

    pub(super) async fn run_invalid_datagrams(
        &mut self,
        rng: &mut Pcg64,
        report: &mut FaultReport,
    ) -> Result<()> {
        let newest = self.newest_decision();
        let sent = self.send_invalid_datagrams(rng).await?;
        sleep_ms(500).await;
        let process = &self.members[0].process;
        let mut rejected = 0;
        for reason in REJECT_REASONS {
            let count = process.counter(&format!("peers_left {reason}")).await.unwrap_or(0);
            if count == 0 {
                report.fail(format!("no datagram was counted as {reason}"));
            }
            rejected += count;
        }
        if rejected < sent {
            report.fail(format!("{rejected} of {sent} bad datagrams were counted"));
        }
        if process.log().lines().filter(|line| line.contains("rejected a datagram")).count() > 2 {
            report.fail("bad datagrams flood the log");
        }
        if self.newest_decision() > newest + 1 {
            report.fail("bad datagrams had something decided");
        }
        self.wait_for_recovery(report, 10.0).await;
        Ok(())
    }

    /// Sends invalid datagrams to the first member and returns their number.
    async fn send_invalid_datagrams(&self, rng: &mut Pcg64) -> Result<u64> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let (own, known_as) = (socket.local_addr()?, self.members[0].known_as);
        // Bypasses the relay, which injects faults of its own.
        let listen = self.members[0].listen;
        let mut foreign = Sealer::new(derive_key("another secret altogether"), own, 1);
        let mut sealer = Sealer::new(derive_key(SECRET), own, 1);
        let mut sent = 0;
        for _ in 0..INVALID_ROUNDS {
            let body: Vec<u8> = (0..rng.random_range(1..300)).map(|_| rng.random()).collect();
            let valid = sealer
                .seal(known_as, DatagramKind::Message, &[0xff; 9])
                .context("the datagram is too long to seal")?;
            let mut other_version = valid.clone();
            other_version[2] = 9;
            let truncated = &valid[..rng.random_range(1..12)];
            let forged = foreign
                .seal(known_as, DatagramKind::Consensus, &body)
                .context("the datagram is too long to seal")?;
            let too_long = [7; 1500];
            let datagrams = [
                &valid[..],
                &valid[..],
                &other_version[..],
                truncated,
                &forged[..],
                &body[..],
                &too_long[..],
            ];
            for datagram in datagrams {
                socket.send_to(datagram, listen).await?;
                sent += 1;
            }
            sleep_ms(5).await;
        }
        Ok(sent)
    }
}

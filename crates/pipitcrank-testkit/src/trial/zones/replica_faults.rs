//! Faults of replicas and of the network paths to them.

use std::time::Duration;

use anyhow::Result;
use pipitcrank_failover::decision::{Decision, OperatorOrder, ZoneState};
use pipitcrank_failover::node::OperatorAnswer;

use super::cluster::{ALL_RETAINED, REPLICAS_PER_ZONE, SOUTH_ZONE, ZoneCluster};
use super::report::FaultReport;
use crate::datagram_network::DatagramFaults;
use crate::replica::ReplicaBehavior;

/// Half period of a flapping zone, which is unreachable for this time and then reachable for the same time.
const FLAP_HALF_PERIOD: Duration = Duration::from_millis(1500);
const FLAPS: usize = 4;
/// Factor by which the replicas of a slow zone take longer.
const SLOW_FACTOR: f64 = 60.0;

async fn sleep_s(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

impl ZoneCluster {
    pub(super) async fn run_replica_outage(&mut self, zone: usize, report: &mut FaultReport) {
        self.fail_zone(zone, report, Duration::from_secs(2)).await;
        self.wait_for_recovery(report, 25.0).await;
    }

    pub(super) async fn run_lossy(&mut self, zone: usize, report: &mut FaultReport) {
        let delay = Duration::from_millis(60);
        self.net.set_all(DatagramFaults { loss: 0.2, duplicated: 0.1, delay, blocked: false });
        self.fail_zone(zone, report, Duration::from_secs(1)).await;
        self.net.heal();
        self.wait_for_recovery(report, 25.0).await;
    }

    pub(super) async fn run_half_zone(&mut self, zone: usize, report: &mut FaultReport) {
        let before = self.newest_decision();
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE / 2, true);
        sleep_s(5).await;
        if self.moved_since(before, Some(zone)) {
            report.fail("a zone with half of its leaves was left whole");
        }
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE / 2, false);
        self.wait_for_recovery(report, 15.0).await;
    }

    pub(super) async fn run_flaps(&mut self, zone: usize, report: &mut FaultReport) {
        let before = self.newest_decision();
        for _ in 0..FLAPS {
            self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, true);
            tokio::time::sleep(FLAP_HALF_PERIOD).await;
            self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, false);
            tokio::time::sleep(FLAP_HALF_PERIOD).await;
        }
        let decisions = self.decisions_since(before);
        let returns =
            decisions.windows(2).filter(|w| w[0].zones[zone].retained == 0 && w[1].zones[zone].retained > 0);
        if returns.count() > FLAPS - 1 {
            report.fail("it was let in again at each flap");
        }
        self.wait_for_recovery(report, 40.0).await;
    }

    pub(super) async fn run_path_cut(&mut self, zone: usize, other: usize, report: &mut FaultReport) {
        let before = self.newest_decision();
        self.fleet.set_partitioned(zone, other, true);
        sleep_s(4).await;
        if self.moved_since(before, None) {
            report.fail("a zone that the third reaches was left");
        }
        self.fleet.set_partitioned(zone, other, false);
        self.wait_for_recovery(report, 15.0).await;
    }

    pub(super) async fn run_two_zones(&mut self, [zone, other, third]: [usize; 3], report: &mut FaultReport) {
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, true);
        let half = self.until(|cluster| cluster.is_moving(zone), 8.0).await;
        self.fleet.set_unreachable(other, REPLICAS_PER_ZONE, true);
        let moved = self.until(|cluster| cluster.is_out(zone) && cluster.is_out(other), 10.0).await;
        report.moved = half.zip(moved).map(|(first, both)| first + both);
        if moved.is_none() || !self.retains_all(third) {
            report.fail("two zones were not left for the third");
        }
        sleep_s(1).await;
        self.restore_zone(zone);
        self.restore_zone(other);
        self.wait_for_recovery(report, 40.0).await;
    }

    pub(super) async fn run_slow_zone(&mut self, zone: usize, report: &mut FaultReport) {
        self.fleet.set_zone_behavior(zone, ReplicaBehavior::Slow(SLOW_FACTOR));
        sleep_s(6).await;
        self.fleet.set_zone_behavior(zone, ReplicaBehavior::Normal);
        self.wait_for_recovery(report, 40.0).await;
    }

    pub(super) async fn run_isolated_member(&mut self, report: &mut FaultReport) {
        let before = self.newest_decision();
        self.fleet.set_member_isolated(true);
        sleep_s(5).await;
        let changed = |d: &Decision| d.zones.iter().any(|z| z.retained < ALL_RETAINED || z.cut_paths != 0);
        if self.decisions_since(before).iter().any(changed) {
            report.fail(format!("one sick copy moved something: {}", self.history()));
        }
        self.fleet.set_member_isolated(false);
        self.wait_for_recovery(report, 15.0).await;
    }

    pub(super) async fn run_region(&mut self, report: &mut FaultReport) {
        self.fail_zone(SOUTH_ZONE, report, Duration::from_secs(3)).await;
        self.wait_for_recovery(report, 25.0).await;
    }

    pub(super) async fn run_drain(
        &mut self,
        [zone, other, third]: [usize; 3],
        report: &mut FaultReport,
    ) -> Result<()> {
        self.fleet.set_unreachable(zone, REPLICAS_PER_ZONE, true);
        self.until(|cluster| cluster.is_moving(zone), 8.0).await;
        match self.order(OperatorOrder::Drain(other as u16)).await? {
            OperatorAnswer::Decided(_) => {
                if self.until(|cluster| cluster.is_out(other), 10.0).await.is_none() {
                    report.fail("a drained zone was not left");
                }
            }
            OperatorAnswer::Rejected(why) if why.contains("carry") => {}
            answer => report.fail(format!("a drain during a failover was answered {answer:?}")),
        }
        if let OperatorAnswer::Decided(_) = self.order(OperatorOrder::Drain(third as u16)).await? {
            report.fail("the last zone was let be drained");
        }
        self.restore_zone(zone);
        let serves = |cluster: &ZoneCluster| cluster.all_report(zone, |state, _| state == ZoneState::Serving);
        if self.until(serves, 25.0).await.is_none() {
            report.fail("the lost zone did not come home");
        }
        if self.is_out(other) {
            let answer = self.order(OperatorOrder::Return(other as u16)).await?;
            if !matches!(answer, OperatorAnswer::Decided(_)) {
                report.fail("a drained zone that is well was not let return");
            }
        }
        self.wait_for_recovery(report, 25.0).await;
        Ok(())
    }
}

//! Injects one fault of the gateway trial.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use super::cluster::{FAR_ROUND_TRIP, NEAR_ROUND_TRIP, RATE, SETTLE_TIME, SOUTH, SiteCluster};
use super::fault::Fault;
use crate::client::Clients;
use crate::fleet::{Load, random_query};
use crate::link::LinkConditions;
use crate::replica::ReplicaBehavior;

/// Duration of a fault.
const FAULT_DURATION: Duration = Duration::from_millis(1500);
/// Time limit for the far process to exit or to be upgraded.
const PROCESS_LIMIT: Duration = Duration::from_secs(15);
/// Cells whose replicas at the far site are busy in `Fault::Mutual`.
const SOUTH_BUSY_CELLS: [u32; 2] = [3, 4];
/// Replicas that are killed in `Fault::FarStale`. Each of their shards has replicas in another cell.
const STALE_REPLICAS: [usize; 2] = [2, 8];
/// Number of clients that disconnect in `Fault::Leavers`.
const DISCONNECTING_CLIENTS: u32 = 60;

impl SiteCluster {
    /// Injects the fault, restores the near link and pauses.
    pub(super) async fn inject_fault(&mut self, fault: Fault, seed: u64, clients: &Clients) -> Result<()> {
        let mut rng = Pcg64::seed_from_u64(seed);
        let near = LinkConditions::with_round_trip(NEAR_ROUND_TRIP);
        match fault {
            Fault::Calm => sleep(FAULT_DURATION).await,
            Fault::SlowWay => self.degrade(LinkConditions::with_round_trip(Duration::from_millis(400))).await,
            Fault::Flaps => self.flap().await,
            Fault::Stalls => {
                self.degrade(LinkConditions { stalled_forward: true, stalled_back: true, ..near }).await;
            }
            Fault::StallsBack => self.degrade(LinkConditions { stalled_back: true, ..near }).await,
            Fault::Cut => {
                self.links[0].cut();
                sleep(FAULT_DURATION).await;
                self.links[0].heal();
            }
            Fault::CutWithin => self.cut_within(&mut rng).await,
            Fault::Killed => self.kill_far().await?,
            Fault::Restarted => self.restart_far().await?,
            Fault::Upgraded => self.upgrade_far().await?,
            Fault::Swapped => self.swap_round_trips().await,
            Fault::Leavers => self.disconnect_clients(&mut rng, seed, clients).await,
            Fault::Mutual => self.run_mutual_forwarding(seed).await?,
            Fault::FarFull => {
                self.set_site_behavior(SOUTH, ReplicaBehavior::Busy);
                sleep(FAULT_DURATION).await;
                self.set_site_behavior(SOUTH, ReplicaBehavior::Normal);
            }
            Fault::FarStale => {
                // The replicas stay dead for the rest of the run.
                STALE_REPLICAS.into_iter().for_each(|n| self.sites[SOUTH].fleet.replicas[n].kill());
                sleep(FAULT_DURATION).await;
            }
        }
        self.links[0].set_conditions(near);
        sleep(SETTLE_TIME).await;
        Ok(())
    }

    async fn degrade(&self, conditions: LinkConditions) {
        self.links[0].set_conditions(conditions);
        sleep(FAULT_DURATION).await;
    }

    async fn flap(&self) {
        for _ in 0..6 {
            self.links[0].close_connections();
            sleep(FAULT_DURATION / 6).await;
        }
    }

    async fn cut_within(&self, rng: &mut Pcg64) {
        for _ in 0..10 {
            self.links[0].cut_after(Some(rng.random_range(1..2500)));
            self.links[0].close_connections();
            sleep(FAULT_DURATION / 10).await;
        }
        self.links[0].cut_after(None);
        self.links[0].close_connections();
    }

    async fn kill_far(&mut self) -> Result<()> {
        self.sites[SOUTH].process.kill();
        sleep(FAULT_DURATION / 2).await;
        self.sites[SOUTH].restart().await?;
        sleep(FAULT_DURATION / 2).await;
        Ok(())
    }

    async fn restart_far(&mut self) -> Result<()> {
        let south = &mut self.sites[SOUTH];
        south.process.signal(Signal::TERM)?;
        south
            .process
            .wait_for_exit(PROCESS_LIMIT)
            .await
            .context("the far process did not exit after SIGTERM")?;
        south.restart().await?;
        sleep(FAULT_DURATION / 2).await;
        Ok(())
    }

    async fn upgrade_far(&self) -> Result<()> {
        let process = &self.sites[SOUTH].process;
        let before = process
            .counter("upgrades done")
            .await
            .context("the far process did not answer the request for its counters")?;
        process.signal(Signal::USR2)?;
        let until = Instant::now() + PROCESS_LIMIT;
        while process.counter("upgrades done").await != Some(before + 1) {
            ensure!(
                Instant::now() < until,
                "the upgrade of the far process did not finish: {}",
                process.log()
            );
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    async fn swap_round_trips(&self) {
        self.links[0].set_conditions(LinkConditions::with_round_trip(Duration::from_millis(200)));
        self.links[1].set_conditions(LinkConditions::with_round_trip(Duration::from_millis(5)));
        sleep(FAULT_DURATION).await;
        self.links[1].set_conditions(LinkConditions::with_round_trip(FAR_ROUND_TRIP));
    }

    async fn disconnect_clients(&self, rng: &mut Pcg64, seed: u64, clients: &Clients) {
        for n in 0..DISCONNECTING_CLIENTS {
            let query = random_query(&format!("leaver{seed:x}"), u64::from(n), 0.0, rng);
            let after = Duration::from_millis(rng.random_range(1..40));
            let clients = clients.clone();
            tokio::task::spawn_local(async move { clients.send_and_disconnect(query, after).await });
            sleep(FAULT_DURATION / DISCONNECTING_CLIENTS).await;
        }
    }

    async fn run_mutual_forwarding(&self, seed: u64) -> Result<()> {
        self.set_cell_behavior(SOUTH, SOUTH_BUSY_CELLS, ReplicaBehavior::Busy);
        let clients = Clients::new(self.sites[SOUTH].process.address, self.query_log.clone());
        let load = Load::start(&format!("south{seed:x}"), seed, RATE, 0.0, clients);
        sleep(FAULT_DURATION).await;
        load.stop().await?;
        self.set_cell_behavior(SOUTH, SOUTH_BUSY_CELLS, ReplicaBehavior::Normal);
        Ok(())
    }
}

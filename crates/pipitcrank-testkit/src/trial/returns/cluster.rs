//! The cluster of the return trial: twelve members in three zones, with or without stores.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use pipitcrank_failover::decision::{Decision, OperatorOrder, ZoneState};
use pipitcrank_failover::node::OperatorAnswer;
use pipitcrank_failover::routing_table::Proximity;

use crate::datagram_network::DatagramNetwork;
use crate::process::{Process, TempDir};
use crate::query_log::QueryLog;
use crate::replica::Work;
use crate::trial::observer::{Observations, ObservedMember, free_udp_address, observe, send_order};
use crate::trial::operators_file::zones_section;
use crate::zoned_fleet::ZonedFleet;

/// All zones as (zone, region) pairs. The first member of each zone is a voter.
pub(super) const ZONES: [(&str, &str); 3] = [("a", "north"), ("b", "north"), ("c", "north")];
pub(super) const MEMBERS: usize = 12;
/// Index of the zone that an operator drains before the outage, so that there is a decision to survive the restart.
pub(super) const DRAINED_ZONE: usize = 2;
/// Work of a replica, which serves 200 parts per second.
const WORK: Work = Work { mean_time: Duration::from_millis(10), concurrency: 2 };
/// Load on each member, in queries per second. At 5.7 parts per query the load is 0.8 of the capacity of the two
/// zones of six replicas that are not drained.
pub(super) const RATE: f64 = 22.0;
/// Time limit for all members to follow a common decision after their start, in seconds.
const JOIN_LIMIT_S: f64 = 15.0;
/// Age from which a status is ignored.
const STATUS_MAX_AGE: Duration = Duration::from_secs(1);

/// One process of the program.
pub(super) struct Member {
    pub process: Process,
    pub known_as: SocketAddr,
    operators_file: String,
    pub store: PathBuf,
    /// Whether the script expects the member to be running.
    pub up: Rc<Cell<bool>>,
}

/// All members and their replicas.
pub(super) struct RestartCluster {
    pub fleet: ZonedFleet,
    // Stored because the relays stop when the network is dropped.
    _net: DatagramNetwork,
    pub members: Vec<Member>,
    pub observed: Rc<RefCell<Observations>>,
    pub stores: TempDir,
    /// Whether the members have stores.
    pub stores_enabled: bool,
    program: PathBuf,
}

/// Result of one of the program's commands.
pub(super) struct CommandResult {
    pub done: bool,
    /// Standard output and standard error.
    pub text: String,
}

fn zone_of(member: usize) -> usize {
    member % ZONES.len()
}

fn operators_file(
    zone: usize,
    listen: SocketAddr,
    known_as: SocketAddr,
    voters: &[SocketAddr],
    store: Option<&Path>,
) -> String {
    let store = store.map_or(String::new(), |path| {
        format!(", store = Some {{ path = \"{}\", every_s = 0.5, oldest_s = 30.0 }}", path.display())
    });
    format!("{{ {}{store} }}", zones_section(&ZONES, zone, listen, known_as, voters))
}

impl RestartCluster {
    pub(super) async fn start(program: &Path, seed: u64, stores_enabled: bool) -> Result<RestartCluster> {
        let fleet = ZonedFleet::start(seed, &ZONES, 0, WORK, QueryLog::default()).await?;
        let (net, stores) = (DatagramNetwork::new(seed ^ 5), TempDir::new("stores")?);
        let mut addresses = Vec::new();
        for _ in 0..MEMBERS {
            let listen = free_udp_address().await?;
            addresses.push((listen, net.relay(listen).await?));
        }
        let voters: Vec<SocketAddr> =
            addresses[..ZONES.len()].iter().map(|(_, known_as)| *known_as).collect();
        let mut members = Vec::new();
        for (n, &(listen, known_as)) in addresses.iter().enumerate() {
            let store = stores.path().join(format!("n{n}"));
            let file =
                operators_file(zone_of(n), listen, known_as, &voters, stores_enabled.then_some(&store));
            let mut node_config = fleet.node_config(zone_of(n), seed ^ n as u64, true)?;
            node_config["name"] = format!("n{n}").into();
            let process = Process::start(program, node_config, Some(file.clone())).await?;
            let up = Rc::new(Cell::new(true));
            members.push(Member { process, known_as, operators_file: file, store, up });
        }
        let program = program.into();
        let cluster = RestartCluster {
            fleet,
            _net: net,
            members,
            observed: Rc::default(),
            stores,
            stores_enabled,
            program,
        };
        cluster.observe().await?;
        ensure!(
            cluster.until(RestartCluster::all_follow, JOIN_LIMIT_S).await.is_some(),
            "members do not follow a common decision after {JOIN_LIMIT_S} s: {}",
            cluster.logs()
        );
        Ok(cluster)
    }

    async fn observe(&self) -> Result<()> {
        let proximity = Proximity::new(&ZONES.map(|(_, region)| region.to_string()));
        let members = self.members.iter();
        let observed = members
            .map(|member| ObservedMember { address: member.known_as, up: member.up.clone() })
            .collect();
        observe(self.observed.clone(), observed, proximity).await
    }

    /// Whether all members that should be running follow the common decision.
    pub(super) fn all_follow(&self) -> bool {
        self.all(|status, _| status == "following")
    }

    /// Whether all members that should be running have a recent status whose text and decision satisfy the condition.
    pub(super) fn all(&self, condition: impl Fn(&str, &Decision) -> bool) -> bool {
        let observed = self.observed.borrow();
        (0..MEMBERS).filter(|&n| self.members[n].up.get()).all(|n| {
            observed.last.get(&n).is_some_and(|(at, status)| {
                at.elapsed() < STATUS_MAX_AGE
                    && status.decision.as_ref().is_some_and(|d| condition(&status.status, d))
            })
        })
    }

    /// Waits for the condition. Returns the seconds that it took, or `None` after `limit_s` seconds.
    pub(super) async fn until(
        &self,
        condition: impl Fn(&RestartCluster) -> bool,
        limit_s: f64,
    ) -> Option<f64> {
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < limit_s {
            if condition(self) {
                return Some(start.elapsed().as_secs_f64());
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        None
    }

    pub(super) fn logs(&self) -> String {
        let tail = |m: &Member| m.process.log().lines().rev().take(10).collect::<Vec<_>>().join("\n");
        self.members.iter().map(tail).collect::<Vec<_>>().join("\n--\n")
    }

    /// Sends an operator's order to the voters and returns the answer.
    pub(super) async fn order(&self, order: OperatorOrder) -> Result<OperatorAnswer> {
        let voters: Vec<SocketAddr> =
            self.members[..ZONES.len()].iter().map(|member| member.known_as).collect();
        send_order(&voters, order).await
    }

    /// Kills the members at once.
    pub(super) fn kill(&mut self, members: &[usize]) {
        for &n in members {
            self.members[n].up.set(false);
        }
        for &n in members {
            self.members[n].process.kill();
            self.discard(n);
        }
    }

    /// Discards the last status of a member whose process has ended. The newest decision that it reported is kept if
    /// it has a store, because its next process must not follow an older one.
    pub(super) fn discard(&self, member: usize) {
        let mut observed = self.observed.borrow_mut();
        observed.last.remove(&member);
        if !self.stores_enabled {
            observed.newest.remove(&member);
        }
    }

    /// Starts the members at once and waits until they serve. Returns the time at which the last of them was started.
    pub(super) async fn restart(&mut self, members: &[usize]) -> Result<Instant> {
        for &n in members {
            let file = self.members[n].operators_file.clone();
            self.members[n].process.respawn(Some(file))?;
        }
        let last = Instant::now();
        for &n in members {
            self.members[n].process.wait_until_ready().await?;
            self.members[n].up.set(true);
        }
        Ok(last)
    }

    /// Runs one of the program's commands with the operators' file of a member.
    pub(super) async fn command(&self, member: usize, words: &[&str]) -> Result<CommandResult> {
        let path = self.stores.path().join("asks.dhall");
        std::fs::write(&path, &self.members[member].operators_file)?;
        let mut command = tokio::process::Command::new(&self.program);
        let output = command.args(words).arg("--operators").arg(&path).output().await?;
        let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
        Ok(CommandResult { done: output.status.success(), text })
    }

    /// Whether the drained zone is out of service in the decision.
    pub(super) fn is_drained(decision: &Decision) -> bool {
        let zone = &decision.zones[DRAINED_ZONE];
        zone.state == ZoneState::OutOfService && zone.drained
    }

    /// Number of the newest decision that any member reported.
    pub(super) fn newest_decision(&self) -> u64 {
        self.observed.borrow().newest_number()
    }
}

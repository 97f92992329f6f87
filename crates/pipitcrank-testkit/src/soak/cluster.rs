//! What a soak test is played on: processes, replicas behind links that can fail, discovery behind two of them, and the
//! record of all that happened.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use serde_json::{Value, json};
use tokio::sync::Mutex;

use super::periods::{Periods, ReplicaPeriods};
use super::requests::Request;
use super::size::Size;
use crate::discovery::{Discovery, row};
use crate::fleet::node_config_of;
use crate::link::{Link, LinkConditions};
use crate::process::Process;
use crate::query_log::QueryLog;
use crate::replica::{StandInReplica, Work};
use crate::syscall_faults::{FaultLibrary, ProcessFaults};

pub const CELLS: u32 = 6;
pub const SHARDS: u32 = 12;
const REPLICAS: usize = 12;
const SOCKETS: u32 = 256;
const MOST_OPEN: u32 = 500;
/// Part of a second's work that a replica does at once, and how long a part takes.
pub const WORK: Work = Work { mean_time: Duration::from_millis(10), concurrency: 2 };

/// Rules in the node configuration, as the verifier needs them.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
pub const DEDUP_WINDOW: Duration = Duration::from_millis(1200);
pub const WARM_UP: Duration = Duration::from_secs(8);
pub const INITIAL_FRACTION: f64 = 0.05;
pub const OVERLOAD_FACTOR: f64 = 1.0;
pub const LOAD_WINDOW: Duration = Duration::from_millis(1000);
/// Time from SIGTERM to SIGKILL: the longest deadline in the node configuration and 0.7 s more.
pub const GRACE: Duration = Duration::from_millis(2700);
pub const LONGEST_DEADLINE_S: f64 = 2.0;
/// How long this program's own lateness shows.
const LAG_LASTS: Duration = Duration::from_millis(600);

/// One replica, alive or dead.
pub struct Replica {
    pub name: String,
    pub cell: u32,
    pub replica: StandInReplica,
    pub link: Link,
    /// Unix time of its start in milliseconds, 0 if long ago; and when that was.
    pub boot_ms: i64,
    pub started: Option<Instant>,
    /// When it died.
    pub died: Option<Instant>,
}

impl Replica {
    fn row(&self, state: &str) -> Value {
        row(&self.name, self.link.address, self.cell, state, self.boot_ms)
    }
}

/// One process of the program.
pub struct Node {
    pub process: Mutex<Process>,
    pub address: SocketAddr,
    pub faults: ProcessFaults,
    /// When it was killed outright.
    pub kills: RefCell<Vec<Instant>>,
    /// When it was shutting down, down or starting.
    pub downtime: Periods,
    /// When it was stopped or held up.
    pub held_up: Periods,
    /// Times from a start until it served.
    pub ready: RefCell<Vec<Duration>>,
}

pub struct SoakCluster {
    pub begun: Instant,
    pub nodes: Vec<Node>,
    pub replicas: RefCell<Vec<Replica>>,
    /// Replicas that died and were replaced.
    pub retired: RefCell<Vec<Replica>>,
    pub discovery: Discovery,
    /// The links to discovery that node configurations name.
    pub discovery_links: [Link; 2],
    pub query_log: QueryLog,
    pub requests: RefCell<Vec<Request>>,
    /// When each replica address was announced as draining or dead.
    pub drains: ReplicaPeriods,
    /// When discovery could not be reached.
    pub discovery_outages: Periods,
    /// When the link to a replica was stalled.
    pub stalls: ReplicaPeriods,
    /// How late this program itself was, and when.
    pub lags: RefCell<Vec<(Instant, Duration)>>,
    /// Replicas that some fault drains or replaces.
    taken: RefCell<BTreeSet<usize>>,
    /// Seconds by which all wall clocks are off.
    wall_step: Cell<f64>,
    next_replica: Cell<usize>,
    seed: u64,
    _shim: FaultLibrary,
}

fn loopback() -> LinkConditions {
    LinkConditions::with_round_trip(Duration::from_micros(400))
}

impl SoakCluster {
    pub async fn start(program: &Path, seed: u64, size: Size) -> Result<Rc<SoakCluster>> {
        let query_log = QueryLog::with_arrivals();
        let mut replicas = Vec::new();
        for n in 0..REPLICAS {
            replicas.push(replica(n, n as u32 % CELLS, seed, &query_log, None).await?);
        }
        let discovery = Discovery::start(replicas.iter().map(|r| r.row("active")).collect()).await?;
        let to_discovery = |n: u64| Link::start(seed ^ n, discovery.address, loopback());
        let discovery_links = [to_discovery(11).await?, to_discovery(12).await?];
        let shim = FaultLibrary::build()?;
        let mut nodes = Vec::new();
        for n in 0..size.processes {
            let node_config = node_config(&discovery, discovery_links[0].address, seed, n, size.processes)?;
            let faults = shim.for_process(&n.to_string(), seed ^ (n as u64) << 8)?;
            let process = Process::start_with(program, node_config, faults.variables())?;
            nodes.push(Node {
                address: process.address,
                process: Mutex::new(process),
                faults,
                kills: RefCell::default(),
                downtime: Periods::default(),
                held_up: Periods::default(),
                ready: RefCell::default(),
            });
        }
        for node in &nodes {
            node.process.lock().await.wait_until_ready().await?;
        }
        let cluster = Rc::new(SoakCluster {
            begun: Instant::now(),
            nodes,
            replicas: RefCell::new(replicas),
            retired: RefCell::default(),
            discovery,
            discovery_links,
            query_log,
            requests: RefCell::default(),
            drains: ReplicaPeriods::default(),
            discovery_outages: Periods::default(),
            stalls: ReplicaPeriods::default(),
            lags: RefCell::default(),
            taken: RefCell::default(),
            wall_step: Cell::default(),
            next_replica: Cell::new(REPLICAS),
            seed,
            _shim: shim,
        });
        tokio::task::spawn_local(watch_own_lag(cluster.clone()));
        Ok(cluster)
    }

    /// One clock for all machines: processes read it, and replicas' starts are announced by it.
    pub fn step_all_wall_clocks(&self, seconds: f64) -> Result<()> {
        self.wall_step.set(seconds);
        self.nodes.iter().try_for_each(|node| node.faults.step_wall_clock(seconds))
    }

    pub fn drain(&self, n: usize) {
        let replicas = self.replicas.borrow();
        let replica = &replicas[n];
        self.drains.begin(replica.replica.address);
        self.discovery.update_row(replica.row("leaving"));
    }

    pub fn undrain(&self, n: usize) {
        let replicas = self.replicas.borrow();
        let replica = &replicas[n];
        self.drains.end_last(replica.replica.address);
        self.discovery.update_row(replica.row("active"));
    }

    /// The replica dies without notice, and one in slow start takes its place some time later.
    pub async fn replace(&self, n: usize, after: Duration) -> Result<()> {
        let (cell, old_row) = {
            let mut replicas = self.replicas.borrow_mut();
            replicas[n].died = Some(Instant::now());
            replicas[n].replica.kill();
            replicas[n].link.cut();
            (replicas[n].cell, replicas[n].row("left"))
        };
        tokio::time::sleep(after).await;
        let number = self.next_replica.replace(self.next_replica.get() + 1);
        let started = Instant::now();
        let mut new = replica(number, cell, self.seed, &self.query_log, Some(started)).await?;
        new.boot_ms += (self.wall_step.get() * 1000.0) as i64;
        new.replica.begin_slow_start(WARM_UP);
        // It may have got the address of one that died.
        self.drains.end_all(new.replica.address, started);
        let new_row = new.row("active");
        let died = self.replicas.borrow()[n].replica.address;
        self.drains.begin(died);
        self.discovery.update_row(old_row);
        self.discovery.update_row(new_row);
        let old = std::mem::replace(&mut self.replicas.borrow_mut()[n], new);
        self.retired.borrow_mut().push(old);
        Ok(())
    }

    /// How late this program was around that time, all together.
    pub fn lag_at(&self, at: Instant) -> Duration {
        let near = |t: Instant| t + LAG_LASTS >= at && t <= at + LAG_LASTS;
        self.lags.borrow().iter().filter(|(t, _)| near(*t)).map(|l| l.1).sum()
    }

    /// Reserves the replica of that number, or the next that no other fault drains or replaces; released when dropped.
    pub fn reserve_replica(&self, replica: usize) -> Option<ExclusiveReplica<'_>> {
        let count = self.replicas.borrow().len();
        let mut taken = self.taken.borrow_mut();
        let free = (0..count).map(|n| (replica + n) % count).find(|n| !taken.contains(n))?;
        taken.insert(free);
        Some(ExclusiveReplica { cluster: self, replica: free })
    }
}

/// A replica that one fault alone drains or replaces.
pub struct ExclusiveReplica<'a> {
    cluster: &'a SoakCluster,
    pub replica: usize,
}

impl Drop for ExclusiveReplica<'_> {
    fn drop(&mut self) {
        self.cluster.taken.borrow_mut().remove(&self.replica);
    }
}

impl Node {
    pub fn was_held_up(&self, from: Instant, to: Instant) -> bool {
        self.held_up.overlap(from, to)
    }
}

async fn replica(
    number: usize,
    cell: u32,
    seed: u64,
    query_log: &QueryLog,
    started: Option<Instant>,
) -> Result<Replica> {
    let replica = StandInReplica::start(seed ^ (number as u64) << 32, WORK, query_log.clone()).await?;
    let link = Link::start(seed ^ (number as u64) << 16, replica.address, loopback()).await?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).context("the clock stands before 1970")?;
    let boot_ms = if started.is_some() { now.as_millis() as i64 } else { 0 };
    Ok(Replica { name: format!("replica-{number}"), cell, replica, link, boot_ms, started, died: None })
}

fn node_config(
    discovery: &Discovery,
    watched: SocketAddr,
    seed: u64,
    n: usize,
    processes: usize,
) -> Result<Value> {
    let known = discovery.initial_list();
    let mut node_config =
        node_config_of(watched, known, CELLS, SHARDS, seed ^ ((n as u64 + 1) * 7919), SOCKETS, MOST_OPEN)?;
    node_config["name"] = json!(format!("soak-{n}"));
    let class = |name: &str, kind: &str| {
        json!({"name": name, "aim_s": 0.8, "hard_limit_s": LONGEST_DEADLINE_S, "idempotency": kind,
            "dedup_window_s": DEDUP_WINDOW.as_secs_f64()})
    };
    let settings = &mut node_config["settings"];
    settings["classes"] =
        json!([class("view", "safe"), class("rank", "safe"), class("sale", "unsafe"), class("pay", "keyed")]);
    settings["balancers"] = json!(processes);
    settings["domain"]["complete_from"] = json!([1.0, 1.0, 1.0, 1.0]);
    settings["domain"]["floor_by_class"] = json!([1.0, 0.5, 1.0, 1.0]);
    settings["domain"]["follow_up"] = json!([0, 0, 0, 0]);
    settings["rules"] = json!({"cold_from": INITIAL_FRACTION, "cold_s": WARM_UP.as_secs_f64(),
        "drain_grace_s": DRAIN_GRACE.as_secs_f64(), "fall_s": LOAD_WINDOW.as_secs_f64(),
        "overload_factor": OVERLOAD_FACTOR, "repeat_ratio": 0.2, "extra_free": 5, "budget_span_s": 2.0});
    Ok(node_config)
}

/// What this program sees late it must not hold against a process.
async fn watch_own_lag(cluster: Rc<SoakCluster>) {
    const STEP: Duration = Duration::from_millis(5);
    loop {
        let begun = Instant::now();
        tokio::time::sleep(STEP).await;
        let lag = begun.elapsed().saturating_sub(STEP);
        if lag > STEP {
            cluster.lags.borrow_mut().push((Instant::now(), lag));
        }
    }
}

//! Environment of a soak test: processes, replicas behind links that can fail, discovery behind two further links,
//! and the records from which the result is verified.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use tokio::sync::Mutex;

use super::periods::{Periods, ReplicaPeriods};
use super::requests::Request;
use super::size::Size;
use crate::discovery::{Discovery, row};
use crate::fleet::node_config_of;
use crate::link::{Link, LinkConditions};
use crate::process::{Process, peak_memory_kb};
use crate::query_log::QueryLog;
use crate::replica::{StandInReplica, Work};
use crate::syscall_faults::{FaultLibrary, ProcessFaults};

pub const CELLS: u32 = 6;
pub const SHARDS: u32 = 12;
const REPLICAS: usize = 12;
const SOCKETS: u32 = 256;
const MAX_OPEN: u32 = 500;
/// Processing time and concurrency of each replica.
pub const WORK: Work = Work { mean_time: Duration::from_millis(10), concurrency: 2 };

// Rules that the node configuration sets and the verifier checks.

pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
pub const DEDUP_WINDOW: Duration = Duration::from_millis(1200);
pub const WARM_UP: Duration = Duration::from_secs(8);
pub const INITIAL_FRACTION: f64 = 0.05;
pub const OVERLOAD_FACTOR: f64 = 1.0;
pub const LOAD_WINDOW: Duration = Duration::from_millis(1000);
/// Range of the longest deadline in the node configuration, in milliseconds; the seed selects one for the run.
const LONGEST_DEADLINE_MS: std::ops::RangeInclusive<u64> = 500..=2000;
/// Shortest time from SIGTERM to SIGKILL beyond the longest deadline.
const GRACE_BEYOND_DEADLINE: Duration = Duration::from_millis(700);
/// Latency objective as a fraction of the longest deadline.
const OBJECTIVE_FRACTION: f64 = 0.4;
/// Memory limit of each process: the least that the pages name.
pub const MEMORY_MB: u64 = 32;
/// Interval of the samples of each process's memory.
const MEMORY_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time before and after a lag of this program within which observations may be affected by it.
const LAG_EFFECT_TIME: Duration = Duration::from_millis(600);

/// A replica that is running or has been killed.
pub struct Replica {
    pub name: String,
    pub cell: u32,
    pub replica: StandInReplica,
    pub link: Link,
    /// Unix time of the start in milliseconds, 0 if the replica is past its slow start.
    pub boot_ms: i64,
    /// Time of the start; `None` if the replica is past its slow start.
    pub started: Option<Instant>,
    /// When the replica was killed.
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
    /// Times at which the process was killed with SIGKILL.
    pub kills: RefCell<Vec<Instant>>,
    /// Periods in which the process was shutting down, down or starting.
    pub downtime: Periods,
    /// Periods in which the process was stopped or its writes were delayed.
    pub pauses: Periods,
    /// Times from each start until the process served.
    pub ready: RefCell<Vec<Duration>>,
    /// Id of the current process.
    pub pid: Cell<i32>,
    /// Highest resident memory of any of its processes, in kilobytes.
    pub peak_memory_kb: Cell<u64>,
}

/// Environment of a soak test and its records.
pub struct SoakCluster {
    pub start: Instant,
    /// Longest deadline in the node configuration.
    pub longest_deadline: Duration,
    pub nodes: Vec<Node>,
    pub replicas: RefCell<Vec<Replica>>,
    /// Replicas that were killed and replaced.
    pub retired: RefCell<Vec<Replica>>,
    pub discovery: Discovery,
    /// Links to discovery; a node configuration contains the address of one of them.
    pub discovery_links: [Link; 2],
    pub query_log: QueryLog,
    pub requests: RefCell<Vec<Request>>,
    /// Periods in which a replica address was announced as draining or removed.
    pub drains: ReplicaPeriods,
    /// Periods in which discovery was unreachable.
    pub discovery_outages: Periods,
    /// Periods in which the link to a replica was stalled.
    pub stalls: ReplicaPeriods,
    /// Delays of this program's own timers, with the times at which they were observed.
    pub lags: RefCell<Vec<(Instant, Duration)>>,
    /// Indices of the replicas that a fault has reserved to drain or replace.
    reserved: RefCell<BTreeSet<usize>>,
    /// Current offset of all wall clocks, in seconds.
    wall_step: Cell<f64>,
    next_replica: Cell<usize>,
    seed: u64,
    _fault_library: FaultLibrary,
}

fn loopback() -> LinkConditions {
    LinkConditions::with_round_trip(Duration::from_micros(400))
}

impl SoakCluster {
    pub async fn start(program: &Path, seed: u64, size: Size) -> Result<Rc<SoakCluster>> {
        let query_log = QueryLog::with_arrivals();
        let longest_deadline = longest_deadline(seed);
        let mut replicas = Vec::new();
        for n in 0..REPLICAS {
            replicas.push(start_replica(n, n as u32 % CELLS, seed, &query_log, None).await?);
        }
        let discovery = Discovery::start(replicas.iter().map(|r| r.row("active")).collect()).await?;
        let to_discovery = |n: u64| Link::start(seed ^ n, discovery.address, loopback());
        let discovery_links = [to_discovery(11).await?, to_discovery(12).await?];
        let fault_library = FaultLibrary::build()?;
        let mut nodes = Vec::new();
        for n in 0..size.processes {
            let node_config = node_config(
                &discovery,
                discovery_links[0].address,
                seed,
                n,
                size.processes,
                longest_deadline,
            )?;
            let faults = fault_library.for_process(&n.to_string(), seed ^ (n as u64) << 8)?;
            let process = Process::start_with(program, node_config, faults.variables())?;
            nodes.push(Node::new(process, faults));
        }
        for node in &nodes {
            node.process.lock().await.wait_until_ready().await?;
        }
        let cluster = Rc::new(SoakCluster {
            start: Instant::now(),
            longest_deadline,
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
            reserved: RefCell::default(),
            wall_step: Cell::default(),
            next_replica: Cell::new(REPLICAS),
            seed,
            _fault_library: fault_library,
        });
        tokio::task::spawn_local(record_own_lag(cluster.clone()));
        tokio::task::spawn_local(record_memory(cluster.clone()));
        Ok(cluster)
    }

    /// Shortest time from SIGTERM to SIGKILL.
    pub fn shutdown_grace(&self) -> Duration {
        self.longest_deadline + GRACE_BEYOND_DEADLINE
    }

    /// Sets the offset of all wall clocks together, as on machines with a common time source: processes read the
    /// clock, and discovery publishes the start times of replicas by it.
    pub fn step_all_wall_clocks(&self, seconds: f64) -> Result<()> {
        self.wall_step.set(seconds);
        self.nodes.iter().try_for_each(|node| node.faults.step_wall_clock(seconds))
    }

    /// Announces that the replica drains.
    pub fn drain(&self, n: usize) {
        let replicas = self.replicas.borrow();
        let replica = &replicas[n];
        self.drains.begin(replica.replica.address);
        self.discovery.update_row(replica.row("leaving"));
    }

    /// Announces that the replica serves again.
    pub fn undrain(&self, n: usize) {
        let replicas = self.replicas.borrow();
        let replica = &replicas[n];
        self.drains.end_last(replica.replica.address);
        self.discovery.update_row(replica.row("active"));
    }

    /// Kills a replica without announcement and replaces it by one in slow start after a delay.
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
        let mut new = start_replica(number, cell, self.seed, &self.query_log, Some(started)).await?;
        new.boot_ms += (self.wall_step.get() * 1000.0) as i64;
        new.replica.begin_slow_start(WARM_UP);
        // The operating system may have reused the address of a killed replica.
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

    /// Sum of the delays of this program's own timers around the given time.
    pub fn lag_at(&self, at: Instant) -> Duration {
        let is_near = |t: Instant| t + LAG_EFFECT_TIME >= at && t <= at + LAG_EFFECT_TIME;
        self.lags.borrow().iter().filter(|(t, _)| is_near(*t)).map(|l| l.1).sum()
    }

    /// Reserves the replica with the given index or the next unreserved one; `None` if all are reserved. The
    /// reservation ends when the result is dropped.
    pub fn reserve_replica(&self, replica: usize) -> Option<ExclusiveReplica<'_>> {
        let count = self.replicas.borrow().len();
        let mut reserved = self.reserved.borrow_mut();
        let free = (0..count).map(|n| (replica + n) % count).find(|n| !reserved.contains(n))?;
        reserved.insert(free);
        Some(ExclusiveReplica { cluster: self, replica: free })
    }
}

/// A replica reserved for one fault that drains or replaces it.
pub struct ExclusiveReplica<'a> {
    cluster: &'a SoakCluster,
    pub replica: usize,
}

impl Drop for ExclusiveReplica<'_> {
    fn drop(&mut self) {
        self.cluster.reserved.borrow_mut().remove(&self.replica);
    }
}

impl Node {
    fn new(process: Process, faults: ProcessFaults) -> Node {
        Node {
            address: process.address,
            pid: Cell::new(process.pid()),
            process: Mutex::new(process),
            faults,
            kills: RefCell::default(),
            downtime: Periods::default(),
            pauses: Periods::default(),
            ready: RefCell::default(),
            peak_memory_kb: Cell::default(),
        }
    }

    /// Whether the process was paused at any time from `from` to `to`.
    pub fn was_paused(&self, from: Instant, to: Instant) -> bool {
        self.pauses.overlap(from, to)
    }
}

async fn start_replica(
    number: usize,
    cell: u32,
    seed: u64,
    query_log: &QueryLog,
    started: Option<Instant>,
) -> Result<Replica> {
    let replica = StandInReplica::start(seed ^ (number as u64) << 32, WORK, query_log.clone()).await?;
    let link = Link::start(seed ^ (number as u64) << 16, replica.address, loopback()).await?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).context("system clock is before 1970")?;
    let boot_ms = if started.is_some() { now.as_millis() as i64 } else { 0 };
    Ok(Replica { name: format!("replica-{number}"), cell, replica, link, boot_ms, started, died: None })
}

fn node_config(
    discovery: &Discovery,
    discovery_address: SocketAddr,
    seed: u64,
    n: usize,
    processes: usize,
    longest_deadline: Duration,
) -> Result<Value> {
    let longest_deadline_s = longest_deadline.as_secs_f64();
    let initial_list = discovery.initial_list();
    let mut node_config = node_config_of(
        discovery_address,
        initial_list,
        CELLS,
        SHARDS,
        seed ^ ((n as u64 + 1) * 7919),
        SOCKETS,
        MAX_OPEN,
    )?;
    node_config["name"] = json!(format!("soak-{n}"));
    node_config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let class = |name: &str, kind: &str| {
        json!({"name": name, "aim_s": longest_deadline_s * OBJECTIVE_FRACTION, "hard_limit_s": longest_deadline_s, "idempotency": kind,
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

/// Longest deadline of the run with this seed.
fn longest_deadline(seed: u64) -> Duration {
    Duration::from_millis(Pcg64::seed_from_u64(seed ^ 0x6465_6164).random_range(LONGEST_DEADLINE_MS))
}

/// Records the highest memory of each process. A process that ends takes its figures with it, so they are sampled.
async fn record_memory(cluster: Rc<SoakCluster>) {
    loop {
        tokio::time::sleep(MEMORY_SAMPLE_INTERVAL).await;
        for node in &cluster.nodes {
            node.peak_memory_kb.set(node.peak_memory_kb.get().max(peak_memory_kb(node.pid.get())));
        }
    }
}

/// Records delays of this program's own timers, so that the verifier does not attribute them to a process.
async fn record_own_lag(cluster: Rc<SoakCluster>) {
    const STEP: Duration = Duration::from_millis(5);
    loop {
        let start = Instant::now();
        tokio::time::sleep(STEP).await;
        let lag = start.elapsed().saturating_sub(STEP);
        if lag > STEP {
            cluster.lags.borrow_mut().push((Instant::now(), lag));
        }
    }
}

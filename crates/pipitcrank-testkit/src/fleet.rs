//! A fleet of stand-in replicas with its discovery, the node configuration of a co-ordinator for it, and the query
//! load.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};

use crate::client::{Clients, QueryRequest};
use crate::discovery::{Discovery, row};
use crate::query_log::QueryLog;
use crate::replica::{StandInReplica, Work};

/// Number of cells; each shard is held by two cells.
const CELLS: u32 = 6;
const REPLICAS_PER_CELL: u32 = 2;
/// Number of shards in the fleet.
pub const SHARDS: u32 = 12;

/// Stand-in replicas and their discovery.
pub struct Fleet {
    /// The replicas; replica `n` belongs to cell `n % CELLS`.
    pub replicas: Vec<StandInReplica>,
    /// Discovery that lists the replicas.
    pub discovery: Discovery,
    /// Log that records the parts run by the replicas.
    pub query_log: QueryLog,
}

impl Fleet {
    /// Starts a fleet with a new query log.
    ///
    /// # Errors
    ///
    /// If a stand-in cannot listen.
    pub async fn start(seed: u64, work: Work) -> Result<Fleet> {
        Fleet::start_with(seed, work, QueryLog::default()).await
    }

    /// Starts a fleet that records its parts in the given query log.
    pub async fn start_with(seed: u64, work: Work, query_log: QueryLog) -> Result<Fleet> {
        let (mut replicas, mut rows) = (Vec::new(), Vec::new());
        for n in 0..CELLS * REPLICAS_PER_CELL {
            let replica = StandInReplica::start(seed ^ u64::from(n) << 32, work, query_log.clone()).await?;
            rows.push(row(&format!("leaf-{n}"), replica.address, n % CELLS, "active", 0));
            replicas.push(replica);
        }
        Ok(Fleet { replicas, discovery: Discovery::start(rows).await?, query_log })
    }

    /// Publishes the state of a replica in discovery: `leaving` while it drains, `active` while it serves.
    pub fn set_replica_state(&self, replica: usize, state: &str) {
        let address = self.replicas[replica].address;
        self.discovery.update_row(row(&format!("leaf-{replica}"), address, replica as u32 % CELLS, state, 0));
    }

    /// Node configuration of a co-ordinator of this fleet. Its listen address was unused when it was chosen.
    pub fn node_config(&self, seed: u64, sockets: u32, max_open: u32) -> Result<Value> {
        let discovery = &self.discovery;
        node_config_of(discovery.address, discovery.initial_list(), CELLS, SHARDS, seed, sockets, max_open)
    }
}

/// Node configuration of a co-ordinator that watches the given discovery. Its listen address was unused when it was
/// chosen.
pub fn node_config_of(
    discovery: SocketAddr,
    initial_list: Value,
    cells: u32,
    shards: u32,
    seed: u64,
    sockets: u32,
    max_open: u32,
) -> Result<Value> {
    let listen = free_address()?;
    let class = |name: &str, aim: f64, limit: f64, kind: &str| json!({"name": name, "aim_s": aim, "hard_limit_s": limit, "idempotency": kind});
    Ok(json!({
        "name": "stand-in", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", seed & 0xffff_ffff), "limits": {"sockets": sockets, "memory_mb": 256, "cores": 1.0},
        "known": initial_list,
        "settings": {
            "allowed": {"cancel": true, "probing": true, "may_duplicate": true, "retry_after": true,
                "max_retry_after_s": 2.0, "try_limit": 4, "conn_idle_s": 30.0, "dial_timeout_s": 0.5,
                "max_open": max_open, "streams_per_conn": 32},
            "classes": [class("view", 1.0, 4.0, "safe"), class("rank", 1.0, 4.0, "safe"),
                class("sale", 3.0, 5.0, "unsafe")],
            "domain": {"call_cost_s": 0.001, "complete_from": [1.0, 1.0, 1.0], "floor_by_class": [1.0, 0.8, 1.0],
                "follow_up": [0, 0, 0], "parts_a_call": 8, "sets": cells, "shards": shards, "span": 2},
            "rules": {"cold_from": 0.3, "cold_s": 8.0, "drain_grace_s": 2.0, "fall_s": 1.5,
                "overload_factor": 4.0, "repeat_ratio": 0.1, "extra_free": 5, "budget_span_s": 10.0},
            "tick_s": 0.005
        }
    }))
}

/// Returns an unused address. Its IP address (127.64.0.0 to 127.191.255.255) is derived from the process id: other test
/// processes do not listen on it and no outgoing connection has it as its source, so the port stays free until the
/// program under test binds it.
pub fn free_address() -> Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let ip = [127, 64 + (pid % 128) as u8, (pid / 128 % 256) as u8, 1 + (n % 250) as u8];
    Ok(TcpListener::bind(SocketAddr::from((ip, 0)))?.local_addr()?)
}

/// An open-loop query load with Poisson arrivals: queries do not wait for earlier answers.
pub struct Load {
    running: Rc<Cell<bool>>,
    task: tokio::task::JoinHandle<u64>,
}

impl Load {
    /// Starts the load at `rate` queries per second on average. `slow_sales` is the fraction of `sale` queries whose
    /// part takes one to two seconds.
    pub fn start(name: &str, seed: u64, rate: f64, slow_sales: f64, clients: Clients) -> Load {
        let running = Rc::new(Cell::new(true));
        let (name, still_running) = (name.to_string(), running.clone());
        let task = tokio::task::spawn_local(async move {
            let mut rng = Pcg64::seed_from_u64(seed);
            let (start, mut due, mut n) = (Instant::now(), 0.0, 0);
            let mut tasks = tokio::task::JoinSet::new();
            while still_running.get() {
                due += -(1.0 - rng.random::<f64>()).ln() / rate;
                let query = random_query(&name, n, slow_sales, &mut rng);
                n += 1;
                tokio::time::sleep_until((start + Duration::from_secs_f64(due)).into()).await;
                let clients = clients.clone();
                tasks.spawn_local(async move {
                    clients.send(query).await;
                });
                while tasks.try_join_next().is_some() {}
            }
            while tasks.join_next().await.is_some() {}
            n
        });
        Load { running, task }
    }

    /// Stops sending, waits for the open queries and returns the number of queries sent.
    pub async fn stop(self) -> Result<u64> {
        self.running.set(false);
        Ok(self.task.await?)
    }
}

/// Draws a query of a random class for random shards. `slow_sales` is the fraction of `sale` queries whose part takes
/// one to two seconds.
pub fn random_query(name: &str, n: u64, slow_sales: f64, rng: &mut Pcg64) -> QueryRequest {
    let class_draw: f64 = rng.random();
    let consecutive_shards = |rng: &mut Pcg64, count: u32| {
        let first = rng.random_range(0..SHARDS);
        (0..count).map(|i| (first + i) % SHARDS).collect()
    };
    let (class, shards): (_, Vec<u32>) = if class_draw < 0.55 {
        let count = rng.random_range(4..=6);
        ("view", consecutive_shards(rng, count))
    } else if class_draw < 0.78 {
        ("rank", consecutive_shards(rng, SHARDS))
    } else {
        ("sale", consecutive_shards(rng, 1))
    };
    let slow = class == "sale" && rng.random_bool(slow_sales);
    let text = if slow { format!("lasts={}", rng.random_range(1000..2000)) } else { format!("text {n}") };
    let wait = Duration::from_millis(4000);
    QueryRequest { id: format!("{class}-{name}-{n}"), class, shards, wait, text }
}

//! Clients of a soak test. Most send plain requests; some disconnect early, send partial requests, write slowly or
//! pipeline requests. Each request and its end are recorded as the client observed them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::cluster::{SHARDS, SoakCluster};
use super::requests::{ClientBehavior, Request, RequestEnd};
use crate::client::{HttpResponse, connect, read_response};
use crate::replica::value_for;

/// How long after its deadline a client still waits for an answer.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(1500);

/// Requests sent to one process at random times.
pub struct Load {
    running: Rc<Cell<bool>>,
    task: tokio::task::JoinHandle<()>,
}

/// Pauses of a persistent client between an answer and its next request, in milliseconds.
const PERSISTENT_PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Persistent clients of each process.
const PERSISTENT_CLIENTS: usize = 2;

/// Clients of one process.
struct Clients {
    cluster: Rc<SoakCluster>,
    node: usize,
    address: SocketAddr,
    idle: RefCell<Vec<BufReader<TcpStream>>>,
}

impl Load {
    /// Starts the load on one process, at `rate` requests per second on average.
    pub fn start(cluster: Rc<SoakCluster>, node: usize, seed: u64, rate: f64) -> Load {
        let running = Rc::new(Cell::new(true));
        let still_running = running.clone();
        let task = tokio::task::spawn_local(async move {
            let mut rng = Pcg64::seed_from_u64(seed ^ (node as u64 + 1) << 40);
            let address = cluster.nodes[node].address;
            let mut persistent = tokio::task::JoinSet::new();
            for client in 0..PERSISTENT_CLIENTS {
                let clients = Clients { cluster: cluster.clone(), node, address, idle: RefCell::default() };
                let seed = rng.random();
                persistent.spawn_local(run_persistent_client(clients, client, seed, still_running.clone()));
            }
            let clients = Rc::new(Clients { cluster, node, address, idle: RefCell::default() });
            let (start, mut due, mut n) = (Instant::now(), 0.0, 0);
            let mut tasks = tokio::task::JoinSet::new();
            while still_running.get() {
                due += -(1.0 - rng.random::<f64>()).ln() / rate;
                n += 1;
                let request = run_request(clients.clone(), n, rng.random());
                tokio::time::sleep_until((start + Duration::from_secs_f64(due)).into()).await;
                tasks.spawn_local(request);
                while tasks.try_join_next().is_some() {}
            }
            while tasks.join_next().await.is_some() {}
            while persistent.join_next().await.is_some() {}
        });
        Load { running, task }
    }

    /// Stops sending and waits for the open requests.
    pub async fn stop(self) -> Result<()> {
        self.running.set(false);
        Ok(self.task.await?)
    }
}

struct QueryRequest {
    id: String,
    wait: Duration,
    shards: Vec<u32>,
    behavior: ClientBehavior,
}

fn random_query(node: usize, name: &str, longest: Duration, rng: &mut Pcg64) -> QueryRequest {
    let class_draw: f64 = rng.random();
    let (class, count) = match class_draw {
        x if x < 0.45 => ("view", rng.random_range(2..=5)),
        x if x < 0.65 => ("rank", rng.random_range(4..=8)),
        x if x < 0.85 => ("sale", 1),
        _ => ("pay", rng.random_range(1..=2)),
    };
    let first = rng.random_range(0..SHARDS);
    let shards = (0..count).map(|i| (first + i) % SHARDS).collect();
    let behavior = match rng.random_range(0..100) {
        0..66 => ClientBehavior::Plain,
        66..76 => ClientBehavior::Disconnects,
        76..80 => ClientBehavior::DisconnectsAfterExtraBytes,
        80..84 => ClientBehavior::DisconnectsAfterExtraChunks,
        84..88 => ClientBehavior::PartialRequest,
        88..92 => ClientBehavior::SlowWriter,
        92..95 => ClientBehavior::Pipelines,
        _ => ClientBehavior::ShortDeadline,
    };
    let wait = match behavior {
        ClientBehavior::ShortDeadline => Duration::from_millis(rng.random_range(0..40)),
        _ => longest.mul_f64(rng.random_range(0.3..1.0)),
    };
    QueryRequest { id: format!("{class}-{node}-{name}"), wait, shards, behavior }
}

impl QueryRequest {
    fn body(&self) -> String {
        let weight = 1.0 / self.shards.len() as f64;
        let shards: Vec<_> = self.shards.iter().map(|s| json!({"shard": s, "weight": weight})).collect();
        json!({"shards": shards, "q": "soak"}).to_string()
    }

    fn head(&self, framing: &str) -> String {
        let class = self.id.split('-').next().unwrap_or("view");
        let key = if class == "pay" { format!("Idempotency-Key: {}\r\n", self.id) } else { String::new() };
        format!(
            "POST /{class} HTTP/1.1\r\nHost: x\r\nReq-Id: {}\r\n{key}Req-Deadline-Ms: {}\r\n{framing}\r\n\r\n",
            self.id,
            self.wait.as_millis()
        )
    }

    fn request(&self) -> String {
        let body = self.body();
        self.head(&format!("Content-Length: {}", body.len())) + &body
    }

    fn chunked_request(&self) -> String {
        let body = self.body();
        let (first, second) = body.split_at(body.len() / 2);
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        self.head("Transfer-Encoding: chunked") + &chunk(first) + &chunk(second) + "0\r\n\r\n"
    }

    /// Whether each hit of the answer is one that a replica made for this query and a requested shard, and missing hits
    /// are reported.
    fn matches_answer(&self, answer: &HttpResponse) -> bool {
        if answer.status != 200 {
            return true;
        }
        let Ok(body) = serde_json::from_str::<serde_json::Value>(&answer.body) else { return false };
        let Some(hits) = body["hits"].as_array() else { return false };
        let is_valid = |hit: &serde_json::Value| {
            let shard = hit["shard"].as_u64().unwrap_or(u64::MAX) as u32;
            self.shards.contains(&shard) && hit["doc"] == json!(value_for(&self.id, shard))
        };
        let complete = hits.len() == self.shards.len();
        hits.iter().all(is_valid) && (complete || body["complete"] == json!(false))
    }
}

/// Sends one plain request after another on a connection that it keeps for as long as the process does, also during a
/// shutdown.
async fn run_persistent_client(clients: Clients, client: usize, seed: u64, running: Rc<Cell<bool>>) {
    let mut rng = Pcg64::seed_from_u64(seed);
    for n in 0.. {
        if !running.get() {
            return;
        }
        let longest = clients.cluster.longest_deadline;
        let name = format!("kept{client}-{n}");
        let query = random_query(clients.node, &name, longest, &mut rng);
        let query = QueryRequest { behavior: ClientBehavior::Plain, wait: longest, ..query };
        let index = clients.record(&query, Instant::now());
        let (end, corrupted) = clients.send(&query, index).await;
        {
            let mut requests = clients.cluster.requests.borrow_mut();
            (requests[index].end, requests[index].corrupted) = (end, corrupted);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(PERSISTENT_PAUSE_MS))).await;
    }
}

async fn run_request(clients: Rc<Clients>, n: u64, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let longest = clients.cluster.longest_deadline;
    let query = random_query(clients.node, &n.to_string(), longest, &mut rng);
    let index = clients.record(&query, Instant::now());
    let (end, corrupted) = match query.behavior {
        ClientBehavior::Plain | ClientBehavior::ShortDeadline => clients.send(&query, index).await,
        ClientBehavior::PartialRequest => {
            (clients.send_partial_request(&query, index, &mut rng).await, false)
        }
        ClientBehavior::SlowWriter | ClientBehavior::Pipelines => {
            clients.send_on_new_connection(&query, index).await
        }
        _ => (clients.send_and_disconnect(&query, index, &mut rng).await, false),
    };
    let mut requests = clients.cluster.requests.borrow_mut();
    (requests[index].end, requests[index].corrupted) = (end, corrupted);
}

impl Clients {
    /// Records a request as open and returns its index.
    fn record(&self, query: &QueryRequest, sent_at: Instant) -> usize {
        let mut requests = self.cluster.requests.borrow_mut();
        requests.push(Request {
            id: query.id.clone(),
            node: self.node,
            behavior: query.behavior,
            sent_at,
            wait: query.wait,
            end: RequestEnd::Open,
            corrupted: false,
        });
        requests.len() - 1
    }

    /// Records that the last byte of the request was written now.
    fn record_sent(&self, index: usize) {
        self.cluster.requests.borrow_mut()[index].sent_at = Instant::now();
    }

    /// Takes an idle connection that is still open.
    fn take_idle(&self) -> Option<BufReader<TcpStream>> {
        loop {
            let idle = self.idle.borrow_mut().pop()?;
            let read = idle.get_ref().try_read(&mut [0; 1]);
            if read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(idle);
            }
        }
    }

    async fn send(&self, query: &QueryRequest, index: usize) -> (RequestEnd, bool) {
        if let Some(stream) = self.take_idle() {
            let (end, corrupted) = self.send_on(stream, query, index, true).await;
            // The request is sent again on a new connection if the idle one ended without an answer.
            if !matches!(end, RequestEnd::Interrupted { .. }) {
                return (end, corrupted);
            }
        }
        self.send_on_new_connection(query, index).await
    }

    async fn send_on_new_connection(&self, query: &QueryRequest, index: usize) -> (RequestEnd, bool) {
        match connect(self.address).await {
            Ok(stream) => self.send_on(BufReader::new(stream), query, index, false).await,
            Err(_) => (RequestEnd::NotAccepted, false),
        }
    }

    async fn send_on(
        &self,
        mut stream: BufReader<TcpStream>,
        query: &QueryRequest,
        index: usize,
        reused: bool,
    ) -> (RequestEnd, bool) {
        let interrupted = |reused| (RequestEnd::Interrupted { at: Instant::now(), reused }, false);
        if self.write_request(&mut stream, query).await.is_err() {
            return interrupted(reused);
        }
        self.record_sent(index);
        let response = tokio::time::timeout(query.wait + LATE_ANSWER_WAIT, read_response(&mut stream)).await;
        match response {
            Err(_) => (RequestEnd::NoResponse, false),
            Ok(None) => interrupted(reused),
            Ok(Some(answer)) => {
                let at = Instant::now();
                let corrupted = !query.matches_answer(&answer);
                if answer.keep_alive && query.behavior == ClientBehavior::Plain {
                    self.idle.borrow_mut().push(stream);
                }
                (RequestEnd::Answered { status: answer.status, at }, corrupted)
            }
        }
    }

    async fn write_request(
        &self,
        stream: &mut BufReader<TcpStream>,
        query: &QueryRequest,
    ) -> std::io::Result<()> {
        let mut request = query.request();
        match query.behavior {
            ClientBehavior::SlowWriter => {
                for piece in request.as_bytes().chunks(60) {
                    stream.get_mut().write_all(piece).await?;
                    tokio::time::sleep(Duration::from_millis(25)).await;
                }
                return Ok(());
            }
            ClientBehavior::Pipelines => {
                for n in 0..3 {
                    let id = format!("{}p{n}", query.id);
                    let next = QueryRequest { id, shards: query.shards.clone(), ..*query };
                    request += &next.request();
                }
            }
            _ => {}
        }
        stream.get_mut().write_all(request.as_bytes()).await
    }

    async fn send_and_disconnect(&self, query: &QueryRequest, index: usize, rng: &mut Pcg64) -> RequestEnd {
        let Ok(mut stream) = connect(self.address).await else { return RequestEnd::NotAccepted };
        let extra = "x".repeat(4000);
        let bytes = match query.behavior {
            ClientBehavior::DisconnectsAfterExtraBytes => query.request() + &extra,
            ClientBehavior::DisconnectsAfterExtraChunks => query.chunked_request() + &extra,
            _ => query.request(),
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return RequestEnd::Interrupted { at: Instant::now(), reused: false };
        }
        self.record_sent(index);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
        if rng.random_bool(0.4) {
            let _ = stream.set_zero_linger();
        }
        drop(stream);
        RequestEnd::Disconnected { at: Instant::now() }
    }

    async fn send_partial_request(&self, query: &QueryRequest, index: usize, rng: &mut Pcg64) -> RequestEnd {
        let Ok(mut stream) = connect(self.address).await else { return RequestEnd::NotAccepted };
        let request = query.request();
        let cut = rng.random_range(1..request.len() - 1);
        if stream.write_all(&request.as_bytes()[..cut]).await.is_err() {
            return RequestEnd::Interrupted { at: Instant::now(), reused: false };
        }
        self.record_sent(index);
        match tokio::time::timeout(Duration::from_secs(5), stream.read(&mut [0; 512])).await {
            Ok(_) => RequestEnd::Refused { at: Instant::now() },
            Err(_) => RequestEnd::NoResponse,
        }
    }
}

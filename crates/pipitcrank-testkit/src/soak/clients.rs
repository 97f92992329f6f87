//! Clients of a soak test: most are plain, some disconnect early, stop half way, write slowly, or send several requests at
//! once. Each request and its end are recorded as its client saw them.

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

/// How long a client waits beyond its deadline for a late answer.
const PATIENCE: Duration = Duration::from_millis(1500);

pub struct Load {
    running: Rc<Cell<bool>>,
    task: tokio::task::JoinHandle<()>,
}

struct Clients {
    cluster: Rc<SoakCluster>,
    node: usize,
    address: SocketAddr,
    kept: RefCell<Vec<BufReader<TcpStream>>>,
}

impl Load {
    pub fn start(cluster: Rc<SoakCluster>, node: usize, seed: u64, rate: f64) -> Load {
        let running = Rc::new(Cell::new(true));
        let on = running.clone();
        let task = tokio::task::spawn_local(async move {
            let mut rng = Pcg64::seed_from_u64(seed ^ (node as u64 + 1) << 40);
            let address = cluster.nodes[node].address;
            let clients = Rc::new(Clients { cluster, node, address, kept: RefCell::default() });
            let (start, mut due, mut n) = (Instant::now(), 0.0, 0);
            let mut tasks = tokio::task::JoinSet::new();
            while on.get() {
                due += -(1.0 - rng.random::<f64>()).ln() / rate;
                n += 1;
                let asking = ask(clients.clone(), n, rng.random());
                tokio::time::sleep_until((start + Duration::from_secs_f64(due)).into()).await;
                tasks.spawn_local(asking);
                while tasks.try_join_next().is_some() {}
            }
            while tasks.join_next().await.is_some() {}
        });
        Load { running, task }
    }

    /// Sends no more requests and waits for those that are open.
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

fn query(node: usize, n: u64, rng: &mut Pcg64) -> QueryRequest {
    let kind: f64 = rng.random();
    let (class, count) = match kind {
        k if k < 0.45 => ("view", rng.random_range(2..=5)),
        k if k < 0.65 => ("rank", rng.random_range(4..=8)),
        k if k < 0.85 => ("sale", 1),
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
        _ => Duration::from_millis(rng.random_range(600..2000)),
    };
    QueryRequest { id: format!("{class}-{node}-{n}"), wait, shards, behavior }
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

    fn chunked(&self) -> String {
        let body = self.body();
        let (first, second) = body.split_at(body.len() / 2);
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        self.head("Transfer-Encoding: chunked") + &chunk(first) + &chunk(second) + "0\r\n\r\n"
    }

    /// Whether each value is one that a replica gave.
    fn is_answered_by(&self, answer: &HttpResponse) -> bool {
        if answer.status != 200 {
            return true;
        }
        let Ok(body) = serde_json::from_str::<serde_json::Value>(&answer.body) else { return false };
        let Some(hits) = body["hits"].as_array() else { return false };
        let sound = |hit: &serde_json::Value| {
            let shard = hit["shard"].as_u64().unwrap_or(u64::MAX) as u32;
            self.shards.contains(&shard) && hit["doc"] == json!(format!("d{shard}-4"))
        };
        let all = hits.len() == self.shards.len();
        hits.iter().all(sound) && (all || body["complete"] == json!(false))
    }
}

async fn ask(clients: Rc<Clients>, n: u64, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let query = query(clients.node, n, &mut rng);
    let place = clients.note(&query, Instant::now());
    let (end, corrupted) = match query.behavior {
        ClientBehavior::Plain | ClientBehavior::ShortDeadline => clients.ask(&query, place).await,
        ClientBehavior::PartialRequest => {
            (clients.send_partial_request(&query, place, &mut rng).await, false)
        }
        ClientBehavior::SlowWriter | ClientBehavior::Pipelines => {
            clients.ask_on_new_connection(&query, place).await
        }
        _ => (clients.send_and_disconnect(&query, place, &mut rng).await, false),
    };
    let mut requests = clients.cluster.requests.borrow_mut();
    (requests[place].end, requests[place].corrupted) = (end, corrupted);
}

impl Clients {
    fn note(&self, query: &QueryRequest, sent_at: Instant) -> usize {
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

    /// Its last byte was written now.
    fn sent_now(&self, place: usize) {
        self.cluster.requests.borrow_mut()[place].sent_at = Instant::now();
    }

    /// A kept connection that was not closed meanwhile.
    fn kept(&self) -> Option<BufReader<TcpStream>> {
        loop {
            let kept = self.kept.borrow_mut().pop()?;
            let read = kept.get_ref().try_read(&mut [0; 1]);
            if read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(kept);
            }
        }
    }

    async fn ask(&self, query: &QueryRequest, place: usize) -> (RequestEnd, bool) {
        if let Some(stream) = self.kept() {
            let (end, corrupted) = self.ask_on(stream, query, place, true).await;
            // Once more, on a new connection.
            if !matches!(end, RequestEnd::Interrupted { .. }) {
                return (end, corrupted);
            }
        }
        self.ask_on_new_connection(query, place).await
    }

    async fn ask_on_new_connection(&self, query: &QueryRequest, place: usize) -> (RequestEnd, bool) {
        match connect(self.address).await {
            Ok(stream) => self.ask_on(BufReader::new(stream), query, place, false).await,
            Err(_) => (RequestEnd::NotAccepted, false),
        }
    }

    async fn ask_on(
        &self,
        mut stream: BufReader<TcpStream>,
        query: &QueryRequest,
        place: usize,
        kept: bool,
    ) -> (RequestEnd, bool) {
        let cut = |kept| (RequestEnd::Interrupted { at: Instant::now(), kept }, false);
        if self.write_request(&mut stream, query).await.is_err() {
            return cut(kept);
        }
        self.sent_now(place);
        let answered = tokio::time::timeout(query.wait + PATIENCE, read_response(&mut stream)).await;
        match answered {
            Err(_) => (RequestEnd::NoResponse, false),
            Ok(None) => cut(kept),
            Ok(Some(answer)) => {
                let at = Instant::now();
                let corrupted = !query.is_answered_by(&answer);
                if answer.keep_alive && query.behavior == ClientBehavior::Plain {
                    self.kept.borrow_mut().push(stream);
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

    async fn send_and_disconnect(&self, query: &QueryRequest, place: usize, rng: &mut Pcg64) -> RequestEnd {
        let Ok(mut stream) = connect(self.address).await else { return RequestEnd::NotAccepted };
        let behind = "x".repeat(4000);
        let bytes = match query.behavior {
            ClientBehavior::DisconnectsAfterExtraBytes => query.request() + &behind,
            ClientBehavior::DisconnectsAfterExtraChunks => query.chunked() + &behind,
            _ => query.request(),
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return RequestEnd::Interrupted { at: Instant::now(), kept: false };
        }
        self.sent_now(place);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
        if rng.random_bool(0.4) {
            let _ = stream.set_zero_linger();
        }
        drop(stream);
        RequestEnd::Disconnected { at: Instant::now() }
    }

    async fn send_partial_request(&self, query: &QueryRequest, place: usize, rng: &mut Pcg64) -> RequestEnd {
        let Ok(mut stream) = connect(self.address).await else { return RequestEnd::NotAccepted };
        let request = query.request();
        let cut = rng.random_range(1..request.len() - 1);
        if stream.write_all(&request.as_bytes()[..cut]).await.is_err() {
            return RequestEnd::Interrupted { at: Instant::now(), kept: false };
        }
        self.sent_now(place);
        match tokio::time::timeout(Duration::from_secs(5), stream.read(&mut [0; 512])).await {
            Ok(_) => RequestEnd::Refused { at: Instant::now() },
            Err(_) => RequestEnd::NoResponse,
        }
    }
}

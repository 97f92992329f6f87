//! Stand-in clients: they send queries over persistent connections, read each answer completely and record its
//! outcome in the query log.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::query_log::{QueryLog, QueryOutcome};

/// How long after its deadline a client still accepts an answer.
const DEADLINE_SLACK: Duration = Duration::from_millis(300);

/// One query as a client sends it.
#[derive(Clone)]
pub struct QueryRequest {
    /// Query id; the text before the first `-` is the request class.
    pub id: String,
    /// Name of the request class in the node configuration.
    pub class: &'static str,
    /// Shards to query, with equal weights.
    pub shards: Vec<u32>,
    /// How long the client waits for an answer; sent as the deadline.
    pub wait: Duration,
    /// Query text for the replicas; `lasts=MS` sets the processing time of each part.
    pub text: String,
}

impl QueryRequest {
    /// Creates a `view` query for two shards with a deadline of 4 s.
    pub fn short(id: &str) -> QueryRequest {
        let wait = Duration::from_secs(4);
        QueryRequest {
            id: id.to_string(),
            class: "view",
            shards: vec![0, 1],
            wait,
            text: "short".to_string(),
        }
    }

    /// The complete HTTP request, head and body.
    pub fn request(&self) -> String {
        let weight = 1.0 / self.shards.len() as f64;
        let shards: Vec<Value> = self.shards.iter().map(|s| json!({"shard": s, "weight": weight})).collect();
        let body = json!({"shards": shards, "q": self.text}).to_string();
        format!(
            "POST /{} HTTP/1.1\r\nHost: x\r\nReq-Id: {}\r\nReq-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.class,
            self.id,
            self.wait.as_millis(),
            body.len()
        )
    }
}

/// An HTTP response.
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Complete body.
    pub body: String,
    /// Whether the connection can be reused.
    pub keep_alive: bool,
}

/// Reads one response; `None` if it is malformed or the connection ends before the response is complete.
pub async fn read_response(stream: &mut BufReader<TcpStream>) -> Option<HttpResponse> {
    let (mut status, mut length, mut keep_alive) = (0, 0, true);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim().to_lowercase();
        if let Some(rest) = line.strip_prefix("http/1.1 ") {
            status = rest.get(..3)?.parse().ok()?;
        } else if let Some(n) = line.strip_prefix("content-length: ") {
            length = n.parse().ok()?;
        } else if line == "connection: close" {
            keep_alive = false;
        } else if line.is_empty() && status > 0 {
            break;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(HttpResponse { status, body: String::from_utf8(body).ok()?, keep_alive })
}

fn outcome_of(response: &HttpResponse) -> QueryOutcome {
    match response.status {
        200 if response.body.starts_with("{\"complete\":true") => QueryOutcome::Complete,
        200 => QueryOutcome::Partial,
        503 => QueryOutcome::Rejected,
        500 => QueryOutcome::Aborted,
        other => QueryOutcome::UnexpectedStatus(other),
    }
}

/// Clients of one co-ordinator that share a pool of idle connections.
#[derive(Clone)]
pub struct Clients {
    address: SocketAddr,
    /// Log that records the queries.
    pub query_log: QueryLog,
    idle: Rc<RefCell<Vec<IdleConnection>>>,
    /// Number of connections that the co-ordinator closed, other than by a kill.
    pub closed: Rc<Cell<u64>>,
    /// Number of connections that were closed because the process was killed.
    pub closed_by_kill: Rc<Cell<u64>>,
    kill: Rc<Cell<Option<Instant>>>,
}

struct IdleConnection {
    opened: Instant,
    stream: BufReader<TcpStream>,
}

impl IdleConnection {
    /// Whether the peer has neither closed the connection nor sent unrequested bytes.
    fn is_open(&self) -> bool {
        let read = self.stream.get_ref().try_read(&mut [0; 1]);
        read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }
}

impl Clients {
    /// Creates clients of the co-ordinator at the address; no connection is opened.
    pub fn new(address: SocketAddr, query_log: QueryLog) -> Clients {
        let (idle, closed, closed_by_kill, kill) = Default::default();
        Clients { address, query_log, idle, closed, closed_by_kill, kill }
    }

    /// Returns clients that share these connections and record queries in another log.
    pub fn recording_in(&self, query_log: QueryLog) -> Clients {
        Clients { query_log, ..self.clone() }
    }

    /// Sends the query and waits for its answer. The connection goes back to the pool if it can be reused.
    pub async fn send(&self, query: QueryRequest) -> Option<HttpResponse> {
        let started = Instant::now();
        self.query_log.query_sent(&query.id, query.shards.len());
        let (response, outcome) =
            match tokio::time::timeout(query.wait + DEADLINE_SLACK, self.exchange(&query)).await {
                Ok(Ok(response)) => {
                    let outcome = outcome_of(&response);
                    (Some(response), outcome)
                }
                Ok(Err(outcome)) => (None, outcome),
                Err(_) => (None, QueryOutcome::Lost),
            };
        self.query_log.query_finished(&query.id, outcome, started.elapsed());
        response
    }

    /// Sends the query and disconnects after a delay without reading the answer.
    pub async fn send_and_disconnect(&self, query: QueryRequest, after: Duration) {
        if let Ok(mut stream) = connect(self.address).await {
            let _ = stream.write_all(query.request().as_bytes()).await;
            tokio::time::sleep(after).await;
        }
    }

    /// Opens idle connections, each of which has carried one query.
    pub async fn open_idle(&self, name: &str, count: usize) {
        let mut tasks = tokio::task::JoinSet::new();
        for n in 0..count {
            let clients = Clients { idle: Rc::default(), ..self.clone() };
            let id = format!("view-{name}-{n}");
            tasks.spawn_local(async move {
                clients.send(QueryRequest::short(&id)).await;
                clients.idle.take()
            });
        }
        while let Some(Ok(idle)) = tasks.join_next().await {
            // Inserted at the bottom of the stack, so that the connections in use are still reused first.
            self.idle.borrow_mut().splice(0..0, idle);
        }
    }

    /// Marks the start of a kill. Until `end_kill`, closed connections that were opened before this call are
    /// attributed to the kill.
    pub fn begin_kill(&self) {
        self.kill.set(Some(Instant::now()));
    }

    /// Marks the exit of the killed process: counts and drops the idle connections that it closed.
    pub fn end_kill(&self) {
        let (open, closed): (Vec<_>, Vec<_>) =
            self.idle.take().into_iter().partition(IdleConnection::is_open);
        closed.iter().for_each(|idle| self.count_closed(idle.opened));
        self.idle.replace(open);
        self.kill.set(None);
    }

    fn count_closed(&self, opened: Instant) {
        let counter = if self.kill.get().is_some_and(|kill| opened < kill) {
            &self.closed_by_kill
        } else {
            &self.closed
        };
        counter.set(counter.get() + 1);
    }

    /// Takes an idle connection that is still open, as real clients check before reuse.
    fn take_idle(&self) -> Option<IdleConnection> {
        loop {
            let idle = self.idle.borrow_mut().pop()?;
            if idle.is_open() {
                return Some(idle);
            }
            self.count_closed(idle.opened);
        }
    }

    async fn exchange(&self, query: &QueryRequest) -> Result<HttpResponse, QueryOutcome> {
        let mut idle = match self.take_idle() {
            Some(idle) => idle,
            None => {
                let stream = connect(self.address).await.map_err(|_| QueryOutcome::ConnectionRefused)?;
                IdleConnection { opened: Instant::now(), stream: BufReader::new(stream) }
            }
        };
        let stream = &mut idle.stream;
        stream.get_mut().write_all(query.request().as_bytes()).await.map_err(|_| QueryOutcome::Lost)?;
        let response = read_response(stream).await.ok_or(QueryOutcome::Lost)?;
        if response.keep_alive {
            self.idle.borrow_mut().push(idle);
        } else {
            // Announced by `Connection: close` in the answer, so no kill is the cause.
            self.closed.set(self.closed.get() + 1);
        }
        Ok(response)
    }
}

/// Connects with Nagle's algorithm off, so that small writes are not delayed.
///
/// # Errors
///
/// If the connection cannot be opened.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A connection that is not shared with other clients.
pub struct DedicatedConnection {
    stream: BufReader<TcpStream>,
    query_log: QueryLog,
}

impl DedicatedConnection {
    /// Opens the connection.
    ///
    /// # Errors
    ///
    /// If the connection cannot be opened.
    pub async fn connect(address: SocketAddr, query_log: QueryLog) -> std::io::Result<DedicatedConnection> {
        Ok(DedicatedConnection::on(connect(address).await?, query_log))
    }

    /// Wraps a stream that is already open.
    pub fn on(stream: TcpStream, query_log: QueryLog) -> DedicatedConnection {
        DedicatedConnection { stream: BufReader::new(stream), query_log }
    }

    /// Sends the query in pieces that end at the given byte offsets, with a pause after each piece.
    pub async fn send_in_pieces(&mut self, query: QueryRequest, cuts: &[(usize, Duration)]) -> QueryOutcome {
        self.query_log.query_sent(&query.id, query.shards.len());
        let request = query.request();
        let mut from = 0;
        let mut outcome = None;
        for &(cut, pause) in cuts {
            let cut = cut.clamp(from, request.len());
            if self.stream.get_mut().write_all(&request.as_bytes()[from..cut]).await.is_err() {
                outcome = Some(QueryOutcome::Lost);
            }
            from = cut;
            tokio::time::sleep(pause).await;
        }
        // The response time excludes the pauses that the client made itself.
        let started = Instant::now();
        if self.stream.get_mut().write_all(&request.as_bytes()[from..]).await.is_err() {
            outcome = Some(QueryOutcome::Lost);
        }
        let response =
            tokio::time::timeout(query.wait + DEADLINE_SLACK, read_response(&mut self.stream)).await;
        let outcome =
            outcome.unwrap_or_else(|| response.ok().flatten().map_or(QueryOutcome::Lost, |r| outcome_of(&r)));
        self.query_log.query_finished(&query.id, outcome, started.elapsed());
        outcome
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        matches!(self.stream.get_ref().try_read(&mut [0; 1]), Ok(0))
    }
}

/// Sends a GET request; `None` without a response within 3 s.
pub async fn get(address: SocketAddr, path: &str) -> Option<HttpResponse> {
    let request = async {
        let mut stream = BufReader::new(connect(address).await.ok()?);
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.get_mut().write_all(request.as_bytes()).await.ok()?;
        read_response(&mut stream).await
    };
    tokio::time::timeout(Duration::from_secs(3), request).await.ok().flatten()
}

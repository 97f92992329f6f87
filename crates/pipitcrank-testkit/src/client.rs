//! Stand-in clients: queries over connections that are kept, each answer read whole and entered in the query log.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::query_log::{QueryLog, QueryOutcome};

/// A final answer counts for so long after the client's time.
const SLACK: Duration = Duration::from_millis(300);

/// One query as a client sends it.
#[derive(Clone)]
pub struct QueryRequest {
    /// Its id; the part before the first `-` is the request class.
    pub id: String,
    /// Request class, as the node configuration names it.
    pub class: &'static str,
    /// Shards to be queried, with equal weights.
    pub shards: Vec<u32>,
    /// How long the client waits, stated as the deadline.
    pub wait: Duration,
    /// Text that the replicas get; `lasts=MS` sets the work time of a part.
    pub text: String,
}

impl QueryRequest {
    /// A query that is answered soon.
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

    /// The whole HTTP request.
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
    /// The whole body.
    pub body: String,
    /// The connection can be used again.
    pub keep_alive: bool,
}

/// Reads one answer; none where the connection ends before it is whole.
pub async fn read_response(from: &mut BufReader<TcpStream>) -> Option<HttpResponse> {
    let (mut status, mut length, mut keep_alive) = (0, 0, true);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim().to_lowercase();
        if let Some(open_idle) = line.strip_prefix("http/1.1 ") {
            status = open_idle.get(..3)?.parse().ok()?;
        } else if let Some(n) = line.strip_prefix("content-length: ") {
            length = n.parse().ok()?;
        } else if line == "connection: close" {
            keep_alive = false;
        } else if line.is_empty() && status > 0 {
            break;
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await.ok()?;
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

/// Clients that share idle connections.
#[derive(Clone)]
pub struct Clients {
    address: SocketAddr,
    /// Where queries are recorded.
    pub query_log: QueryLog,
    idle: Rc<RefCell<Vec<IdleConnection>>>,
    /// Idle connections that the coordinator closed.
    pub closed: Rc<Cell<u64>>,
    /// Idle connections that a kill closed.
    pub closed_by_kill: Rc<Cell<u64>>,
    kill: Rc<Cell<Option<Instant>>>,
}

struct IdleConnection {
    opened: Instant,
    stream: BufReader<TcpStream>,
}

impl IdleConnection {
    /// Whether the other side has neither closed it nor written to it.
    fn is_open(&self) -> bool {
        let read = self.stream.get_ref().try_read(&mut [0; 1]);
        read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }
}

impl Clients {
    /// Clients of the coordinator at that address, without a connection yet.
    pub fn new(address: SocketAddr, query_log: QueryLog) -> Clients {
        let (idle, closed, closed_by_kill, kill) = Default::default();
        Clients { address, query_log, idle, closed, closed_by_kill, kill }
    }

    /// The same connections, with the queries recorded in another log.
    pub fn recording_in(&self, query_log: QueryLog) -> Clients {
        Clients { query_log, ..self.clone() }
    }

    /// Sends the query, waits for the answer, and keeps the connection where it can be used again.
    pub async fn send(&self, query: QueryRequest) -> Option<HttpResponse> {
        let begun = Instant::now();
        self.query_log.query_sent(&query.id, query.shards.len());
        let (response, outcome) = match tokio::time::timeout(query.wait + SLACK, self.exchange(&query)).await
        {
            Ok(Ok(response)) => {
                let outcome = outcome_of(&response);
                (Some(response), outcome)
            }
            Ok(Err(outcome)) => (None, outcome),
            Err(_) => (None, QueryOutcome::Lost),
        };
        self.query_log.query_finished(&query.id, outcome, begun.elapsed());
        response
    }

    /// Sends the query, and disconnects after a while without having read anything.
    pub async fn send_and_disconnect(&self, query: QueryRequest, after: Duration) {
        if let Ok(mut stream) = connect(self.address).await {
            let _ = stream.write_all(query.request().as_bytes()).await;
            tokio::time::sleep(after).await;
        }
    }

    /// Opens that many idle connections, each of which has sent one query.
    pub async fn open_idle(&self, name: &str, many: usize) {
        let mut asking = tokio::task::JoinSet::new();
        for n in 0..many {
            let clients = Clients { idle: Rc::default(), ..self.clone() };
            let id = format!("view-{name}-{n}");
            asking.spawn_local(async move {
                clients.send(QueryRequest::short(&id)).await;
                clients.idle.take()
            });
        }
        while let Some(Ok(idle)) = asking.join_next().await {
            // Taken last: those in use stay on top.
            self.idle.borrow_mut().splice(0..0, idle);
        }
    }

    /// From now on a process is killed: what closes of the connections opened before it is the kill's, until
    /// `end_kill`.
    pub fn begin_kill(&self) {
        self.kill.set(Some(Instant::now()));
    }

    /// The killed process has exited: idle connections that it held are closed now, and are dropped.
    pub fn end_kill(&self) {
        let (open, closed): (Vec<_>, Vec<_>) =
            self.idle.take().into_iter().partition(IdleConnection::is_open);
        closed.iter().for_each(|idle| self.was_closed(idle.opened));
        self.idle.replace(open);
        self.kill.set(None);
    }

    fn was_closed(&self, opened: Instant) {
        let counter = if self.kill.get().is_some_and(|kill| opened < kill) {
            &self.closed_by_kill
        } else {
            &self.closed
        };
        counter.set(counter.get() + 1);
    }

    /// A kept connection that was not closed meanwhile, as clients look before they use one again.
    fn take_idle(&self) -> Option<IdleConnection> {
        loop {
            let idle = self.idle.borrow_mut().pop()?;
            if idle.is_open() {
                return Some(idle);
            }
            self.was_closed(idle.opened);
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
            // In order, with an answer: no kill's.
            self.closed.set(self.closed.get() + 1);
        }
        Ok(response)
    }
}

/// Connects without delaying small writes.
///
/// # Errors
///
/// That the connection can't be opened.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A connection that one client holds for itself.
pub struct DedicatedConnection {
    stream: BufReader<TcpStream>,
    query_log: QueryLog,
}

impl DedicatedConnection {
    /// Opens the connection.
    ///
    /// # Errors
    ///
    /// That it can't be opened.
    pub async fn connect(address: SocketAddr, query_log: QueryLog) -> std::io::Result<DedicatedConnection> {
        Ok(DedicatedConnection::on(connect(address).await?, query_log))
    }

    /// The same on a stream that is open.
    pub fn on(stream: TcpStream, query_log: QueryLog) -> DedicatedConnection {
        DedicatedConnection { stream: BufReader::new(stream), query_log }
    }

    /// Sends the query in pieces, cut at these bytes, with a pause after each.
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
        // The client's own pauses do not count.
        let begun = Instant::now();
        if self.stream.get_mut().write_all(&request.as_bytes()[from..]).await.is_err() {
            outcome = Some(QueryOutcome::Lost);
        }
        let answered = tokio::time::timeout(query.wait + SLACK, read_response(&mut self.stream)).await;
        let outcome =
            outcome.unwrap_or_else(|| answered.ok().flatten().map_or(QueryOutcome::Lost, |a| outcome_of(&a)));
        self.query_log.query_finished(&query.id, outcome, begun.elapsed());
        outcome
    }

    /// Whether the other side has closed it.
    pub fn is_closed(&self) -> bool {
        matches!(self.stream.get_ref().try_read(&mut [0; 1]), Ok(0))
    }
}

/// A plain GET; none where it is not answered in time.
pub async fn get(address: SocketAddr, path: &str) -> Option<HttpResponse> {
    let request = async {
        let mut stream = BufReader::new(connect(address).await.ok()?);
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.get_mut().write_all(request.as_bytes()).await.ok()?;
        read_response(&mut stream).await
    };
    tokio::time::timeout(Duration::from_secs(3), request).await.ok().flatten()
}

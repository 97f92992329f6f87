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

/// What a client asks.
#[derive(Clone)]
pub struct QueryRequest {
    pub id: String,
    pub class: &'static str,
    pub shards: Vec<u32>,
    pub wait: Duration,
    pub text: String,
}

impl QueryRequest {
    /// One that is answered soon.
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

/// One answer: its status, body, and whether the connection goes on.
pub struct HttpResponse {
    pub status: u16,
    pub body: String,
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
    from.read_exact(&mut body).await.ok()?;
    Some(HttpResponse { status, body: String::from_utf8(body).ok()?, keep_alive })
}

fn ended(answer: &HttpResponse) -> QueryOutcome {
    match answer.status {
        200 if answer.body.starts_with("{\"complete\":true") => QueryOutcome::Complete,
        200 => QueryOutcome::Partial,
        503 => QueryOutcome::Rejected,
        500 => QueryOutcome::Aborted,
        other => QueryOutcome::UnexpectedStatus(other),
    }
}

/// Clients that share kept connections.
#[derive(Clone)]
pub struct Clients {
    address: SocketAddr,
    pub query_log: QueryLog,
    kept: Rc<RefCell<Vec<Kept>>>,
    /// Kept connections that were closed on them.
    pub closed: Rc<Cell<u64>>,
    /// Those of them that a kill closed, and the kill that is being looked at.
    pub closed_by_kill: Rc<Cell<u64>>,
    kill: Rc<Cell<Option<Instant>>>,
}

struct Kept {
    opened: Instant,
    stream: BufReader<TcpStream>,
}

impl Kept {
    /// Whether the other side has left it as it was.
    fn is_open(&self) -> bool {
        let read = self.stream.get_ref().try_read(&mut [0; 1]);
        read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }
}

impl Clients {
    pub fn new(address: SocketAddr, query_log: QueryLog) -> Clients {
        let (kept, closed, closed_by_kill, kill) = Default::default();
        Clients { address, query_log, kept, closed, closed_by_kill, kill }
    }

    /// The same connections, with the queries entered elsewhere.
    pub fn entered_in(&self, query_log: QueryLog) -> Clients {
        Clients { query_log, ..self.clone() }
    }

    /// Asks, waits for the answer, and keeps the connection where it goes on.
    pub async fn ask(&self, query: QueryRequest) -> Option<HttpResponse> {
        let begun = Instant::now();
        self.query_log.query_sent(&query.id, query.shards.len());
        let (answer, how) = match tokio::time::timeout(query.wait + SLACK, self.exchange(&query)).await {
            Ok(Ok(answer)) => {
                let how = ended(&answer);
                (Some(answer), how)
            }
            Ok(Err(how)) => (None, how),
            Err(_) => (None, QueryOutcome::Lost),
        };
        self.query_log.query_finished(&query.id, how, begun.elapsed());
        answer
    }

    /// Asks, and replicas after a while without having read anything.
    pub async fn ask_and_disconnect(&self, query: QueryRequest, after: Duration) {
        if let Ok(mut stream) = connect(self.address).await {
            let _ = stream.write_all(query.request().as_bytes()).await;
            tokio::time::sleep(after).await;
        }
    }

    /// So many connections that rest from now on, each asked on once.
    pub async fn rest(&self, name: &str, many: usize) {
        let mut asking = tokio::task::JoinSet::new();
        for n in 0..many {
            let clients = Clients { kept: Rc::default(), ..self.clone() };
            let id = format!("view-{name}-{n}");
            asking.spawn_local(async move {
                clients.ask(QueryRequest::short(&id)).await;
                clients.kept.take()
            });
        }
        while let Some(Ok(kept)) = asking.join_next().await {
            // Taken last: those in use stay on top.
            self.kept.borrow_mut().splice(0..0, kept);
        }
    }

    /// From now on a process is killed: what closes of the connections opened before it is the kill's, until
    /// `kill_is_over`.
    pub fn kill_begins(&self) {
        self.kill.set(Some(Instant::now()));
    }

    /// The killed process is gone: what it held rests closed now, and goes.
    pub fn kill_is_over(&self) {
        let (open, closed): (Vec<_>, Vec<_>) = self.kept.take().into_iter().partition(Kept::is_open);
        closed.iter().for_each(|kept| self.was_closed(kept.opened));
        self.kept.replace(open);
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
    fn kept_open(&self) -> Option<Kept> {
        loop {
            let kept = self.kept.borrow_mut().pop()?;
            if kept.is_open() {
                return Some(kept);
            }
            self.was_closed(kept.opened);
        }
    }

    async fn exchange(&self, query: &QueryRequest) -> Result<HttpResponse, QueryOutcome> {
        let mut kept = match self.kept_open() {
            Some(kept) => kept,
            None => {
                let stream = connect(self.address).await.map_err(|_| QueryOutcome::ConnectionRefused)?;
                Kept { opened: Instant::now(), stream: BufReader::new(stream) }
            }
        };
        let stream = &mut kept.stream;
        stream.get_mut().write_all(query.request().as_bytes()).await.map_err(|_| QueryOutcome::Lost)?;
        let answer = read_response(stream).await.ok_or(QueryOutcome::Lost)?;
        if answer.keep_alive {
            self.kept.borrow_mut().push(kept);
        } else {
            // In order, with an answer: no kill's.
            self.closed.set(self.closed.get() + 1);
        }
        Ok(answer)
    }
}

pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A connection that a client holds for itself, to write to it as it likes.
pub struct DedicatedConnection {
    stream: BufReader<TcpStream>,
    query_log: QueryLog,
}

impl DedicatedConnection {
    pub async fn connect(address: SocketAddr, query_log: QueryLog) -> std::io::Result<DedicatedConnection> {
        Ok(DedicatedConnection::on(connect(address).await?, query_log))
    }

    pub fn on(stream: TcpStream, query_log: QueryLog) -> DedicatedConnection {
        DedicatedConnection { stream: BufReader::new(stream), query_log }
    }

    /// Asks in pieces, cut at these bytes, waiting as told before each but the first.
    pub async fn ask_in_pieces(&mut self, query: QueryRequest, cuts: &[(usize, Duration)]) -> QueryOutcome {
        self.query_log.query_sent(&query.id, query.shards.len());
        let request = query.request();
        let mut from = 0;
        let mut how = None;
        for &(cut, pause) in cuts {
            let cut = cut.clamp(from, request.len());
            if self.stream.get_mut().write_all(&request.as_bytes()[from..cut]).await.is_err() {
                how = Some(QueryOutcome::Lost);
            }
            from = cut;
            tokio::time::sleep(pause).await;
        }
        // What the client itself waited is not ours.
        let begun = Instant::now();
        if self.stream.get_mut().write_all(&request.as_bytes()[from..]).await.is_err() {
            how = Some(QueryOutcome::Lost);
        }
        let answered = tokio::time::timeout(query.wait + SLACK, read_response(&mut self.stream)).await;
        let how = how.unwrap_or_else(|| answered.ok().flatten().map_or(QueryOutcome::Lost, |a| ended(&a)));
        self.query_log.query_finished(&query.id, how, begun.elapsed());
        how
    }

    /// Whether the other side has closed it.
    pub fn is_closed(&self) -> bool {
        matches!(self.stream.get_ref().try_read(&mut [0; 1]), Ok(0))
    }
}

/// A plain GET; none where it is not answered in time.
pub async fn get(address: SocketAddr, path: &str) -> Option<HttpResponse> {
    let asked = async {
        let mut stream = BufReader::new(connect(address).await.ok()?);
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.get_mut().write_all(request.as_bytes()).await.ok()?;
        read_response(&mut stream).await
    };
    tokio::time::timeout(Duration::from_secs(3), asked).await.ok().flatten()
}

//! Stand-in clients: queries over connections that are kept, each answer read whole and entered in the ledger.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::ledger::{Ended, Ledger};

/// A final answer counts for so long after the client's time.
const SLACK: Duration = Duration::from_millis(300);

/// What a client asks.
#[derive(Clone)]
pub struct Question {
    pub id: String,
    pub vertical: &'static str,
    pub shards: Vec<u32>,
    pub wait: Duration,
    pub text: String,
}

impl Question {
    pub fn request(&self) -> String {
        let weight = 1.0 / self.shards.len() as f64;
        let shards: Vec<Value> = self.shards.iter().map(|s| json!({"shard": s, "weight": weight})).collect();
        let body = json!({"shards": shards, "q": self.text}).to_string();
        format!(
            "POST /{} HTTP/1.1\r\nHost: x\r\nReq-Id: {}\r\nReq-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.vertical,
            self.id,
            self.wait.as_millis(),
            body.len()
        )
    }
}

/// One answer: its status, body, and whether the connection goes on.
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub keeps: bool,
}

/// Reads one answer; none where the connection ends before it is whole.
pub async fn read_answer(from: &mut BufReader<TcpStream>) -> Option<Answer> {
    let (mut status, mut length, mut keeps) = (0, 0, true);
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
            keeps = false;
        } else if line.is_empty() && status > 0 {
            break;
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await.ok()?;
    Some(Answer { status, body: String::from_utf8(body).ok()?, keeps })
}

fn ended(answer: &Answer) -> Ended {
    match answer.status {
        200 if answer.body.starts_with("{\"complete\":true") => Ended::Merged,
        200 => Ended::MergedInPart,
        503 => Ended::Rejected,
        500 => Ended::Aborted,
        other => Ended::Odd(other),
    }
}

/// Clients that share kept connections.
#[derive(Clone)]
pub struct Clients {
    address: SocketAddr,
    pub ledger: Ledger,
    kept: Rc<RefCell<Vec<BufReader<TcpStream>>>>,
    /// Kept connections that were closed on them.
    pub closed: Rc<Cell<u64>>,
}

impl Clients {
    pub fn new(address: SocketAddr, ledger: Ledger) -> Clients {
        Clients { address, ledger, kept: Rc::default(), closed: Rc::default() }
    }

    /// The same connections, with the queries entered elsewhere.
    pub fn entered_in(&self, ledger: Ledger) -> Clients {
        Clients { ledger, ..self.clone() }
    }

    /// Asks, waits for the answer, and keeps the connection where it goes on.
    pub async fn ask(&self, question: Question) -> Option<Answer> {
        let begun = Instant::now();
        self.ledger.asked(&question.id, question.shards.len());
        let (answer, how) = match tokio::time::timeout(question.wait + SLACK, self.exchange(&question)).await
        {
            Ok(Ok(answer)) => {
                let how = ended(&answer);
                (Some(answer), how)
            }
            Ok(Err(how)) => (None, how),
            Err(_) => (None, Ended::Lost),
        };
        self.ledger.ended(&question.id, how, begun.elapsed());
        answer
    }

    /// Asks, and leaves after a while without having read anything.
    pub async fn ask_and_leave(&self, question: Question, after: Duration) {
        if let Ok(mut stream) = connect(self.address).await {
            let _ = stream.write_all(question.request().as_bytes()).await;
            tokio::time::sleep(after).await;
        }
    }

    /// A kept connection that was not closed meanwhile, as clients look before they use one again.
    fn kept_open(&self) -> Option<BufReader<TcpStream>> {
        loop {
            let stream = self.kept.borrow_mut().pop()?;
            match stream.get_ref().try_read(&mut [0; 1]) {
                Err(nothing) if nothing.kind() == std::io::ErrorKind::WouldBlock => return Some(stream),
                _ => self.closed.set(self.closed.get() + 1),
            }
        }
    }

    async fn exchange(&self, question: &Question) -> Result<Answer, Ended> {
        let mut stream = match self.kept_open() {
            Some(stream) => stream,
            None => BufReader::new(connect(self.address).await.map_err(|_| Ended::Refused)?),
        };
        stream.get_mut().write_all(question.request().as_bytes()).await.map_err(|_| Ended::Lost)?;
        let answer = read_answer(&mut stream).await.ok_or(Ended::Lost)?;
        if answer.keeps {
            self.kept.borrow_mut().push(stream);
        } else {
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
pub struct Lone {
    stream: BufReader<TcpStream>,
    ledger: Ledger,
}

impl Lone {
    pub async fn connect(address: SocketAddr, ledger: Ledger) -> std::io::Result<Lone> {
        Ok(Lone::on(connect(address).await?, ledger))
    }

    pub fn on(stream: TcpStream, ledger: Ledger) -> Lone {
        Lone { stream: BufReader::new(stream), ledger }
    }

    /// Asks in pieces, cut at these bytes, waiting as told before each but the first.
    pub async fn ask_in_pieces(&mut self, question: Question, cuts: &[(usize, Duration)]) -> Ended {
        self.ledger.asked(&question.id, question.shards.len());
        let request = question.request();
        let mut from = 0;
        let mut how = None;
        for &(cut, pause) in cuts {
            let cut = cut.clamp(from, request.len());
            if self.stream.get_mut().write_all(&request.as_bytes()[from..cut]).await.is_err() {
                how = Some(Ended::Lost);
            }
            from = cut;
            tokio::time::sleep(pause).await;
        }
        // What the client itself waited is not ours.
        let begun = Instant::now();
        if self.stream.get_mut().write_all(&request.as_bytes()[from..]).await.is_err() {
            how = Some(Ended::Lost);
        }
        let answered = tokio::time::timeout(question.wait + SLACK, read_answer(&mut self.stream)).await;
        let how = how.unwrap_or_else(|| answered.ok().flatten().map_or(Ended::Lost, |a| ended(&a)));
        self.ledger.ended(&question.id, how, begun.elapsed());
        how
    }

    /// Whether the other side has closed it.
    pub fn is_closed(&self) -> bool {
        matches!(self.stream.get_ref().try_read(&mut [0; 1]), Ok(0))
    }
}

/// A plain GET; none where it is not answered in time.
pub async fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    let asked = async {
        let mut stream = BufReader::new(connect(address).await.ok()?);
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.get_mut().write_all(request.as_bytes()).await.ok()?;
        read_answer(&mut stream).await
    };
    tokio::time::timeout(Duration::from_secs(3), asked).await.ok().flatten()
}

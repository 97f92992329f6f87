//! Clients of a soak test: most are plain, some leave early, stop half way, write slowly, send more than they should. Each
//! request and its end are noted as its client saw them.

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

use super::scene::{SHARDS, Scene};
use crate::client::{Answer, connect, read_answer};

/// A client waits so long beyond its time for an answer that came late.
const PATIENCE: Duration = Duration::from_millis(1500);

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Plain,
    /// Closes, or resets, before its answer.
    Replicas,
    /// The same with bytes behind its request.
    LeavesBehindBytes,
    /// The same behind a chunked body.
    LeavesBehindChunks,
    /// Stops half way and stays.
    Half,
    /// Writes in pieces.
    Slow,
    /// Sends several requests at once.
    Pipelines,
    /// Has very little time.
    Hurried,
}

/// How it ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Open,
    Answered {
        status: u16,
        at: Instant,
    },
    /// The client closed.
    Left {
        at: Instant,
    },
    /// Nobody listened, or a kept connection was found closed and the request went nowhere else.
    NotTaken,
    /// A connection ended without an answer.
    Cut {
        at: Instant,
        kept: bool,
    },
    /// Nothing came.
    Silence,
    /// Half a request: answered or closed.
    Refused {
        at: Instant,
    },
}

pub struct Request {
    pub id: String,
    pub node: usize,
    pub manner: Manner,
    /// When its last byte was written.
    pub asked: Instant,
    pub wait: Duration,
    pub end: End,
    /// The answer was not what the replicas gave.
    pub spoilt: bool,
}

pub struct Load {
    going: Rc<Cell<bool>>,
    task: tokio::task::JoinHandle<()>,
}

struct Clients {
    scene: Rc<Scene>,
    node: usize,
    address: SocketAddr,
    kept: RefCell<Vec<BufReader<TcpStream>>>,
}

impl Load {
    pub fn start(scene: Rc<Scene>, node: usize, seed: u64, rate: f64) -> Load {
        let going = Rc::new(Cell::new(true));
        let on = going.clone();
        let task = tokio::task::spawn_local(async move {
            let mut chance = Pcg64::seed_from_u64(seed ^ (node as u64 + 1) << 40);
            let address = scene.nodes[node].address;
            let clients = Rc::new(Clients { scene, node, address, kept: RefCell::default() });
            let (start, mut due, mut n) = (Instant::now(), 0.0, 0);
            let mut tasks = tokio::task::JoinSet::new();
            while on.get() {
                due += -(1.0 - chance.random::<f64>()).ln() / rate;
                n += 1;
                let asking = ask(clients.clone(), n, chance.random());
                tokio::time::sleep_until((start + Duration::from_secs_f64(due)).into()).await;
                tasks.spawn_local(asking);
                while tasks.try_join_next().is_some() {}
            }
            while tasks.join_next().await.is_some() {}
        });
        Load { going, task }
    }

    /// Asks no more and waits for what is open.
    pub async fn stop(self) -> Result<()> {
        self.going.set(false);
        Ok(self.task.await?)
    }
}

struct Question {
    id: String,
    wait: Duration,
    shards: Vec<u32>,
    manner: Manner,
}

fn question(node: usize, n: u64, chance: &mut Pcg64) -> Question {
    let kind: f64 = chance.random();
    let (class, count) = match kind {
        k if k < 0.45 => ("view", chance.random_range(2..=5)),
        k if k < 0.65 => ("rank", chance.random_range(4..=8)),
        k if k < 0.85 => ("sale", 1),
        _ => ("pay", chance.random_range(1..=2)),
    };
    let first = chance.random_range(0..SHARDS);
    let shards = (0..count).map(|i| (first + i) % SHARDS).collect();
    let manner = match chance.random_range(0..100) {
        0..66 => Manner::Plain,
        66..76 => Manner::Replicas,
        76..80 => Manner::LeavesBehindBytes,
        80..84 => Manner::LeavesBehindChunks,
        84..88 => Manner::Half,
        88..92 => Manner::Slow,
        92..95 => Manner::Pipelines,
        _ => Manner::Hurried,
    };
    let wait = match manner {
        Manner::Hurried => Duration::from_millis(chance.random_range(0..40)),
        _ => Duration::from_millis(chance.random_range(600..2000)),
    };
    Question { id: format!("{class}-{node}-{n}"), wait, shards, manner }
}

impl Question {
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
    fn is_answered_by(&self, answer: &Answer) -> bool {
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
    let mut chance = Pcg64::seed_from_u64(seed);
    let question = question(clients.node, n, &mut chance);
    let place = clients.note(&question, Instant::now());
    let (end, spoilt) = match question.manner {
        Manner::Plain | Manner::Hurried => clients.asks(&question, place).await,
        Manner::Half => (clients.asks_half(&question, place, &mut chance).await, false),
        Manner::Slow | Manner::Pipelines => clients.asks_new(&question, place).await,
        _ => (clients.asks_and_leaves(&question, place, &mut chance).await, false),
    };
    let mut requests = clients.scene.requests.borrow_mut();
    (requests[place].end, requests[place].spoilt) = (end, spoilt);
}

impl Clients {
    fn note(&self, question: &Question, asked: Instant) -> usize {
        let mut requests = self.scene.requests.borrow_mut();
        requests.push(Request {
            id: question.id.clone(),
            node: self.node,
            manner: question.manner,
            asked,
            wait: question.wait,
            end: End::Open,
            spoilt: false,
        });
        requests.len() - 1
    }

    /// Its last byte was written now.
    fn asked_now(&self, place: usize) {
        self.scene.requests.borrow_mut()[place].asked = Instant::now();
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

    async fn asks(&self, question: &Question, place: usize) -> (End, bool) {
        if let Some(stream) = self.kept() {
            let (end, spoilt) = self.asks_on(stream, question, place, true).await;
            // Once more, on a new connection.
            if !matches!(end, End::Cut { .. }) {
                return (end, spoilt);
            }
        }
        self.asks_new(question, place).await
    }

    async fn asks_new(&self, question: &Question, place: usize) -> (End, bool) {
        match connect(self.address).await {
            Ok(stream) => self.asks_on(BufReader::new(stream), question, place, false).await,
            Err(_) => (End::NotTaken, false),
        }
    }

    async fn asks_on(
        &self,
        mut stream: BufReader<TcpStream>,
        question: &Question,
        place: usize,
        kept: bool,
    ) -> (End, bool) {
        let cut = |kept| (End::Cut { at: Instant::now(), kept }, false);
        if self.writes(&mut stream, question).await.is_err() {
            return cut(kept);
        }
        self.asked_now(place);
        let answered = tokio::time::timeout(question.wait + PATIENCE, read_answer(&mut stream)).await;
        match answered {
            Err(_) => (End::Silence, false),
            Ok(None) => cut(kept),
            Ok(Some(answer)) => {
                let at = Instant::now();
                let spoilt = !question.is_answered_by(&answer);
                if answer.keeps && question.manner == Manner::Plain {
                    self.kept.borrow_mut().push(stream);
                }
                (End::Answered { status: answer.status, at }, spoilt)
            }
        }
    }

    async fn writes(&self, stream: &mut BufReader<TcpStream>, question: &Question) -> std::io::Result<()> {
        let mut request = question.request();
        match question.manner {
            Manner::Slow => {
                for piece in request.as_bytes().chunks(60) {
                    stream.get_mut().write_all(piece).await?;
                    tokio::time::sleep(Duration::from_millis(25)).await;
                }
                return Ok(());
            }
            Manner::Pipelines => {
                for n in 0..3 {
                    let id = format!("{}p{n}", question.id);
                    let next = Question { id, shards: question.shards.clone(), ..*question };
                    request += &next.request();
                }
            }
            _ => {}
        }
        stream.get_mut().write_all(request.as_bytes()).await
    }

    async fn asks_and_leaves(&self, question: &Question, place: usize, chance: &mut Pcg64) -> End {
        let Ok(mut stream) = connect(self.address).await else { return End::NotTaken };
        let behind = "x".repeat(4000);
        let bytes = match question.manner {
            Manner::LeavesBehindBytes => question.request() + &behind,
            Manner::LeavesBehindChunks => question.chunked() + &behind,
            _ => question.request(),
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return End::Cut { at: Instant::now(), kept: false };
        }
        self.asked_now(place);
        tokio::time::sleep(Duration::from_millis(chance.random_range(0..400))).await;
        if chance.random_bool(0.4) {
            let _ = stream.set_zero_linger();
        }
        drop(stream);
        End::Left { at: Instant::now() }
    }

    async fn asks_half(&self, question: &Question, place: usize, chance: &mut Pcg64) -> End {
        let Ok(mut stream) = connect(self.address).await else { return End::NotTaken };
        let request = question.request();
        let cut = chance.random_range(1..request.len() - 1);
        if stream.write_all(&request.as_bytes()[..cut]).await.is_err() {
            return End::Cut { at: Instant::now(), kept: false };
        }
        self.asked_now(place);
        match tokio::time::timeout(Duration::from_secs(5), stream.read(&mut [0; 512])).await {
            Ok(_) => End::Refused { at: Instant::now() },
            Err(_) => End::Silence,
        }
    }
}

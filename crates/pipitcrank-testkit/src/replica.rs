//! A stand-in replica. A frame is a length of four bytes, a letter for its type and the payload. The replica
//! processes a limited number of parts concurrently and queues the others; it answers `busy` while the queue is full.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, Semaphore};

use crate::query_log::{Arrival, QueryLog};

/// Longest queue of parts.
const MAX_QUEUE: usize = 200;
/// Longest frame accepted from a co-ordinator, in bytes.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Behaviour of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicaBehavior {
    /// Answers each part.
    Normal,
    /// Multiplies the processing time by the factor.
    Slow(f64),
    /// Processes each part and sends no answer.
    Silent,
    /// Answers each part with an error.
    Fails,
    /// Rejects each part as busy.
    Busy,
    /// Closes the connection when a call arrives, without running its parts.
    Resets,
    /// Processes each part and answers with a frame of an unknown type.
    Malformed,
    /// Processes each part and sends only the first half of the answer.
    Truncates,
}

/// Processing time and concurrency. A part takes 0.5 to 1.5 times the mean at random, unless the query text sets the
/// time.
#[derive(Clone, Copy)]
pub struct Work {
    /// Mean processing time of a part.
    pub mean_time: Duration,
    /// Number of parts processed concurrently.
    pub concurrency: usize,
}

/// Limit on the parts that a replica in slow start may be sent in any window: `overload_factor` times its capacity in
/// that window. The capacity rises linearly from `initial_fraction` of the full one to the full one.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimit {
    /// Factor on the replica's capacity.
    pub overload_factor: f64,
    /// Fraction of its full capacity that the replica has at the start.
    pub initial_fraction: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Highest numbers of parts and of new connections that arrived at one replica within one sliding window.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakArrivals {
    /// Highest number of parts.
    pub parts: usize,
    /// Highest number of new connections.
    pub connections: usize,
}

/// A stand-in replica with its own listen address.
pub struct StandInReplica {
    /// Listen address.
    pub address: SocketAddr,
    shared: Rc<Shared>,
    accepting: tokio::task::JoinHandle<()>,
}

struct Shared {
    address: SocketAddr,
    behavior: Cell<ReplicaBehavior>,
    work: Work,
    slots: Semaphore,
    waiting: Cell<usize>,
    query_log: QueryLog,
    rng: RefCell<Pcg64>,
    killed: Notify,
    connections: Cell<usize>,
    most_connections: Cell<usize>,
    /// Start and length of the latest slow start.
    slow_start: RefCell<Option<(Instant, Duration)>>,
    /// Arrival times of parts during the latest slow start, since its beginning.
    slow_start_arrivals: RefCell<Vec<Duration>>,
    /// Arrival times during each earlier slow start.
    earlier_slow_starts: RefCell<Vec<Vec<Duration>>>,
    /// When the replica was started; `part_arrivals` and `connection_arrivals` count from then.
    start: Instant,
    part_arrivals: RefCell<Vec<Duration>>,
    connection_arrivals: RefCell<Vec<Duration>>,
}

impl StandInReplica {
    /// Starts a replica that records the parts it runs in the log.
    ///
    /// # Errors
    ///
    /// If the listener cannot be opened.
    pub async fn start(seed: u64, work: Work, query_log: QueryLog) -> Result<StandInReplica> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            address,
            behavior: Cell::new(ReplicaBehavior::Normal),
            work,
            slots: Semaphore::new(work.concurrency),
            waiting: Cell::new(0),
            query_log,
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
            killed: Notify::new(),
            connections: Cell::new(0),
            most_connections: Cell::new(0),
            slow_start: RefCell::new(None),
            slow_start_arrivals: RefCell::default(),
            earlier_slow_starts: RefCell::default(),
            start: Instant::now(),
            part_arrivals: RefCell::default(),
            connection_arrivals: RefCell::default(),
        });
        let listener_shared = shared.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = listener_shared.clone();
                tokio::task::spawn_local(async move {
                    shared.connection_arrivals.borrow_mut().push(shared.start.elapsed());
                    shared.connections.set(shared.connections.get() + 1);
                    shared.most_connections.set(shared.most_connections.get().max(shared.connections.get()));
                    tokio::select! {
                        _ = serve_connection(&shared, stream) => {}
                        () = shared.killed.notified() => {}
                    }
                    shared.connections.set(shared.connections.get() - 1);
                });
            }
        });
        Ok(StandInReplica { address, shared, accepting })
    }

    /// Sets the behaviour from now on.
    pub fn set_behavior(&self, behavior: ReplicaBehavior) {
        self.shared.behavior.set(behavior);
    }

    /// Closes the listener and all connections permanently.
    pub fn kill(&self) {
        self.accepting.abort();
        self.shared.killed.notify_waiters();
    }

    /// Begins a slow start of the given length.
    pub fn begin_slow_start(&self, slow_start: Duration) {
        let arrivals = std::mem::take(&mut *self.shared.slow_start_arrivals.borrow_mut());
        self.shared.earlier_slow_starts.borrow_mut().push(arrivals);
        *self.shared.slow_start.borrow_mut() = Some((Instant::now(), slow_start));
    }

    /// Largest excess of parts over the slow-start limit in any window, summed over all slow starts.
    pub fn parts_over_slow_start(&self, limit: SlowStartLimit) -> u64 {
        let SlowStartLimit { overload_factor, initial_fraction, window } = limit;
        let Some((_, slow_start)) = *self.shared.slow_start.borrow() else { return 0 };
        let full_rate = self.shared.work.concurrency as f64 / self.shared.work.mean_time.as_secs_f64();
        let excess = |arrivals: &Vec<Duration>| {
            let each = arrivals.iter().enumerate().map(|(n, &at)| {
                let first = arrivals.partition_point(|t| *t + window < at);
                let warmth = initial_fraction
                    + (1.0 - initial_fraction) * (at.as_secs_f64() / slow_start.as_secs_f64()).min(1.0);
                let allowed = overload_factor * warmth * full_rate * window.as_secs_f64();
                ((n + 1 - first) as f64 - allowed).max(0.0) as u64
            });
            each.max().unwrap_or(0)
        };
        let earlier: u64 = self.shared.earlier_slow_starts.borrow().iter().map(excess).sum();
        earlier + excess(&self.shared.slow_start_arrivals.borrow())
    }

    /// Peak arrivals in windows of the given length that end at an arrival between `from` and `to`.
    pub fn peak_arrivals(&self, window: Duration, from: Instant, to: Instant) -> PeakArrivals {
        let shared = &self.shared;
        let (from, to) = (from - shared.start, to - shared.start);
        let peak = |arrivals: &[Duration]| {
            let ends = arrivals.iter().enumerate().filter(|(_, at)| (from..to).contains(*at));
            let first = |at: Duration| arrivals.partition_point(|t| *t + window <= at);
            ends.map(|(n, &at)| n + 1 - first(at)).max().unwrap_or(0)
        };
        PeakArrivals {
            parts: peak(&shared.part_arrivals.borrow()),
            connections: peak(&shared.connection_arrivals.borrow()),
        }
    }

    /// Highest number of concurrently open connections so far.
    pub fn most_connections(&self) -> usize {
        self.shared.most_connections.get()
    }
}

fn frame(payload: &[u8]) -> Vec<u8> {
    [&(payload.len() as u32).to_be_bytes()[..], payload].concat()
}

async fn read_frame(from: &mut OwnedReadHalf) -> std::io::Result<Vec<u8>> {
    let length = from.read_u32().await? as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    from.read_exact(&mut frame).await?;
    Ok(frame)
}

async fn serve_connection(shared: &Rc<Shared>, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut from, mut to) = stream.into_split();
    let (out, mut outgoing) = unbounded_channel::<Vec<u8>>();
    tokio::task::spawn_local(async move {
        while let Some(bytes) = outgoing.recv().await {
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let cancelled: Rc<RefCell<BTreeSet<String>>> = Rc::default();
    loop {
        let frame_bytes = read_frame(&mut from).await?;
        let payload = String::from_utf8_lossy(&frame_bytes[1..]).into_owned();
        match frame_bytes[0] {
            b'L' => {
                let _ = out.send(frame(format!("Lqueue={},inflight={}", shared.waiting.get(), 0).as_bytes()));
            }
            b'P' => {
                let _ = out.send(frame(b"Pok"));
            }
            b'X' => {
                cancelled.borrow_mut().insert(payload);
            }
            b'Q' if shared.behavior.get() == ReplicaBehavior::Resets => return Ok(()),
            b'Q' => {
                for part in parse_parts(&payload) {
                    shared.record_arrival();
                    shared.query_log.part_arrived(|| Arrival {
                        part: part.id.clone(),
                        at: Instant::now(),
                        replica: shared.address,
                        stated_deadline: part.stated_deadline,
                    });
                    accept_part(shared, part, out.clone(), cancelled.clone());
                }
            }
            _ => {
                let _ = out.send(frame(b"Ewhat?"));
            }
        }
    }
}

struct Part {
    id: String,
    shard: u32,
    stated_deadline: Duration,
    text: String,
}

fn parse_parts(mut call: &str) -> Vec<Part> {
    let mut parts = Vec::new();
    while let Some((line, rest)) = call.split_once('\n') {
        let fields: Vec<&str> = line.split(' ').collect();
        let [id, shard, options, length] = fields[..] else { break };
        let Some((text, after)) = length.parse().ok().and_then(|n| rest.split_at_checked(n)) else { break };
        let stated_deadline =
            options.split(',').find_map(|option| option.strip_prefix("d=")?.parse().ok()).unwrap_or(0);
        parts.push(Part {
            id: id.to_string(),
            shard: shard.parse().unwrap_or(0),
            stated_deadline: Duration::from_millis(stated_deadline),
            text: text.to_string(),
        });
        call = after;
    }
    parts
}

/// The value of a part, which names the client's query and the shard. The part id of a forwarded query continues with the
/// forwarding site behind the client's id.
fn part_value(part_id: &str, shard: u32) -> String {
    let query_id = part_id.split(['@', '.']).next().unwrap_or_default();
    value_for(query_id, shard)
}

/// The value with which a replica answers a shard of the client's query.
pub fn value_for(query_id: &str, shard: u32) -> String {
    format!("d{shard}-{query_id}")
}

fn accept_part(
    shared: &Rc<Shared>,
    part: Part,
    out: UnboundedSender<Vec<u8>>,
    cancelled: Rc<RefCell<BTreeSet<String>>>,
) {
    let behavior = shared.behavior.get();
    if behavior == ReplicaBehavior::Busy || shared.waiting.get() >= MAX_QUEUE {
        let _ = out.send(frame(format!("A{} busy 0 -\n", part.id).as_bytes()));
        return;
    }
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        shared.waiting.set(shared.waiting.get() + 1);
        let slot = shared.slots.acquire().await;
        shared.waiting.set(shared.waiting.get() - 1);
        if cancelled.borrow_mut().remove(&part.id) {
            return;
        }
        shared.query_log.part_started(&part.id);
        tokio::time::sleep(shared.work_time(&part.text)).await;
        drop(slot);
        let answer = match behavior {
            ReplicaBehavior::Silent => return,
            ReplicaBehavior::Fails => frame(format!("A{} err 0 -\n", part.id).as_bytes()),
            ReplicaBehavior::Malformed => frame(b"?what"),
            _ => frame(format!("A{} ok 7 -\n{}", part.id, part_value(&part.id, part.shard)).as_bytes()),
        };
        let half_length = answer.len() / 2;
        let _ = out.send(if behavior == ReplicaBehavior::Truncates {
            answer[..half_length].to_vec()
        } else {
            answer
        });
    });
}

impl Shared {
    fn record_arrival(&self) {
        self.part_arrivals.borrow_mut().push(self.start.elapsed());
        if let Some((since, slow_start)) = *self.slow_start.borrow()
            && since.elapsed() < slow_start
        {
            self.slow_start_arrivals.borrow_mut().push(since.elapsed());
        }
    }

    /// Processing time of a part; the word `lasts=MS` in the query text sets it.
    fn work_time(&self, text: &str) -> Duration {
        if let Some(ms) = text.split(' ').find_map(|w| w.strip_prefix("lasts=")?.parse().ok()) {
            return Duration::from_millis(ms);
        }
        let factor = if let ReplicaBehavior::Slow(factor) = self.behavior.get() { factor } else { 1.0 };
        let random: f64 = self.rng.borrow_mut().random();
        self.work.mean_time.mul_f64(factor * (0.5 + random))
    }
}

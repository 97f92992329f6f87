//! A stand-in replica: frames of four bytes of length, a letter and the rest. It works on a number of parts at once, the
//! others wait in a queue, and where the queue is full it is busy.

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

/// Parts that wait for work, at most.
const WAITING: usize = 200;
/// Longest frame taken from a co-ordinator.
const LONGEST: usize = 1 << 20;

/// How a replica behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplicaBehavior {
    /// Answers each part.
    Normal,
    /// Takes that many times as long.
    Slow(f64),
    /// Works, and does not answer.
    Silent,
    /// Answers that it has failed.
    Fails,
    /// Rejects each part as busy.
    Busy,
    /// Closes the connection when a call arrives, without having run it.
    Resets,
    /// Works, and answers with what is no frame.
    Malformed,
    /// Works, and sends half of each answer.
    Truncates,
}

/// How long a part takes: half to one and a half times the usual time at random; a text can set the time itself.
#[derive(Clone, Copy)]
pub struct Work {
    /// Work time of a part on average.
    pub mean_time: Duration,
    /// Parts that it works on at once.
    pub concurrency: usize,
}

/// What a replica in slow start may be sent in any window: `overload_factor` times what it does in it at its present
/// warmth, which rises evenly from `initial_fraction` to 1.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimit {
    /// Factor on what the replica does.
    pub overload_factor: f64,
    /// Fraction of its full capacity that the replica has at its start.
    pub initial_fraction: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Most parts and new connections that arrived at one replica in any stretch of some length.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakArrivals {
    /// Most parts.
    pub parts: usize,
    /// Most new connections.
    pub connections: usize,
}

/// A stand-in replica that listens on an address of its own.
pub struct StandInReplica {
    /// Where it listens.
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
    /// Since when it is in slow start and for how long, and when parts arrived meanwhile.
    slow_start: RefCell<Option<(Instant, Duration)>>,
    slow_start_arrivals: RefCell<Vec<Duration>>,
    /// The arrivals in earlier slow starts.
    earlier_slow_starts: RefCell<Vec<Vec<Duration>>>,
    /// When parts and connections arrived, since its start.
    start: Instant,
    part_arrivals: RefCell<Vec<Duration>>,
    connection_arrivals: RefCell<Vec<Duration>>,
}

impl StandInReplica {
    /// Starts it; what it runs is recorded in the log.
    ///
    /// # Errors
    ///
    /// That it can't listen.
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
        let ours = shared.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = ours.clone();
                tokio::task::spawn_local(async move {
                    shared.connection_arrivals.borrow_mut().push(shared.start.elapsed());
                    shared.connections.set(shared.connections.get() + 1);
                    shared.most_connections.set(shared.most_connections.get().max(shared.connections.get()));
                    tokio::select! {
                        _ = connection(&shared, stream) => {}
                        () = shared.killed.notified() => {}
                    }
                    shared.connections.set(shared.connections.get() - 1);
                });
            }
        });
        Ok(StandInReplica { address, shared, accepting })
    }

    /// Sets how it behaves from now on.
    pub fn set_behavior(&self, behavior: ReplicaBehavior) {
        self.shared.behavior.set(behavior);
    }

    /// Closes the listener and all connections for good.
    pub fn kill(&self) {
        self.accepting.abort();
        self.shared.killed.notify_waiters();
    }

    /// Begins a slow start of that length.
    pub fn begin_slow_start(&self, slow_start: Duration) {
        let arrivals = std::mem::take(&mut *self.shared.slow_start_arrivals.borrow_mut());
        self.shared.earlier_slow_starts.borrow_mut().push(arrivals);
        *self.shared.slow_start.borrow_mut() = Some((Instant::now(), slow_start));
    }

    /// Parts beyond what slow start allows in any window, over all its starts.
    pub fn parts_over_slow_start(&self, limit: SlowStartLimit) -> u64 {
        let SlowStartLimit { overload_factor, initial_fraction, window } = limit;
        let Some((_, slow_start)) = *self.shared.slow_start.borrow() else { return 0 };
        let warm = self.shared.work.concurrency as f64 / self.shared.work.mean_time.as_secs_f64();
        let over = |arrivals: &Vec<Duration>| {
            let each = arrivals.iter().enumerate().map(|(n, &at)| {
                let first = arrivals.partition_point(|t| *t + window < at);
                let warmth = initial_fraction
                    + (1.0 - initial_fraction) * (at.as_secs_f64() / slow_start.as_secs_f64()).min(1.0);
                let may = overload_factor * warmth * warm * window.as_secs_f64();
                ((n + 1 - first) as f64 - may).max(0.0) as u64
            });
            each.max().unwrap_or(0)
        };
        let earlier: u64 = self.shared.earlier_slow_starts.borrow().iter().map(over).sum();
        earlier + over(&self.shared.slow_start_arrivals.borrow())
    }

    /// Most parts and new connections that arrived in any stretch of that length between two points in time.
    pub fn peak_arrivals(&self, stretch: Duration, from: Instant, to: Instant) -> PeakArrivals {
        let shared = &self.shared;
        let (from, to) = (from - shared.start, to - shared.start);
        let most = |arrivals: &[Duration]| {
            let ends = arrivals.iter().enumerate().filter(|(_, at)| (from..to).contains(*at));
            let first = |at: Duration| arrivals.partition_point(|t| *t + stretch <= at);
            ends.map(|(n, &at)| n + 1 - first(at)).max().unwrap_or(0)
        };
        PeakArrivals {
            parts: most(&shared.part_arrivals.borrow()),
            connections: most(&shared.connection_arrivals.borrow()),
        }
    }

    /// Most connections open at once so far.
    pub fn most_connections(&self) -> usize {
        self.shared.most_connections.get()
    }
}

fn frame(rest: &[u8]) -> Vec<u8> {
    [&(rest.len() as u32).to_be_bytes()[..], rest].concat()
}

async fn read_frame(from: &mut OwnedReadHalf) -> std::io::Result<Vec<u8>> {
    let length = from.read_u32().await? as usize;
    if length == 0 || length > LONGEST {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut rest = vec![0; length];
    from.read_exact(&mut rest).await?;
    Ok(rest)
}

async fn connection(shared: &Rc<Shared>, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut from, mut to) = stream.into_split();
    let (out, mut queued) = unbounded_channel::<Vec<u8>>();
    tokio::task::spawn_local(async move {
        while let Some(bytes) = queued.recv().await {
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let cancelled: Rc<RefCell<BTreeSet<String>>> = Rc::default();
    loop {
        let rest = read_frame(&mut from).await?;
        let words = String::from_utf8_lossy(&rest[1..]).into_owned();
        match rest[0] {
            b'L' => {
                let _ = out.send(frame(format!("Lqueue={},inflight={}", shared.waiting.get(), 0).as_bytes()));
            }
            b'P' => {
                let _ = out.send(frame(b"Pok"));
            }
            b'X' => {
                cancelled.borrow_mut().insert(words);
            }
            b'Q' if shared.behavior.get() == ReplicaBehavior::Resets => return Ok(()),
            b'Q' => {
                for part in parts(&words) {
                    shared.arrivals();
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

fn parts(mut call: &str) -> Vec<Part> {
    let mut found = Vec::new();
    while let Some((line, rest)) = call.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else { break };
        let Some((text, after)) = length.parse().ok().and_then(|n| rest.split_at_checked(n)) else { break };
        let stated_deadline = list.split(',').find_map(|w| w.strip_prefix("d=")?.parse().ok()).unwrap_or(0);
        found.push(Part {
            id: id.to_string(),
            shard: shard.parse().unwrap_or(0),
            stated_deadline: Duration::from_millis(stated_deadline),
            text: text.to_string(),
        });
        call = after;
    }
    found
}

fn accept_part(
    shared: &Rc<Shared>,
    part: Part,
    out: UnboundedSender<Vec<u8>>,
    cancelled: Rc<RefCell<BTreeSet<String>>>,
) {
    let behavior = shared.behavior.get();
    if behavior == ReplicaBehavior::Busy || shared.waiting.get() >= WAITING {
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
            _ => frame(format!("A{} ok 7 -\nd{}-{}", part.id, part.shard, part.text.len()).as_bytes()),
        };
        let half = answer.len() / 2;
        let _ =
            out.send(if behavior == ReplicaBehavior::Truncates { answer[..half].to_vec() } else { answer });
    });
}

impl Shared {
    fn arrivals(&self) {
        self.part_arrivals.borrow_mut().push(self.start.elapsed());
        if let Some((since, slow_start)) = *self.slow_start.borrow()
            && since.elapsed() < slow_start
        {
            self.slow_start_arrivals.borrow_mut().push(since.elapsed());
        }
    }

    /// The work time of a part; a text of `lasts=MS` sets it.
    fn work_time(&self, text: &str) -> Duration {
        if let Some(ms) = text.split(' ').find_map(|w| w.strip_prefix("lasts=")?.parse().ok()) {
            return Duration::from_millis(ms);
        }
        let factor = if let ReplicaBehavior::Slow(factor) = self.behavior.get() { factor } else { 1.0 };
        let rng: f64 = self.rng.borrow_mut().random();
        self.work.mean_time.mul_f64(factor * (0.5 + rng))
    }
}

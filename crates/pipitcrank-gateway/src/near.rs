//! The near side's hands: lasting connections to other sites, on which parts go out and answers come back. What may go
//! is the exchange's last look, where it may go the route book's, what a broken link means the forwards' book's.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use pipitcrank_core::ids::{AttemptOutcome, ReplicaId};
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::{AttemptId, ReplicaTransport};
use pipitcrank_server::replicas::pool::ReplicaPool;
use pipitcrank_server::runtime::clock::duration;
use pipitcrank_server::runtime::event_loop::EventLoop;
use pipitcrank_server::serve::ServerContext;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;

use crate::credit::{FIRST, Giving, Spending};
use crate::forwards::{Forwards, Over};
use crate::frames::{CAN, Forward, How, Said, VERSION, encode, take};
use crate::route::{HEARTBEAT, Route};

/// Time for a connection to be up and greeted: many round trips of any link that is of use.
const GREETED_WITHIN: Duration = Duration::from_millis(1500);
/// Nothing heard for so long, with a heartbeat each 50 ms, ends the connection. The route has closed long before; this is
/// for a link that stalls without an end.
const SILENT: Duration = Duration::from_millis(1500);
/// Between two tries to connect: doubled up to the last, each spread by a half by the lane's own number, so that lanes and
/// sites do not come back in step.
const TRY_AGAIN: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1600));

enum Job {
    Call(ReplicaId, Vec<AttemptId>),
    GiveUp(u64),
}

/// One lasting connection, also between two of them.
struct Lane {
    number: u16,
    jobs: UnboundedSender<Job>,
    book: RefCell<Forwards<AttemptId>>,
    /// Calls queued and not begun; with the book's they say how busy the lane is.
    queued: Cell<usize>,
    up: Cell<bool>,
}

struct Site {
    number: u16,
    name: String,
    address: SocketAddr,
    route: RefCell<Route>,
    lanes: Vec<Rc<Lane>>,
    told: Cell<Option<TimeSpan>>,
}

/// What this side is and knows, and each task of it shares.
struct Side {
    event_loop: Rc<EventLoop>,
    own: String,
    instance: u64,
    classes: Vec<String>,
}

/// The replica side where there are other sites: near leaves as ever, cells of other sites over their links.
pub struct Near {
    replicas: Rc<RefCell<ReplicaPool>>,
    sites: Vec<Rc<Site>>,
    far: BTreeMap<ReplicaId, Rc<Site>>,
    side: Rc<Side>,
}

/// What a site is reached by.
pub struct Peer {
    pub name: String,
    pub address: SocketAddr,
}

impl Near {
    pub fn start(
        ground: ServerContext,
        own: &str,
        instance: u64,
        peers: Vec<Peer>,
        lanes: u16,
        prefer_near: TimeSpan,
    ) -> Near {
        let ServerContext { event_loop, replicas, classes, cells, .. } = ground;
        let side = Rc::new(Side { event_loop, own: own.to_string(), instance, classes });
        let (mut sites, mut far) = (Vec::new(), BTreeMap::new());
        for (n, Peer { name, address }) in peers.into_iter().enumerate() {
            let number = n as u16;
            let mut queues = Vec::new();
            let lanes = (0..lanes).map(|number| {
                let (jobs, queue) = unbounded_channel();
                queues.push(queue);
                Rc::new(Lane {
                    number,
                    jobs,
                    book: RefCell::default(),
                    queued: Cell::default(),
                    up: Cell::default(),
                })
            });
            let lanes: Vec<Rc<Lane>> = lanes.collect();
            let cells = side.event_loop.update(|e| e.add_remote_site(number, &name, cells));
            let route = RefCell::new(Route::new(prefer_near));
            let site = Rc::new(Site { number, name, address, route, lanes, told: Cell::default() });
            far.extend(cells.into_iter().map(|replica| (replica, site.clone())));
            for (lane, queue) in site.lanes.iter().zip(queues) {
                tokio::task::spawn_local(keep_linked(side.clone(), site.clone(), lane.clone(), queue));
            }
            tokio::task::spawn_local(look_after(side.clone(), site.clone()));
            sites.push(site);
        }
        Near { replicas, sites, far, side }
    }
}

impl ReplicaTransport for Near {
    fn set_address(&mut self, replica: ReplicaId, address: SocketAddr) {
        self.replicas.borrow_mut().set_address(replica, address);
    }

    fn remove_replica(&mut self, replica: ReplicaId) {
        self.replicas.borrow_mut().remove_replica(replica);
    }

    fn send_attempts(&mut self, replica: ReplicaId, parts: Vec<AttemptId>) {
        let Some(site) = self.far.get(&replica) else {
            return self.replicas.borrow_mut().send_attempts(replica, parts);
        };
        let up = site.lanes.iter().filter(|l| l.up.get());
        match up.min_by_key(|l| l.queued.get() + l.book.borrow().out()) {
            Some(lane) => {
                lane.queued.set(lane.queued.get() + 1);
                // The lane's task takes all jobs, also while its link is down.
                let _ = lane.jobs.send(Job::Call(replica, parts));
            }
            None => {
                let event_loop = self.side.event_loop.clone();
                // Not at once: the exchange is in its turn.
                tokio::task::spawn_local(async move { never_began(&event_loop, replica, parts) });
            }
        }
    }

    fn cancel_attempt(&mut self, replica: ReplicaId, call: AttemptId) {
        let Some(site) = self.far.get(&replica) else {
            return self.replicas.borrow_mut().cancel_attempt(replica, call);
        };
        for lane in &site.lanes {
            let gave_up = lane.book.borrow_mut().give_up(call);
            if let Some(gave_up) = gave_up {
                if gave_up.whole {
                    let _ = lane.jobs.send(Job::GiveUp(gave_up.number));
                }
                return;
            }
        }
    }

    fn send_load_probe(&mut self, replica: ReplicaId) {
        match self.far.get(&replica) {
            None => self.replicas.borrow_mut().send_load_probe(replica),
            // The module asks for none; heartbeats tell more.
            Some(site) => debug_assert!(self.sites.iter().any(|s| Rc::ptr_eq(s, site))),
        }
    }
}

fn never_began(event_loop: &EventLoop, replica: ReplicaId, parts: Vec<AttemptId>) {
    event_loop.update(|e| parts.into_iter().for_each(|call| e.attempt_never_started(replica, call)));
}

/// Tells the exchange what the route says, as often as heartbeats come.
async fn look_after(side: Rc<Side>, site: Rc<Site>) {
    let mut beats = tokio::time::interval(duration(HEARTBEAT));
    beats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        beats.tick().await;
        let now = side.event_loop.clock.now();
        for lane in &site.lanes {
            let over = lane.book.borrow_mut().expired(now);
            over.into_iter().for_each(|o| close(&side, &site, o));
        }
        tell_hop(&side, &site);
    }
}

/// Told only where it differs by enough to matter, as each change makes the module look again.
fn tell_hop(side: &Side, site: &Site) {
    let hop = site.route.borrow_mut().hop(side.event_loop.clock.now());
    let same = match (hop, site.told.get()) {
        (Some(now), Some(told)) => ((now - told).as_secs_f64()).abs() <= told.as_secs_f64() * 0.1 + 0.001,
        (now, told) => now.is_none() && told.is_none(),
    };
    if !same {
        if hop.is_some() != site.told.get().is_some() {
            tracing::info!(
                site = site.name,
                hop_ms = hop.map(|h| h.as_secs_f64() * 1000.0),
                "the way is {}",
                if hop.is_some() { "open" } else { "closed" }
            );
            side.event_loop.counters.add("sites", if hop.is_some() { "opened" } else { "closed" });
        }
        site.told.set(hop);
        side.event_loop.update(|e| e.set_remote_delay(site.number, hop));
    }
}

/// A forward is over: for the module, the budget and the route.
fn close(side: &Side, site: &Site, over: Over<AttemptId>) {
    let now = side.event_loop.clock.now();
    site.route.borrow_mut().ended(now, over.mark, over.route);
    side.event_loop.counters.add(
        "forwards",
        match over.route {
            crate::route::Ended::Answered => "answered",
            crate::route::Ended::Rejected(_) => "rejected",
            crate::route::Ended::Neither => "over",
            crate::route::Ended::Failed => "failed",
        },
    );
    side.event_loop.update(|e| {
        if let Some(made) = over.made {
            e.delegation_returned(now, over.who, made);
        }
        over.calls.into_iter().for_each(|(call, outcome)| e.attempt_ended(call, outcome, None, None));
    });
    tell_hop(side, site);
}

/// Connects for ever.
async fn keep_linked(side: Rc<Side>, site: Rc<Site>, lane: Rc<Lane>, mut queue: UnboundedReceiver<Job>) {
    let mut pause = TRY_AGAIN.0;
    let mut before: Option<u64> = None;
    loop {
        let connected = tokio::time::timeout(GREETED_WITHIN, greet(&side, &site, &lane));
        // What is queued meanwhile never ran.
        let connected = tokio::select! {
            connected = connected => connected.unwrap_or(Err("not up in time")),
            () = refuse_jobs(&side, &lane, &mut queue) => Err("its queue is gone"),
        };
        match connected {
            Ok(greeted) => {
                pause = TRY_AGAIN.0;
                side.event_loop.counters.add("links", "opened");
                site.route.borrow_mut().linked(side.event_loop.clock.now());
                let same = before == Some(greeted.instance);
                before = Some(greeted.instance);
                lane.up.set(true);
                let why = Link::new(&side, &site, &lane, greeted).run(same, &mut queue).await;
                lane.up.set(false);
                site.route.borrow_mut().unlinked();
                tracing::warn!(site = site.name, lane = lane.number, "the link ended: {why}");
                side.event_loop.counters.add("links", why);
                while let Ok(job) = queue.try_recv() {
                    refuse(&side, &lane, job);
                }
                let over = lane.book.borrow_mut().cut();
                over.into_iter().for_each(|o| close(&side, &site, o));
                tell_hop(&side, &site);
            }
            Err(why) => {
                side.event_loop.counters.add("links", why);
                tracing::debug!(site = site.name, lane = lane.number, "no link: {why}");
            }
        }
        let spread = pause / 2 * u32::from(lane.number % 4) / 4;
        tokio::select! {
            () = tokio::time::sleep(pause + spread) => {}
            () = refuse_jobs(&side, &lane, &mut queue) => {}
        }
        pause = (pause * 2).min(TRY_AGAIN.1);
    }
}

fn refuse(side: &Side, lane: &Lane, job: Job) {
    if let Job::Call(replica, parts) = job {
        lane.queued.set(lane.queued.get() - 1);
        never_began(&side.event_loop, replica, parts);
    }
}

async fn refuse_jobs(side: &Side, lane: &Lane, queue: &mut UnboundedReceiver<Job>) {
    while let Some(job) = queue.recv().await {
        refuse(side, lane, job);
    }
}

struct Greeted {
    stream: TcpStream,
    instance: u64,
    credit: u32,
    read: BytesMut,
}

async fn greet(side: &Side, site: &Site, lane: &Lane) -> Result<Greeted, &'static str> {
    let mut stream = TcpStream::connect(site.address).await.map_err(|_| "refused")?;
    let _ = stream.set_nodelay(true);
    let hello = Said::Hello {
        version: VERSION,
        site: side.own.clone(),
        instance: side.instance,
        lane: lane.number,
        credit: FIRST,
        can: CAN,
    };
    tokio::io::AsyncWriteExt::write_all(&mut stream, &encode(&hello)).await.map_err(|_| "reset")?;
    let mut read = BytesMut::new();
    loop {
        match take(&mut read) {
            Ok(Some((Said::Hello { version, site: name, instance, credit, .. }, _))) => {
                if version != VERSION {
                    return Err("other_version");
                }
                if name != site.name {
                    return Err("other_site");
                }
                return Ok(Greeted { stream, instance, credit, read });
            }
            Ok(Some(_)) => return Err("bad_bytes"),
            Err(_) => return Err("bad_bytes"),
            Ok(None) => {}
        }
        match stream.read_buf(&mut read).await {
            Ok(0) => return Err("closed"),
            Ok(_) => {}
            Err(_) => return Err("reset"),
        }
    }
}

/// A link while it lives.
struct Link<'a> {
    side: &'a Side,
    site: &'a Site,
    lane: &'a Lane,
    stream: TcpStream,
    read: BytesMut,
    spending: Spending,
    first: u32,
    giving: Giving,
    /// What is being written, and the forward that it is.
    writing: Bytes,
    number: Option<u64>,
    /// Frames that wait: small ones, and forwards that a job was made into.
    next: VecDeque<(Vec<u8>, Option<u64>)>,
}

impl<'a> Link<'a> {
    fn new(side: &'a Side, site: &'a Site, lane: &'a Lane, greeted: Greeted) -> Link<'a> {
        let Greeted { stream, credit, read, .. } = greeted;
        let (writing, next) = (Bytes::new(), VecDeque::new());
        let (spending, giving) = (Spending::new(credit), Giving::new());
        Link { side, site, lane, stream, read, spending, first: credit, giving, writing, number: None, next }
    }

    /// Why it ended.
    async fn run(mut self, same_process: bool, queue: &mut UnboundedReceiver<Job>) -> &'static str {
        let relinked = self.lane.book.borrow_mut().relinked(same_process);
        match relinked {
            Ok(numbers) if numbers.is_empty() => {}
            Ok(numbers) => self.say(&Said::Ask { numbers }),
            Err(over) => over.into_iter().for_each(|o| close(self.side, self.site, o)),
        }
        self.ping();
        let mut beats = tokio::time::interval(duration(HEARTBEAT));
        beats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut heard = Instant::now();
        loop {
            if let Err(why) = self.take_frames() {
                return why;
            }
            if self.writing.is_empty() {
                self.begin_next();
            }
            let idle = self.writing.is_empty();
            tokio::select! {
                biased;
                _ = self.stream.readable() => match self.stream.try_read_buf(&mut self.read) {
                    Ok(0) => return "closed",
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Ok(_) => {
                        heard = Instant::now();
                        self.site.route.borrow_mut().heard(self.side.event_loop.clock.now());
                    }
                    Err(_) => return "reset",
                },
                ready = self.stream.writable(), if !idle => {
                    if ready.is_err() {
                        return "reset";
                    }
                    match self.stream.try_write(&self.writing) {
                        Ok(n) => self.writing.advance(n),
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(_) => return "reset",
                    }
                    if self.writing.is_empty() && let Some(number) = self.number.take() {
                        self.lane.book.borrow_mut().written(number);
                        self.side.event_loop.counters.add("forwards", "sent");
                    }
                }
                _ = beats.tick() => {
                    if heard.elapsed() > SILENT {
                        return "silent";
                    }
                    self.ping();
                }
                Some(job) = queue.recv(), if idle && self.spending.may() => self.take_job(job),
            }
        }
    }

    fn say(&mut self, said: &Said) {
        self.next.push_back((encode(said), None));
    }

    /// One at a time: behind what is not taken from us there is no use for a second.
    fn ping(&mut self) {
        if self.next.is_empty() && self.writing.is_empty() {
            self.say(&Said::Ping { sent_us: self.side.event_loop.clock.now().as_micros() });
        }
    }

    fn begin_next(&mut self) {
        if let Some((bytes, number)) = self.next.pop_front() {
            if number.is_some() {
                self.spending.spend(bytes.len());
            }
            (self.writing, self.number) = (bytes.into(), number);
        }
    }

    fn take_job(&mut self, job: Job) {
        match job {
            Job::GiveUp(number) => self.say(&Said::GiveUp { number }),
            Job::Call(replica, mut parts) => {
                self.lane.queued.set(self.lane.queued.get() - 1);
                let now = self.side.event_loop.clock.now();
                let way = self.site.route.borrow().trip().unwrap_or(TimeSpan::ZERO);
                for going in self.side.event_loop.update(|e| e.authorize_forward(now, replica, &mut parts)) {
                    let mark = self.site.route.borrow_mut().sent(now);
                    let calls = going.parts.iter().map(|p| (p.part.shard, p.attempt)).collect();
                    let parts =
                        going.parts.iter().map(|p| (p.part.shard, p.part.weight, p.part.work)).collect();
                    let number = self.lane.book.borrow_mut().begin(
                        calls,
                        going.idempotent,
                        going.delegation,
                        mark,
                        going.deadline,
                    );
                    let forward = Forward {
                        number,
                        id: going.id,
                        class: self.side.classes[going.class.0 as usize].clone(),
                        left: going.deadline - now - way,
                        further: going.retries,
                        crossed: vec![self.side.own.clone()],
                        parts,
                        text: going.text.to_string(),
                    };
                    let said = match going.idempotency_key {
                        None => Said::Forward(forward),
                        Some(key) => Said::ForwardWithKey(forward, key.to_string()),
                    };
                    self.next.push_back((encode(&said), Some(number)));
                }
                tell_hop(self.side, self.site);
            }
        }
    }

    fn take_frames(&mut self) -> Result<(), &'static str> {
        loop {
            let (said, bytes) = match take(&mut self.read) {
                Ok(Some(found)) => found,
                Ok(None) => return Ok(()),
                Err(bad) => {
                    tracing::warn!(site = self.site.name, "{bad}");
                    return Err("bad_bytes");
                }
            };
            if said.costs_credit() && !self.giving.came(bytes) {
                return Err("no_credit");
            }
            if let Some(bytes) = self.giving.give() {
                self.say(&Said::Credit { bytes });
            }
            self.took(said)?;
        }
    }

    fn took(&mut self, said: Said) -> Result<(), &'static str> {
        let now = self.side.event_loop.clock.now();
        match said {
            Said::Part { number, shard, value } => {
                let call = self.lane.book.borrow_mut().part(number, shard);
                match call {
                    Some(call) => {
                        self.site.route.borrow_mut().part(now);
                        self.side.event_loop.counters.add("forwards", "parts");
                        self.side
                            .event_loop
                            .update(|e| e.attempt_ended(call, AttemptOutcome::Success, Some(value), None));
                    }
                    None => self.side.event_loop.counters.add("forwards", "late_parts"),
                }
            }
            Said::End { number, how, made } => {
                let over = self.lane.book.borrow_mut().end(number, how, made);
                match over {
                    Some(over) => close(self.side, self.site, over),
                    None if how == How::Unknown => {}
                    None => self.side.event_loop.counters.add("forwards", "late_ends"),
                }
            }
            Said::Credit { bytes } => {
                if !self.spending.get(bytes, self.first) {
                    return Err("bad_credit");
                }
            }
            Said::Pong { sent_us, mine_us } => {
                let took = now - pipitcrank_core::time::Timestamp::from_micros(sent_us);
                if took < TimeSpan::ZERO {
                    return Err("bad_bytes");
                }
                self.site.route.borrow_mut().tripped(now, took);
                let apart = mine_us.saturating_sub(sent_us / 2 + now.as_micros() / 2);
                tracing::trace!(site = self.site.name, trip_us = took.as_micros(), apart_us = apart);
            }
            Said::Ping { sent_us } => self.say(&Said::Pong { sent_us, mine_us: now.as_micros() }),
            Said::Hello { .. }
            | Said::Forward(_)
            | Said::ForwardWithKey(..)
            | Said::GiveUp { .. }
            | Said::Ask { .. } => {
                return Err("bad_bytes");
            }
        }
        Ok(())
    }
}

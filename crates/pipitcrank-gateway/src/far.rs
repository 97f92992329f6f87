//! The far side's hands: other sites' forwards become queries of our own exchange, their answers go back part by part.
//! What is begun, known again or refused is the ledger's word.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use pipitcrank_core::ids::RequestClassId;
use pipitcrank_server::exchange::{DelegatedRequest, QueryPart, QueryRequest, QueryResponse};
use pipitcrank_server::runtime::event_loop::EventLoop;
use pipitcrank_server::serve::ServerContext;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::credit::{FIRST, Giving, Spending};
use crate::frames::{CAN, Forward, How, Said, VERSION, encode, take};
use crate::ledger::{Lane, Ledger, Verdict};

/// A peer greets within this, or is none.
const GREETS_WITHIN: Duration = Duration::from_millis(1500);
/// A peer's heartbeats come each 50 ms; without any for so long its link is dead.
const SILENT: Duration = Duration::from_secs(5);
/// Between two tries to listen: while an upgrade passes, the address is the old process's.
const LISTEN_AGAIN: Duration = Duration::from_millis(100);

/// Messages that wait to be written to one peer, at most: one that asks on and does not read is cut off.
const MOST_WAITING: usize = 50_000;

/// What goes to one connection.
#[derive(Clone)]
struct Say {
    to: UnboundedSender<Said>,
    waiting: Rc<Cell<usize>>,
}

impl Say {
    fn send(&self, said: Said) {
        if self.to.send(said).is_ok() {
            self.waiting.set(self.waiting.get() + 1);
        }
    }
}

/// A query in hand for another site.
struct InHand {
    ticket: u64,
    made: Rc<Cell<u32>>,
}

pub struct Far {
    event_loop: Rc<EventLoop>,
    own: String,
    instance: u64,
    peers: Vec<String>,
    classes: Vec<String>,
    shards: u32,
    tickets: Arc<AtomicU64>,
    ledger: RefCell<Ledger>,
    /// By the ledger's mark; each leaves with its end.
    in_hand: RefCell<BTreeMap<u64, InHand>>,
    /// The newest connection of each lane, by its generation; older ones are not heard any more.
    connections: RefCell<BTreeMap<Lane, (u64, Say)>>,
    generation: Cell<u64>,
    leaving: watch::Receiver<bool>,
}

impl Far {
    pub fn new(ground: &ServerContext, own: &str, instance: u64, peers: Vec<String>) -> Rc<Far> {
        Rc::new(Far {
            event_loop: ground.event_loop.clone(),
            own: own.to_string(),
            instance,
            peers,
            classes: ground.classes.clone(),
            shards: ground.shards,
            tickets: ground.tickets.clone(),
            ledger: RefCell::new(Ledger::new(own, ground.max_deadline)),
            in_hand: RefCell::default(),
            connections: RefCell::default(),
            generation: Cell::default(),
            leaving: ground.draining.clone(),
        })
    }

    /// Takes peers' links, but while leaving: then the address is free for the process that takes over, and links end as
    /// soon as nothing of theirs is in hand.
    pub async fn listen(self: Rc<Far>, address: SocketAddr) {
        let mut leaving = self.leaving.clone();
        let mut said = false;
        loop {
            let _ = leaving.wait_for(|l| !l).await;
            match TcpListener::bind(address).await {
                Ok(listener) => {
                    tracing::info!("links of other sites are taken at {address}");
                    tokio::select! {
                        () = self.clone().accept(listener) => {}
                        _ = leaving.wait_for(|l| *l) => tracing::info!("no more links are taken"),
                    }
                    said = false;
                }
                Err(e) => {
                    if !std::mem::replace(&mut said, true) {
                        tracing::warn!("/gateway/listen: {address}: {e}; trying again");
                    }
                    tokio::time::sleep(LISTEN_AGAIN).await;
                }
            }
        }
    }

    async fn accept(self: Rc<Far>, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                tokio::time::sleep(LISTEN_AGAIN).await;
                continue;
            };
            // Until links are encrypted nobody from elsewhere is heard. Peers' connections are of the sockets told, as replicas'
            // are: however many copies a site has, what is told holds.
            let place = self.event_loop.replica_connections.try_acquire().filter(|_| from.ip().is_loopback());
            let Some(place) = place else {
                self.event_loop.counters.add("peers", "turned_away");
                continue;
            };
            let far = self.clone();
            tokio::task::spawn_local(async move {
                let why = far.clone().serve(stream).await;
                far.event_loop.counters.add("peers", why);
                tracing::info!("a peer's link ended: {why}");
                drop(place);
            });
        }
    }

    /// Whether something of that lane is in hand.
    fn has_of(&self, lane: &Lane) -> bool {
        let ledger = self.ledger.borrow();
        self.in_hand.borrow().keys().any(|mark| ledger.lane_of(*mark).is_some_and(|(l, _)| l == *lane))
    }

    async fn serve(self: Rc<Far>, stream: TcpStream) -> &'static str {
        let _ = stream.set_nodelay(true);
        let (mut from, to) = stream.into_split();
        let mut read = BytesMut::new();
        let greeted = tokio::time::timeout(GREETS_WITHIN, first(&mut from, &mut read)).await;
        let (lane, credit) = match greeted {
            Ok(Ok(Said::Hello { version: VERSION, site, instance, lane, credit, .. })) => {
                (Lane { site, instance, lane }, credit)
            }
            Ok(Ok(Said::Hello { .. })) => return "other_version",
            Ok(Ok(_)) => return "bad_bytes",
            Ok(Err(why)) => return why,
            Err(_) => return "silent",
        };
        if !self.peers.contains(&lane.site) {
            tracing::warn!("'{}' is no peer of ours", lane.site);
            return "stranger";
        }
        let generation = self.generation.get() + 1;
        self.generation.set(generation);
        let (to_peer, said) = unbounded_channel();
        let say = Say { to: to_peer, waiting: Rc::default() };
        let hello = Said::Hello {
            version: VERSION,
            site: self.own.clone(),
            instance: self.instance,
            lane: lane.lane,
            credit: FIRST,
            can: CAN,
        };
        say.send(hello);
        // From here on nothing of an older connection of this lane is heard, so that what is said to be unknown can't
        // come after all.
        self.connections.borrow_mut().insert(lane.clone(), (generation, say.clone()));
        let (credit_in, credits) = watch::channel(0u64);
        let writing = tokio::task::spawn_local(write_out(to, said, say.waiting.clone(), credit, credits));
        let why = self.hear(&lane, generation, &mut from, &mut read, &say, credit_in).await;
        let mut connections = self.connections.borrow_mut();
        if connections.get(&lane).is_some_and(|(g, _)| *g == generation) {
            connections.remove(&lane);
        }
        writing.abort();
        why
    }

    async fn hear(
        self: &Rc<Far>,
        lane: &Lane,
        generation: u64,
        from: &mut OwnedReadHalf,
        read: &mut BytesMut,
        say: &Say,
        credit_in: watch::Sender<u64>,
    ) -> &'static str {
        let mut giving = Giving::new();
        let mut since = None;
        loop {
            loop {
                let newest = self.connections.borrow().get(lane).map(|(g, _)| *g);
                if newest != Some(generation) {
                    return "replaced";
                }
                if say.waiting.get() > MOST_WAITING {
                    return "not_reading";
                }
                match take(read) {
                    Ok(None) => break,
                    Ok(Some((said, bytes))) => {
                        if said.costs_credit() && !giving.came(bytes) {
                            return "no_credit";
                        }
                        if let Some(bytes) = giving.give() {
                            say.send(Said::Credit { bytes });
                        }
                        match said {
                            Said::Forward(forward) => self.forwarded(lane, forward, None, say),
                            Said::ForwardWithKey(forward, key) => {
                                self.forwarded(lane, forward, Some(key.into()), say)
                            }
                            Said::GiveUp { number } => self.given_up(lane, number, say),
                            Said::Ask { numbers } => {
                                numbers.into_iter().for_each(|n| self.tell_again(lane, n, say))
                            }
                            Said::Credit { bytes } => {
                                credit_in.send_modify(|all| *all = all.saturating_add(u64::from(bytes)));
                            }
                            Said::Ping { sent_us } => {
                                let mine_us = self.event_loop.clock.now().as_micros();
                                say.send(Said::Pong { sent_us, mine_us });
                            }
                            Said::Hello { .. } | Said::Part { .. } | Said::End { .. } | Said::Pong { .. } => {
                                return "bad_bytes";
                            }
                        }
                    }
                    Err(bad) => {
                        tracing::warn!("site {} sent {bad}", lane.site);
                        return "bad_bytes";
                    }
                }
            }
            let leaving = *self.leaving.borrow();
            since = if leaving { since.or_else(|| Some(tokio::time::Instant::now())) } else { None };
            // What was on its way when it began to leave is answered yet.
            let long = since.is_some_and(|s| s.elapsed() >= LISTEN_AGAIN);
            if long && say.waiting.get() == 0 && !self.has_of(lane) {
                return "leaving";
            }
            // While leaving it looks again soon: the last answer ends the link.
            let wait = if leaving { LISTEN_AGAIN } else { SILENT };
            match tokio::time::timeout(wait, from.read_buf(read)).await {
                Err(_) if leaving => {}
                Ok(Ok(0)) => return "closed",
                Ok(Ok(_)) => {}
                Ok(Err(_)) => return "reset",
                Err(_) => return "silent",
            }
        }
    }

    fn forwarded(self: &Rc<Far>, lane: &Lane, forward: Forward, key: Option<Arc<str>>, say: &Say) {
        let class = self.classes.iter().position(|v| *v == forward.class);
        let known = class.is_some() && forward.parts.iter().all(|(shard, ..)| *shard < self.shards);
        let now = self.event_loop.clock.now();
        if *self.leaving.borrow() {
            // Nothing of it was begun, and it may go elsewhere at once. A repeat is known by the ledger as ever.
            let known = self.ledger.borrow_mut().asked(now, lane, forward.number).is_some();
            if !known {
                self.event_loop.counters.add("forwarded", "leaving");
                say.send(Said::End { number: forward.number, how: How::Late, made: 0 });
                return;
            }
        }
        let verdict = self.ledger.borrow_mut().came(now, lane, &forward, known);
        match verdict {
            Verdict::Begin(mark) => {
                self.event_loop.counters.add("forwarded", "begun");
                self.begin(mark, lane, RequestClassId(class.unwrap_or(0) as u16), forward, key);
            }
            Verdict::Again => {
                self.event_loop.counters.add("forwarded", "again");
                self.tell_again(lane, forward.number, say);
            }
            Verdict::Refuse(how) => {
                self.event_loop.counters.add("forwarded", if how == How::Late { "late" } else { "refused" });
                say.send(Said::End { number: forward.number, how, made: 0 });
            }
        }
    }

    fn begin(
        self: &Rc<Far>,
        mark: u64,
        lane: &Lane,
        class: RequestClassId,
        forward: Forward,
        idempotency_key: Option<Arc<str>>,
    ) {
        let all: f64 = forward.parts.iter().map(|(_, w, _)| w).sum();
        let even = 1.0 / forward.parts.len() as f64;
        // Of the parts that came the weights are shares again.
        let part = |(shard, weight, work): &(u32, f64, Option<f64>)| QueryPart {
            shard: *shard,
            weight: if all > 0.0 { weight / all } else { even },
            work: *work,
        };
        let asked = QueryRequest {
            // Of all that is held here its name is its own; the origin's stays readable.
            id: format!("{}@{}.{:x}.{}.{}", forward.id, lane.site, lane.instance, lane.lane, forward.number),
            class,
            deadline: self.event_loop.clock.now() + forward.left,
            parts: forward.parts.iter().map(part).collect(),
            idempotency_key,
            text: forward.text.into(),
        };
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let made = Rc::new(Cell::new(0));
        self.in_hand.borrow_mut().insert(mark, InHand { ticket, made: made.clone() });
        let far = self.clone();
        let as_in = Box::new(move |shard: u32, value: &str| {
            if far.ledger.borrow_mut().answered(mark, shard, value) {
                far.tell(mark, |number| Said::Part { number, shard, value: value.to_string() });
            }
        });
        let (far, parts) = (self.clone(), forward.parts.len());
        let then = Box::new(move |last: QueryResponse| far.ended(mark, last, parts));
        let lent = DelegatedRequest { retries: forward.further, retries_used: made, on_part: as_in };
        self.event_loop.update(|e| e.submit_forwarded(ticket, asked, lent, then));
    }

    fn ended(&self, mark: u64, last: QueryResponse, parts: usize) {
        let made = self.in_hand.borrow_mut().remove(&mark).map_or(0, |h| h.made.get());
        let how = match last {
            QueryResponse::Answered { hits, .. } if hits.len() == parts => How::Done,
            // In part: those not in may have run.
            QueryResponse::Answered { .. } | QueryResponse::Aborted => How::Aborted,
            QueryResponse::Rejected { retry_after } => How::Rejected { stay_away: retry_after },
            QueryResponse::DuplicateId => How::NotHere,
        };
        self.event_loop.counters.add(
            "forwarded",
            match how {
                How::Done => "done",
                How::Rejected { .. } => "rejected",
                _ => "aborted",
            },
        );
        if self.ledger.borrow_mut().ended(mark, how, made) {
            self.tell(mark, |number| Said::End { number, how, made });
        }
    }

    /// Over the newest connection of its lane; without one it waits in the ledger to be asked for.
    fn tell(&self, mark: u64, said: impl FnOnce(u64) -> Said) {
        let Some((lane, number)) = self.ledger.borrow().lane_of(mark) else { return };
        if let Some((_, say)) = self.connections.borrow().get(&lane) {
            say.send(said(number));
        }
    }

    fn given_up(&self, lane: &Lane, number: u64, say: &Say) {
        let Some(mark) = self.ledger.borrow_mut().given_up(lane, number) else { return };
        if let Some(InHand { ticket, made }) = self.in_hand.borrow_mut().remove(&mark) {
            self.event_loop.counters.add("forwarded", "given_up");
            self.event_loop.update(|e| e.client_disconnected(ticket));
            let made = made.get();
            self.ledger.borrow_mut().ended(mark, How::Aborted, made);
            say.send(Said::End { number, how: How::Aborted, made });
        }
    }

    fn tell_again(&self, lane: &Lane, number: u64, say: &Say) {
        let told = self.ledger.borrow_mut().asked(self.event_loop.clock.now(), lane, number);
        let Some(told) = told else {
            say.send(Said::End { number, how: How::Unknown, made: 0 });
            return;
        };
        for (shard, value) in told.answers {
            say.send(Said::Part { number, shard, value });
        }
        if let Some((how, made)) = told.end {
            say.send(Said::End { number, how, made });
        }
    }
}

async fn first(from: &mut OwnedReadHalf, read: &mut BytesMut) -> Result<Said, &'static str> {
    loop {
        match take(read) {
            Ok(Some((said, _))) => return Ok(said),
            Ok(None) => {}
            Err(_) => return Err("bad_bytes"),
        }
        match from.read_buf(read).await {
            Ok(0) => return Err("closed"),
            Ok(_) => {}
            Err(_) => return Err("reset"),
        }
    }
}

/// Writes what is said, in order, as far as the peer's credit goes.
async fn write_out(
    mut to: OwnedWriteHalf,
    mut said: UnboundedReceiver<Said>,
    waiting: Rc<Cell<usize>>,
    credit: u32,
    mut credits: watch::Receiver<u64>,
) {
    let mut spending = Spending::new(credit);
    let mut seen = 0;
    while let Some(next) = said.recv().await {
        loop {
            let all = *credits.borrow_and_update();
            spending.get((all - seen).min(u64::from(u32::MAX)) as u32, u32::MAX);
            seen = all;
            if spending.may() || !next.costs_credit() {
                break;
            }
            if credits.changed().await.is_err() {
                return;
            }
        }
        let bytes = encode(&next);
        if next.costs_credit() {
            spending.spend(bytes.len());
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
        waiting.set(waiting.get() - 1);
    }
}

//! A co-ordinator under a keeper: does what it is told over its link, and says how far it is. All order and all limits
//! are the keeper's (`pipitcrank_handover::upgrade_state`); what each of two processes may spend is `resource_split`'s.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream as StdStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::clock::monotonic_micros;
use pipitcrank_handover::descriptor_passing::{LinkError, LinkReceiver, LinkSender, Received, open_link};
use pipitcrank_handover::messages::{
    RelayedQuery, RelayedResponse, ToPredecessor, ToSuccessor, ToSupervisor, ToWorker, VERSION,
};
use pipitcrank_handover::resource_split;
use pipitcrank_handover::snapshot::Snapshot;
use pipitcrank_handover::upgrade_event::UpgradeCounts;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::clients::acceptor::{AcceptorCommand, AdoptedConnection};
use crate::discovery::client::SharedRevision;
use crate::exchange::{Endpoint, Exchange, QueryResponse};
use crate::runtime::connection_limits::ConnectionLimiter;
use crate::runtime::event_loop::EventLoop;
use crate::upgrade::relay::{self, Relay};

/// How often it looks whether a step is done, and gives a sign of life: a small part of any limit that the operators
/// may set.
const LOOK: Duration = Duration::from_millis(50);

/// What this process knows the list of replicas by before it is told otherwise.
pub struct FirstList {
    pub rev: u64,
    pub rows: Vec<Endpoint>,
}

pub struct Worker {
    pub event_loop: Rc<EventLoop>,
    pub relay: Relay,
    pub acceptor: UnboundedSender<AcceptorCommand>,
    pub clients: ConnectionLimiter,
    pub rev: SharedRevision,
    /// Called once the list is there, from wherever it came.
    pub list_known: Rc<dyn Fn()>,
    pub first_list: Cell<Option<FirstList>>,
    pub tickets: Arc<AtomicU64>,
    pub classes: usize,
    pub shards: u32,
    /// How long a query may be held.
    pub longest: TimeSpan,
    pub end_called: watch::Sender<Option<pipitcrank_core::time::Timestamp>>,
    /// Told to those who take work of others.
    pub leave: Rc<watch::Sender<bool>>,
}

/// The process that hands over, and what goes to it.
struct Old {
    to: LinkSender,
    /// Further calls that stayed with it; none once it is settled.
    lent: Option<u32>,
    /// Our tickets by theirs.
    tickets: Rc<RefCell<BTreeMap<u64, u64>>>,
}

/// The process that takes over.
struct New {
    to: LinkSender,
    kept: u32,
    trusted: bool,
    passing: bool,
    drained: bool,
}

enum Peer {
    Nobody,
    Old(Old),
    New(New),
}

type Link<M> = Option<(LinkReceiver, std::marker::PhantomData<M>)>;

async fn heard<M: serde::de::DeserializeOwned>(link: &mut Link<M>) -> Result<Received<M>, LinkError> {
    match link {
        Some((from, _)) => from.receive().await,
        None => std::future::pending().await,
    }
}

impl Worker {
    /// Obeys until the keeper is gone; then it ends in order, as nobody could upgrade or signal it any more.
    pub async fn obey(self: Rc<Worker>, keeper: StdStream) -> Result<(), LinkError> {
        let (to_keeper, mut from_keeper) = open_link(keeper)?;
        to_keeper.send(&ToSupervisor::Hello { version: VERSION }, None);
        to_keeper.send(&ToSupervisor::Ready, None);
        let mut peer = Peer::Nobody;
        let mut from_old: Link<ToSuccessor> = None;
        let mut from_new: Link<ToPredecessor> = None;
        let mut looks = tokio::time::interval(LOOK);
        looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (pass_on, mut passed_on) = unbounded_channel::<AdoptedConnection>();
        loop {
            tokio::select! {
                said = from_keeper.receive::<ToWorker>() => {
                    let Ok(Received { message: said, descriptor: fd }) = said else {
                        tracing::warn!("the keeper is gone");
                        self.list_as_first_known();
                        self.end_called.send_if_modified(|e| {
                            let first = e.is_none();
                            *e = e.or(Some(self.event_loop.clock.now()));
                            first
                        });
                        return Ok(());
                    };
                    match said {
                        ToWorker::Hello { version: VERSION } => {}
                        ToWorker::Hello { .. } => return Err(LinkError::Malformed),
                        ToWorker::Serve => {
                            let listener = std::net::TcpListener::from(fd.ok_or(LinkError::DescriptorMismatch)?);
                            listener.set_nonblocking(true)?;
                            if matches!(peer, Peer::Nobody) {
                                self.list_as_first_known();
                            }
                            let _ = self.acceptor.send(AcceptorCommand::Accept(TcpListener::from_std(listener)?));
                        }
                        ToWorker::TakeOver => {
                            let (to, from) = open_link(StdStream::from(fd.ok_or(LinkError::DescriptorMismatch)?))?;
                            to.send(&ToPredecessor::Hello { version: VERSION }, None);
                            from_old = Some((from, std::marker::PhantomData));
                            peer = Peer::Old(Old { to, lent: None, tickets: Rc::default() });
                        }
                        ToWorker::HandOver => {
                            let (to, from) = open_link(StdStream::from(fd.ok_or(LinkError::DescriptorMismatch)?))?;
                            to.send(&ToSuccessor::Hello { version: VERSION }, None);
                            from_new = Some((from, std::marker::PhantomData));
                            peer = Peer::New(New { to, kept: 0, trusted: false, passing: false, drained: false });
                        }
                        ToWorker::TransferConnections => {
                            if let Peer::New(new) = &mut peer {
                                new.passing = true;
                                let _ = self.acceptor.send(AcceptorCommand::Pass(pass_on.clone()));
                            }
                        }
                        ToWorker::ContinueAlone => {
                            match std::mem::replace(&mut peer, Peer::Nobody) {
                                Peer::New(new) => self.go_back(new),
                                Peer::Old(old) => self.without_old(old),
                                Peer::Nobody => {}
                            }
                            (from_old, from_new) = (None, None);
                        }
                        ToWorker::UpgradeCounts(UpgradeCounts { requested, completed, rolled_back }) => {
                            for (which, n) in [("asked", requested), ("done", completed), ("undone", rolled_back)] {
                                self.event_loop.counters.set("upgrades", which, n);
                            }
                        }
                    }
                }
                said = heard(&mut from_old) => match said {
                    Ok(Received { message: said, descriptor: fd }) => {
                        if let Peer::Old(old) = &mut peer {
                            self.said_by_old(old, said, fd, &to_keeper);
                        }
                    }
                    Err(end) => {
                        tracing::info!("the link to the old process ended: {end}");
                        from_old = None;
                        if let Peer::Old(old) = &mut peer {
                            // Not before its word is no word at all: then what it might spend is held to be spent.
                            self.settle(old, None);
                        }
                    }
                },
                said = heard(&mut from_new) => match (said, &mut peer) {
                    (Ok(Received { message: ToPredecessor::Hello { version: VERSION }, .. }), Peer::New(new)) => {
                        new.trusted = true;
                        self.hand_over(new);
                    }
                    (Ok(Received { message: ToPredecessor::Response { ticket, response }, .. }), _) => {
                        self.relay.answered(ticket, response);
                    },
                    (Ok(_), _) => {
                        tracing::warn!("the new process speaks another version");
                        from_new = None;
                    }
                    (Err(end), _) => {
                        // Its keeper says what follows; what it had is answered now.
                        tracing::info!("the link to the new process ended: {end}");
                        from_new = None;
                        let stranded = self.relay.end();
                        tracing::warn!("{stranded} queries were with it");
                    }
                },
                Some(AdoptedConnection { stream, read, whole_within }) = passed_on.recv() => {
                    if let (Peer::New(new), Ok(stream)) = (&peer, stream.into_std()) {
                        let whole_within = whole_within.map(|d| TimeSpan::from_secs_f64(d.as_secs_f64()));
                        new.to.send(&ToSuccessor::ClientConnection { read: read.to_vec(), request_timeout: whole_within }, Some(stream.into()));
                    }
                }
                _ = looks.tick() => match &mut peer {
                    Peer::Old(old) if old.lent.is_some() => to_keeper.send(&ToSupervisor::Heartbeat, None),
                    Peer::New(new) if new.trusted => {
                        self.tell_room(new);
                        let own = self.event_loop.read(Exchange::is_drained);
                        if own && !new.drained {
                            new.drained = true;
                            to_keeper.send(&ToSupervisor::Drained, None);
                        }
                        if from_new.is_some() && new.passing && own && self.relay.quiet() && self.clients.open() == 0 && passed_on.is_empty() {
                            let further = self.event_loop.read(|e| e.delegated_retries_used(new.kept));
                            let counters = self.event_loop.counters.all();
                            new.to.send(&ToSuccessor::Finished { delegated_retries_used: further, counters }, None);
                            to_keeper.send(&ToSupervisor::HandedOver, None);
                            peer = Peer::Nobody;
                            // What is queued is written before the tasks that write it end.
                            tokio::time::sleep(LOOK).await;
                            let _ = self.acceptor.send(AcceptorCommand::Done);
                        }
                    }
                    _ => {}
                },
            }
        }
    }

    /// The list that the node configuration names, unless one is held already.
    fn list_as_first_known(&self) {
        if let Some(FirstList { rev, rows }) = self.first_list.take() {
            self.rev.set(Some(rev));
            let now = self.event_loop.clock.now();
            self.event_loop.update(|e| e.update_endpoints(now, true, rows));
            (self.list_known)();
        }
    }

    // As the old one.

    fn hand_over(&self, new: &mut New) {
        let now = self.event_loop.clock.now();
        let snapshot = self
            .event_loop
            .update(|e| e.begin_handover(now, monotonic_micros(), self.rev.get(), self.longest));
        new.kept = snapshot.delegated_retries.count;
        let bytes = snapshot.encode().unwrap_or_else(|e| {
            tracing::error!("what is known can't be handed over: {e}");
            Vec::new()
        });
        tracing::info!("{} bytes of what is known are handed over", bytes.len());
        new.to.send(&ToSuccessor::Snapshot(bytes), None);
        self.tell_room(new);
        self.relay.begin(new.to.clone());
        self.leave.send_replace(true);
    }

    /// What is held here is not the new one's; it only shrinks.
    fn tell_room(&self, new: &New) {
        let (replicas, clients) = (&self.event_loop.replica_connections, &self.clients);
        replicas.set_limit(resource_split::split_connections(replicas.limit(), replicas.open()).predecessor);
        let open = self.event_loop.read(Exchange::open_count) as u32;
        let (replicas, clients) = (replicas.open() as u32, clients.open() as u32);
        let held = ToSuccessor::HeldResources {
            replica_connections: replicas,
            client_connections: clients,
            open_queries: open,
        };
        new.to.send(&held, None);
    }

    fn go_back(&self, new: New) {
        let stranded = self.relay.end();
        if new.trusted {
            tracing::warn!("going on alone; {stranded} queries were with the new process");
            self.event_loop.update(|e| e.resume_alone(self.event_loop.clock.now()));
            self.event_loop.replica_connections.clear_peer_reservation();
            self.leave.send_replace(false);
        }
        if new.passing {
            let _ = self.acceptor.send(AcceptorCommand::Stay);
        }
    }

    // As the new one.

    fn said_by_old(&self, old: &mut Old, said: ToSuccessor, fd: Option<OwnedFd>, to_keeper: &LinkSender) {
        match said {
            ToSuccessor::Hello { version: VERSION } => {}
            ToSuccessor::Hello { version } => {
                tracing::error!("the old process speaks version {version}, not {VERSION}");
                // Not a word more: the keeper's limit ends this try.
                old.lent = None;
            }
            ToSuccessor::Snapshot(bytes) => {
                old.lent = Some(self.learn(&bytes));
                to_keeper.send(&ToSupervisor::StateLoaded, None);
            }
            ToSuccessor::Query(ask) => self.asked(old, ask, None),
            ToSuccessor::QueryWithKey { query: ask, idempotency_key: key } => self.asked(old, ask, Some(key)),
            ToSuccessor::CancelQuery { ticket } => {
                if let Some(ours) = old.tickets.borrow_mut().remove(&ticket) {
                    self.event_loop.update(|e| e.client_disconnected(ours));
                }
            }
            ToSuccessor::HeldResources {
                replica_connections: replicas,
                client_connections: clients,
                open_queries: open,
            } => {
                self.event_loop.replica_connections.reserve_for_peer(replicas as usize);
                self.clients.reserve_for_peer(clients as usize);
                self.event_loop.update(|e| e.set_open_in_peer(open as usize));
            }
            ToSuccessor::ClientConnection { read, request_timeout: whole_within } => {
                let stream = fd.map(std::net::TcpStream::from).ok_or(()).and_then(|s| {
                    s.set_nonblocking(true).map_err(drop)?;
                    TcpStream::from_std(s).map_err(drop)
                });
                if let Ok(stream) = stream {
                    let whole_within = whole_within.map(crate::runtime::clock::duration);
                    let _ = self.acceptor.send(AcceptorCommand::Adopt(AdoptedConnection {
                        stream,
                        read: read.into(),
                        whole_within,
                    }));
                }
            }
            ToSuccessor::Finished { delegated_retries_used: further, counters } => {
                self.event_loop.counters.add_all(counters);
                self.settle(old, Some(further));
            }
        }
    }

    /// How many further calls stayed with the old one.
    fn learn(&self, bytes: &[u8]) -> u32 {
        let now = self.event_loop.clock.now();
        match Snapshot::decode(bytes) {
            Ok(snapshot) => {
                let passed =
                    TimeSpan::from_secs_f64(((monotonic_micros() - snapshot.taken_us).max(0) as f64) / 1e6);
                tracing::info!(
                    replicas = snapshot.replicas.len(),
                    "going on from what was known {} s ago",
                    passed.as_secs_f64()
                );
                self.first_list.take();
                self.rev.set(snapshot.revision);
                let lent = snapshot.delegated_retries.count;
                self.event_loop.update(|e| e.resume_from_predecessor(now, passed, snapshot));
                (self.list_known)();
                lent
            }
            Err(why) => {
                tracing::warn!("what was known is refused ({why}); going by the list alone");
                self.event_loop.counters.add("upgrades", "snapshots_refused");
                self.list_as_first_known();
                // What the other process spent, or may spend, is not known.
                self.event_loop.update(|e| e.resume_alone(now));
                0
            }
        }
    }

    fn asked(&self, old: &Old, ask: RelayedQuery, key: Option<String>) {
        let (theirs, to) = (ask.ticket, old.to.clone());
        let answer = move |response: RelayedResponse| {
            to.send(&ToPredecessor::Response { ticket: theirs, response }, None)
        };
        let Some(asked) = relay::asked(&self.event_loop, self.classes, self.shards, ask, key) else {
            return answer(RelayedResponse::Rejected { retry_after: TimeSpan::ZERO });
        };
        let ours = self.tickets.fetch_add(1, Ordering::Relaxed);
        old.tickets.borrow_mut().insert(theirs, ours);
        let tickets = old.tickets.clone();
        let then = Box::new(move |last: QueryResponse| {
            tickets.borrow_mut().remove(&theirs);
            answer(relay::to_final_words(last));
        });
        self.event_loop.update(|e| e.submit(ours, asked, then));
    }

    /// The old one has said all it had to, or is gone without a word.
    fn settle(&self, old: &mut Old, further: Option<u32>) {
        if let Some(lent) = old.lent.take() {
            let further = further.unwrap_or(lent).min(lent);
            self.event_loop.update(|e| e.settle_with_predecessor(self.event_loop.clock.now(), further));
        }
        self.event_loop.replica_connections.clear_peer_reservation();
        self.clients.clear_peer_reservation();
    }

    fn without_old(&self, mut old: Old) {
        // Guards against an old one that died before it told anything: then the list is all there is.
        if self.first_list.take().map(|f| self.first_list.set(Some(f))).is_some() {
            self.list_as_first_known();
            self.event_loop.update(|e| e.resume_alone(self.event_loop.clock.now()));
        }
        self.settle(&mut old, None);
    }
}

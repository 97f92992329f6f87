//! The replica side: which connection to a replica carries what. Connections are used again while they have streams
//! free; one more is opened only when none has.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pipitcrank_core::ids::{AttemptOutcome, ReplicaId};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::exchange::{AttemptId, ReplicaTransport};
use crate::replicas::connection;
use crate::replicas::connection_end::ConnectionEnd;
use crate::runtime::event_loop::EventLoop;

/// What a connection is given to do, in order.
pub enum ConnectionCommand {
    Call(Vec<AttemptId>),
    GiveUp(Rc<str>),
    Probe,
    /// Asks for a sign of life on this connection.
    Ping,
}

/// A part on a connection, from when it is queued for it until its call has ended.
pub struct AssignedAttempt {
    pub call: AttemptId,
    /// Its id on the wire, once its frame has been begun.
    pub id: Option<Rc<str>>,
    /// Whether its frame was written whole.
    pub written: bool,
}

/// What the replica side and the connection's own task both know of it.
pub struct ConnectionState {
    pub replica: ReplicaId,
    pub jobs: UnboundedSender<ConnectionCommand>,
    /// Within the streams told.
    pub carried: RefCell<Vec<AssignedAttempt>>,
    /// Probes unanswered.
    pub probes: Cell<u32>,
    /// A frame could not be written at once: the other side does not read.
    pub stalled: Cell<bool>,
    /// A frame of the replica's has begun and is not whole.
    pub half_read: Cell<bool>,
    /// Something is out and nothing has come for long.
    pub doubted: Cell<bool>,
    /// Pings unanswered.
    pub pings: Cell<u32>,
    /// Parts given up or answered, of those begun on it.
    pub given_up: RefCell<FinishedIds>,
    /// The replica is not needed any more, or the socket is: it closes when nothing is out on it.
    pub let_go: Cell<bool>,
    /// When it was last given something, by count.
    pub used: Cell<u64>,
}

impl ConnectionState {
    /// Whether it may be given more. Not one that does not take what is written to it or brings nothing: it must not
    /// hold up what another could carry. Nor one with half a frame: if that never ends, it swallows the answers
    /// behind it.
    fn sound(&self) -> bool {
        !self.stalled.get() && !self.half_read.get() && !self.doubted.get() && !self.let_go.get()
    }

    /// Nothing is out on it, nor about to be.
    fn unused(&self) -> bool {
        self.carried.borrow().is_empty() && self.probes.get() == 0 && !self.let_go.get()
    }

    pub fn new(replica: ReplicaId, jobs: UnboundedSender<ConnectionCommand>) -> ConnectionState {
        ConnectionState {
            replica,
            jobs,
            carried: RefCell::default(),
            probes: Cell::default(),
            stalled: Cell::default(),
            half_read: Cell::default(),
            doubted: Cell::default(),
            pings: Cell::default(),
            given_up: RefCell::default(),
            let_go: Cell::default(),
            used: Cell::default(),
        }
    }
}

/// Marks of the last ids that are not waited for any more: what comes for them is late, while an answer for an id
/// never sent is spoilt.
#[derive(Default)]
pub struct FinishedIds(VecDeque<u64>);

impl FinishedIds {
    /// So many, the oldest leave first: some seconds' worth on a busy connection, 4 kB.
    const MOST: usize = 512;

    fn mark(id: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        hasher.finish()
    }

    pub fn add(&mut self, id: &str) {
        if self.0.len() == Self::MOST {
            self.0.pop_front();
        }
        self.0.push_back(Self::mark(id));
    }

    pub fn has(&self, id: &str) -> bool {
        self.0.contains(&Self::mark(id))
    }
}

struct ReplicaConnections {
    address: SocketAddr,
    /// A connection leaves when it ends.
    wires: Vec<Rc<ConnectionState>>,
}

pub struct ReplicaPool {
    event_loop: Rc<EventLoop>,
    this: std::rc::Weak<RefCell<ReplicaPool>>,
    streams: usize,
    way_limit: Duration,
    idle_limit: Duration,
    /// One per replica met; ends when the exchange lets go of it.
    lines: BTreeMap<ReplicaId, ReplicaConnections>,
    /// How often a connection was given something.
    uses: u64,
}

impl ReplicaPool {
    pub fn new(
        event_loop: Rc<EventLoop>,
        streams: usize,
        way_limit: Duration,
        idle_limit: Duration,
    ) -> Rc<RefCell<ReplicaPool>> {
        let replicas = Rc::new_cyclic(|this| {
            let (this, event_loop) = (this.clone(), event_loop.clone());
            RefCell::new(ReplicaPool {
                event_loop,
                this,
                streams,
                way_limit,
                idle_limit,
                lines: BTreeMap::new(),
                uses: 0,
            })
        });
        let ours = Rc::downgrade(&replicas);
        tokio::task::spawn_local(async move {
            loop {
                event_loop.replica_connections.release_requested().await;
                let Some(replicas) = ours.upgrade() else { return };
                replicas.borrow_mut().give_back();
            }
        });
        replicas
    }

    /// Ends the connection that was unused for longest; false where all are in use.
    fn give_back(&mut self) -> bool {
        let unused = self.lines.values().flat_map(|l| &l.wires).filter(|w| w.unused());
        match unused.min_by_key(|w| w.used.get()) {
            Some(wire) => retire([wire.clone()]),
            None => return false,
        }
        self.event_loop.counters.add("leaf_connections", "given_back");
        true
    }

    /// A sound connection with room for so many more parts, opened if need be.
    fn wire(&mut self, replica: ReplicaId, parts: usize) -> Result<Rc<ConnectionState>, ConnectionEnd> {
        self.uses += 1;
        let line = self.lines.get(&replica).ok_or(ConnectionEnd::LetGo)?;
        let room = |w: &&Rc<ConnectionState>| w.sound() && w.carried.borrow().len() + parts <= self.streams;
        if let Some(wire) = line.wires.iter().find(room) {
            wire.used.set(self.uses);
            return Ok(wire.clone());
        }
        let place = self.event_loop.replica_connections.try_acquire();
        // Guards against a replica held to be out of reach while sockets to others stand unused.
        if place.is_none() && !self.give_back() {
            return Err(ConnectionEnd::NoSocket);
        }
        let (jobs, queue) = unbounded_channel();
        let wire = Rc::new(ConnectionState::new(replica, jobs));
        wire.used.set(self.uses);
        let line = self.lines.get_mut(&replica).ok_or(ConnectionEnd::LetGo)?;
        line.wires.push(wire.clone());
        let (event_loop, this, address) = (self.event_loop.clone(), self.this.clone(), line.address);
        let (way_limit, idle_limit, ours) = (self.way_limit, self.idle_limit, wire.clone());
        tokio::task::spawn_local(async move {
            let place = async {
                if place.is_some() { place } else { Some(event_loop.replica_connections.acquire().await) }
            };
            let (end, left) = match tokio::time::timeout(way_limit, place).await {
                Ok(_place) => {
                    connection::run(&event_loop, &ours, queue, address, way_limit, idle_limit).await
                }
                Err(_) => (ConnectionEnd::NoSocket, connection::left(queue)),
            };
            if let Some(replicas) = this.upgrade() {
                replicas.borrow_mut().ended(&ours, end, left);
            }
        });
        Ok(wire)
    }

    /// Whether a connection to the replica has half a frame of its.
    pub fn half_read(&self, replica: ReplicaId) -> bool {
        self.lines.get(&replica).is_some_and(|l| l.wires.iter().any(|w| w.half_read.get()))
    }

    /// A connection has ended: so have all calls on it. But those `left`, not begun when it was closed by
    /// ourselves, go out on another.
    fn ended(&mut self, wire: &Rc<ConnectionState>, end: ConnectionEnd, left: Vec<Vec<AttemptId>>) {
        tracing::debug!("connection to leaf {} ended: {}", wire.replica.0, end.name());
        self.event_loop.counters.add("leaf_connections", end.name());
        if let Some(line) = self.lines.get_mut(&wire.replica) {
            line.wires.retain(|w| !Rc::ptr_eq(w, wire));
        }
        let mut carried = wire.carried.take();
        if matches!(end, ConnectionEnd::Idle | ConnectionEnd::LetGo) {
            for mut parts in left {
                parts.retain(|call| carried.iter().any(|c| c.call == *call));
                carried.retain(|c| !parts.contains(&c.call));
                self.send_attempts(wire.replica, parts);
            }
        }
        for AssignedAttempt { call, written, .. } in carried {
            self.event_loop.update(|e| e.attempt_ended(call, end.outcome(written), None, None));
        }
        // Of a replica let go nothing is told: its index may stand for another by now.
        if wire.probes.get() > 0 && !wire.let_go.get() {
            self.event_loop.update(|e| e.load_probe_ended(wire.replica, end.of_probe(), None));
        }
    }
}

impl ReplicaTransport for ReplicaPool {
    fn set_address(&mut self, replica: ReplicaId, address: SocketAddr) {
        let line = self.lines.entry(replica).or_insert(ReplicaConnections { address, wires: Vec::new() });
        if line.address != address {
            line.address = address;
            retire(std::mem::take(&mut line.wires));
        }
    }

    fn remove_replica(&mut self, replica: ReplicaId) {
        if let Some(line) = self.lines.remove(&replica) {
            retire(line.wires);
        }
    }

    fn send_attempts(&mut self, replica: ReplicaId, parts: Vec<AttemptId>) {
        match self.wire(replica, parts.len()) {
            Ok(wire) => {
                let carried = parts.iter().map(|&call| AssignedAttempt { call, id: None, written: false });
                wire.carried.borrow_mut().extend(carried);
                // The task takes all jobs until it ends, and then ends what is carried.
                let _ = wire.jobs.send(ConnectionCommand::Call(parts));
            }
            Err(end) => {
                self.event_loop.counters.add("leaf_connections", end.name());
                let event_loop = self.event_loop.clone();
                // Not at once: the exchange is in its turn.
                tokio::task::spawn_local(async move {
                    for call in parts {
                        event_loop.update(|e| e.attempt_ended(call, end.outcome(false), None, None));
                    }
                });
            }
        }
    }

    fn cancel_attempt(&mut self, replica: ReplicaId, call: AttemptId) {
        let Some(line) = self.lines.get(&replica) else { return };
        for wire in &line.wires {
            let mut carried = wire.carried.borrow_mut();
            let Some(nth) = carried.iter().position(|c| c.call == call) else { continue };
            if let Some(id) = carried.swap_remove(nth).id {
                wire.given_up.borrow_mut().add(&id);
                let _ = wire.jobs.send(ConnectionCommand::GiveUp(id));
            }
            return;
        }
    }

    fn send_load_probe(&mut self, replica: ReplicaId) {
        if let Ok(wire) = self.wire(replica, 0) {
            wire.probes.set(wire.probes.get() + 1);
            let _ = wire.jobs.send(ConnectionCommand::Probe);
        } else {
            let event_loop = self.event_loop.clone();
            tokio::task::spawn_local(async move {
                event_loop.update(|e| e.load_probe_ended(replica, AttemptOutcome::Unreachable, None))
            });
        }
    }
}

fn retire(wires: impl IntoIterator<Item = Rc<ConnectionState>>) {
    for wire in wires {
        wire.let_go.set(true);
        // Wakes the task, which then sees it; an empty call sends nothing.
        let _ = wire.jobs.send(ConnectionCommand::Call(Vec::new()));
    }
}

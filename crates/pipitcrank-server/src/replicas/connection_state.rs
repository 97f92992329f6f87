//! What the pool and a connection's own task both know of the connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use pipitcrank_core::ids::{AttemptId, ReplicaId};
use tokio::sync::mpsc::UnboundedSender;

/// What a connection is given to do, in order.
pub enum ConnectionCommand {
    /// Send these attempts in one call; none only wakes the connection's task.
    SendCall(Vec<AttemptId>),
    /// Cancel the part of this id.
    Cancel(Rc<str>),
    /// Ask for a load report.
    SendLoadProbe,
    /// Ask for a sign of life on this connection.
    Ping,
}

/// An attempt on a connection, from when it is queued there until it has ended.
pub struct AssignedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The part's id, once the frame has been begun.
    pub part_id: Option<Rc<str>>,
    /// Whether the frame was written whole.
    pub written: bool,
}

/// One connection to a replica.
pub struct ConnectionState {
    /// The replica.
    pub replica: ReplicaId,
    /// To the connection's task.
    pub commands: UnboundedSender<ConnectionCommand>,
    /// Attempts on it, no more than it has streams.
    pub assigned: RefCell<Vec<AssignedAttempt>>,
    /// Load probes unanswered.
    pub probes_pending: Cell<u32>,
    /// Pings unanswered.
    pub pings_pending: Cell<u32>,
    /// A frame could not be written at once: the replica does not read.
    pub write_stalled: Cell<bool>,
    /// A frame of the replica's has begun and is not whole.
    pub partial_frame: Cell<bool>,
    /// Something is out and nothing has come for long.
    pub doubted: Cell<bool>,
    /// Parts cancelled or answered, of those begun on it.
    pub finished: RefCell<FinishedIds>,
    /// The replica or the connection is not needed any more: it closes when nothing is out on it.
    pub not_needed: Cell<bool>,
    /// When it was last used, by the pool's count.
    pub last_use: Cell<u64>,
}

impl ConnectionState {
    /// The state of a connection on which nothing has happened yet.
    pub fn new(replica: ReplicaId, commands: UnboundedSender<ConnectionCommand>) -> ConnectionState {
        ConnectionState {
            replica,
            commands,
            assigned: RefCell::default(),
            probes_pending: Cell::default(),
            pings_pending: Cell::default(),
            write_stalled: Cell::default(),
            partial_frame: Cell::default(),
            doubted: Cell::default(),
            finished: RefCell::default(),
            not_needed: Cell::default(),
            last_use: Cell::default(),
        }
    }

    /// Whether it may be given more: one that does not take what is written, brings nothing, or holds a partial frame that
    /// may swallow the answers behind it must not delay what another connection could carry.
    pub fn is_healthy(&self) -> bool {
        !self.write_stalled.get()
            && !self.partial_frame.get()
            && !self.doubted.get()
            && !self.not_needed.get()
    }

    /// Whether nothing is out on it, nor about to be.
    pub fn is_unused(&self) -> bool {
        self.assigned.borrow().is_empty() && self.probes_pending.get() == 0 && !self.not_needed.get()
    }

    /// Whether something written on it is unanswered.
    pub fn awaits_answer(&self) -> bool {
        self.probes_pending.get() > 0 || self.pings_pending.get() > 0 || self.has_begun_attempt()
    }

    /// Whether a frame of an attempt has been begun on it. Attempts that wait for their first byte can go on another
    /// connection.
    pub fn has_begun_attempt(&self) -> bool {
        self.assigned.borrow().iter().any(|assigned| assigned.part_id.is_some())
    }
}

/// Hashes of the last part ids that are not waited for any more: an answer to one of them is late, while one to an id that
/// was never sent is a protocol error.
#[derive(Default)]
pub struct FinishedIds(VecDeque<u64>);

impl FinishedIds {
    /// Ids remembered: 4 kB. The oldest is forgotten first.
    const MAX: usize = 512;

    fn hash(id: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        hasher.finish()
    }

    /// Remembers an id.
    pub fn add(&mut self, id: &str) {
        if self.0.len() == Self::MAX {
            self.0.pop_front();
        }
        self.0.push_back(Self::hash(id));
    }

    /// Whether the id is remembered.
    pub fn contains(&self, id: &str) -> bool {
        self.0.contains(&Self::hash(id))
    }
}

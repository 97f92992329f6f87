//! The state of a connection that is shared by the pool and the connection's task.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use pipitcrank_core::ids::ReplicaId;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use crate::exchange::AttemptHandle;

/// A command to a connection's task. Commands are executed in order.
pub enum ConnectionCommand {
    /// Send these attempts in one call. An empty list only wakes the task.
    SendCall(Vec<AttemptHandle>),
    /// Cancel the part with this id.
    Cancel(Rc<str>),
    /// Send a load probe.
    SendLoadProbe,
    /// Send a ping to check this connection.
    Ping,
}

/// Progress of the write of an attempt's frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte was written.
    Queued,
    /// The write of the frame has started.
    Started,
    /// The frame was written completely.
    Written,
}

/// An attempt assigned to a connection, from its queueing until its end.
pub struct AssignedAttempt {
    /// The attempt.
    pub attempt: AttemptHandle,
    /// Id of the part on the wire.
    pub part_id: Rc<str>,
    /// Progress of the write of its frame.
    pub progress: SendProgress,
}

impl AssignedAttempt {
    /// Creates the record of an attempt of which no byte was written.
    pub fn queued(attempt: AttemptHandle, part_id: Rc<str>) -> AssignedAttempt {
        AssignedAttempt { attempt, part_id, progress: SendProgress::Queued }
    }

    /// Whether the write of the frame has started.
    pub fn is_started(&self) -> bool {
        self.progress != SendProgress::Queued
    }
}

/// One connection to a replica.
pub struct ConnectionState {
    /// Number of the connection among all that the pool has opened.
    pub number: u64,
    /// The replica.
    pub replica: ReplicaId,
    /// Queue of commands to the connection's task.
    pub commands: UnboundedSender<ConnectionCommand>,
    /// Attempts on the connection, at most one for each stream.
    pub assigned: RefCell<Vec<AssignedAttempt>>,
    /// Number of unanswered load probes.
    pub probes_pending: Cell<u32>,
    /// Number of unanswered pings.
    pub pings_pending: Cell<u32>,
    /// Whether a frame is waiting to be written, for example because the replica does not read.
    pub write_stalled: Cell<bool>,
    /// Whether only part of a frame has been received.
    pub partial_frame: Cell<bool>,
    /// Whether nothing was received for the connect timeout while an answer was pending.
    pub suspected: Cell<bool>,
    /// Parts sent on the connection that were cancelled or answered.
    pub finished: RefCell<FinishedIds>,
    /// Whether the connection is no longer needed and closes as soon as nothing is pending on it.
    pub retired: Cell<bool>,
    /// Notified when the connection is retired.
    pub retirement: Notify,
    /// Value of the pool's use counter at the last use of the connection.
    pub last_use: Cell<u64>,
}

impl ConnectionState {
    /// Creates the state of a new connection.
    pub fn new(
        number: u64,
        replica: ReplicaId,
        commands: UnboundedSender<ConnectionCommand>,
    ) -> ConnectionState {
        ConnectionState {
            number,
            replica,
            commands,
            assigned: RefCell::default(),
            probes_pending: Cell::default(),
            pings_pending: Cell::default(),
            write_stalled: Cell::default(),
            partial_frame: Cell::default(),
            suspected: Cell::default(),
            finished: RefCell::default(),
            retired: Cell::default(),
            retirement: Notify::new(),
            last_use: Cell::default(),
        }
    }

    /// Marks the connection to be closed as soon as nothing is pending on it.
    pub fn retire(&self) {
        self.retired.set(true);
        self.retirement.notify_one();
        // An empty call wakes the task and sends nothing.
        let _ = self.commands.send(ConnectionCommand::SendCall(Vec::new()));
    }

    /// Waits until the connection is retired.
    pub async fn until_retired(&self) {
        while !self.retired.get() {
            self.retirement.notified().await;
        }
    }

    /// Whether the connection accepts further calls. It accepts none if a write is stalled, if it is suspected or
    /// retired, or if it holds a partial frame that may absorb the answers behind it, since another connection could
    /// carry those calls without delay.
    pub fn is_healthy(&self) -> bool {
        !self.write_stalled.get() && !self.partial_frame.get() && !self.suspected.get() && !self.retired.get()
    }

    /// Whether no attempt is assigned to the connection, no load probe is pending, and it is not already retired.
    pub fn is_unused(&self) -> bool {
        self.assigned.borrow().is_empty() && self.probes_pending.get() == 0 && !self.retired.get()
    }

    /// Whether a load probe, a ping or a call on the connection is unanswered.
    pub fn awaits_answer(&self) -> bool {
        self.probes_pending.get() > 0 || self.pings_pending.get() > 0 || self.has_started_attempt()
    }

    /// Whether the frame of an attempt has been started. Attempts without a written byte can still move to another
    /// connection.
    pub fn has_started_attempt(&self) -> bool {
        self.assigned.borrow().iter().any(AssignedAttempt::is_started)
    }
}

/// Hashes of the most recent part ids whose answers are no longer expected. An answer to one of them is late, while an
/// answer to an id that was never sent is a protocol error.
#[derive(Default)]
pub struct FinishedIds(VecDeque<u64>);

impl FinishedIds {
    /// Maximum number of stored hashes, which take 4 kB. The oldest is evicted first.
    const MAX: usize = 512;

    fn hash(id: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        hasher.finish()
    }

    /// Adds an id, and evicts the oldest one if the list is full.
    pub fn add(&mut self, id: &str) {
        if self.0.len() == Self::MAX {
            self.0.pop_front();
        }
        self.0.push_back(Self::hash(id));
    }

    /// Whether the list contains the id.
    pub fn contains(&self, id: &str) -> bool {
        self.0.contains(&Self::hash(id))
    }
}

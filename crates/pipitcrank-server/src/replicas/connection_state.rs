//! The state of a connection that is shared by the pool and the connection's task.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pipitcrank_core::ids::ReplicaId;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use super::finished_parts::FinishedParts;
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
    pub finished: RefCell<FinishedParts>,
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

    /// Whether the connection has carried a part with this id, or is about to. An answer names nothing but its part, so
    /// that it is only certain to which attempt an answer belongs while a connection carries a part id once.
    pub fn has_carried(&self, part_id: &str) -> bool {
        let is_assigned = |assigned: &AssignedAttempt| *assigned.part_id == *part_id;
        self.finished.borrow().contains(part_id) || self.assigned.borrow().iter().any(is_assigned)
    }

    /// Records that an attempt on the connection was cancelled. The connection is retired once it has too many
    /// cancelled parts, for each of which an answer may still come, to remember further ones.
    pub fn part_cancelled(&self, part_id: &str) {
        self.finished.borrow_mut().cancelled(part_id);
        if self.finished.borrow().is_full() && !self.retired.get() {
            self.retire();
        }
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

//! The task that runs one connection to a replica.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use pipitcrank_core::ids::AttemptOutcome;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep_until};

use super::connection_end::ConnectionEnd;
use super::connection_state::{ConnectionCommand, ConnectionState, SendProgress};
use super::frames::{self, LoadReport, ReplicaFrame};
use crate::exchange::{AttemptHandle, REQUEST_LOG_TARGET};
use crate::runtime::counter_names::{dropped_answer, frame, group, replica_connection, shed};
use crate::runtime::dial::dial;
use crate::runtime::event_loop::EventLoop;
use crate::runtime::memory_budget::{MemoryAccount, Reservation};
use crate::runtime::stream::{Expects, Stream};

/// Initial size of the read buffer.
const READ_BUFFER_BYTES: usize = 4096;
/// Memory reserved for a partial frame beyond the initial read buffer: the buffer doubles up to the longest frame.
const LONG_FRAME_BYTES: usize = 2 * frames::MAX_FRAME_BYTES;

/// Time limits of a connection.
#[derive(Clone, Copy)]
pub struct ConnectionTimeouts {
    /// Time limit for establishing the connection, which also serves as the upper bound of a round trip. A frame must
    /// arrive completely within this time. If nothing arrives for this time while an answer is pending, the connection
    /// is suspected and pinged; after twice this time it ends as silent.
    pub connect: Duration,
    /// Time without reads and writes after which the connection is closed if no call is outstanding.
    pub idle: Duration,
}

/// Result of a connection's task.
pub struct ClosedConnection {
    /// Reason for the end.
    pub end: ConnectionEnd,
    /// Calls that were queued on the connection and not started.
    pub unsent: Vec<Vec<AttemptHandle>>,
}

/// Opens the connection and executes its commands until it ends, or until it is retired while it opens.
pub async fn run(
    event_loop: &Rc<EventLoop>,
    state: &ConnectionState,
    mut commands: UnboundedReceiver<ConnectionCommand>,
    address: SocketAddr,
    timeouts: ConnectionTimeouts,
) -> ClosedConnection {
    // Nothing has been written yet, so the calls of a connection that is retired while it opens can move to another.
    let opened = tokio::select! {
        biased;
        () = state.until_retired() => Err(ConnectionEnd::NotNeeded),
        opened = open(address, timeouts.connect) => opened,
    };
    let end = match opened {
        Ok(stream) => {
            event_loop.counters.add(group::REPLICA_CONNECTIONS, replica_connection::OPENED);
            ConnectionTask::new(event_loop, state, &stream, timeouts).serve(&mut commands).await
        }
        Err(end) => end,
    };
    ClosedConnection { end, unsent: unsent_calls(commands) }
}

/// Returns the calls among the commands that the connection's task has not received.
pub fn unsent_calls(mut commands: UnboundedReceiver<ConnectionCommand>) -> Vec<Vec<AttemptHandle>> {
    let rest = std::iter::from_fn(|| commands.try_recv().ok());
    let calls = rest.filter_map(|command| match command {
        ConnectionCommand::SendCall(attempts) => Some(attempts),
        _ => None,
    });
    calls.collect()
}

async fn open(address: SocketAddr, timeout: Duration) -> Result<Stream, ConnectionEnd> {
    match tokio::time::timeout(timeout, dial(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) => {
            tracing::debug!(
                "connection to the replica at {address} failed: {e}; ending its attempts as unreachable"
            );
            Err(ConnectionEnd::Refused)
        }
        Err(_) => Err(ConnectionEnd::ConnectTimeout),
    }
}

/// The unwritten bytes of a frame, with the attempts in the frame.
struct OutgoingFrame {
    bytes: Bytes,
    attempts: Vec<AttemptHandle>,
}

/// Progress of the write of one command.
enum WriteState {
    Idle,
    /// No byte of the command has been written.
    Queued(ConnectionCommand),
    /// The frame has been encoded, and the remaining bytes are still to be written.
    Partial(OutgoingFrame),
}

struct ConnectionTask<'a> {
    event_loop: &'a Rc<EventLoop>,
    state: &'a ConnectionState,
    stream: &'a Stream,
    timeouts: ConnectionTimeouts,
    received: BytesMut,
    /// Memory of a partial frame beyond the initial read buffer.
    frame_memory: Option<Reservation>,
    write_state: WriteState,
    /// Time of the last read or write.
    last_used: Instant,
    /// Arrival time of the first bytes of the frame that is being received.
    frame_started: Instant,
    /// Start of the current period in which an answer is pending and nothing was received.
    silent_since: Option<Instant>,
}

impl<'a> ConnectionTask<'a> {
    fn new(
        event_loop: &'a Rc<EventLoop>,
        state: &'a ConnectionState,
        stream: &'a Stream,
        timeouts: ConnectionTimeouts,
    ) -> ConnectionTask<'a> {
        let now = Instant::now();
        ConnectionTask {
            event_loop,
            state,
            stream,
            timeouts,
            received: BytesMut::with_capacity(READ_BUFFER_BYTES),
            frame_memory: None,
            write_state: WriteState::Idle,
            last_used: now,
            frame_started: now,
            silent_since: None,
        }
    }

    async fn serve(mut self, commands: &mut UnboundedReceiver<ConnectionCommand>) -> ConnectionEnd {
        loop {
            if let Err(end) = self.step(commands).await {
                return end;
            }
        }
    }

    async fn step(
        &mut self,
        commands: &mut UnboundedReceiver<ConnectionCommand>,
    ) -> Result<(), ConnectionEnd> {
        let (state, timeouts) = (self.state, self.timeouts);
        let awaits_answer = state.awaits_answer();
        self.silent_since =
            if awaits_answer { self.silent_since.or_else(|| Some(Instant::now())) } else { None };
        let silent_since = self.silent_since.unwrap_or(self.last_used);
        let is_write_idle = matches!(self.write_state, WriteState::Idle);
        let expects =
            if awaits_answer || state.partial_frame.get() { Expects::More } else { Expects::Nothing };
        if state.retired.get() && state.assigned.borrow().is_empty() && is_write_idle && commands.is_empty() {
            return Err(ConnectionEnd::NotNeeded);
        }
        tokio::select! {
            biased;
            // The idle timeout has priority: a frame written while the replica closes the connection would end with a
            // reset and count as possibly run. A pending load probe does not keep the connection open, since a probe
            // that is unanswered for the idle timeout will not be answered.
            () = sleep_until(self.last_used + timeouts.idle), if is_write_idle && !state.has_started_attempt() => {
                Err(ConnectionEnd::Idle)
            }
            read = self.stream.read_some(&mut self.received, expects) => self.handle_read(read),
            // A frame that stays incomplete would absorb all later answers. The read has priority over this time limit,
            // since after a stall of this process the rest of the frame may be in the socket.
            () = sleep_until(self.frame_started + timeouts.connect), if state.partial_frame.get() => {
                tracing::warn!("replica {} sent an incomplete frame; closing the connection", state.replica.0);
                Err(ConnectionEnd::ProtocolError)
            }
            ready = self.stream.writable(), if !is_write_idle => self.handle_writable(ready).await,
            // A connection may fail silently while its replica is healthy. A replica answers pings even under overload.
            () = sleep_until(silent_since + timeouts.connect), if awaits_answer && !state.suspected.get() => {
                state.suspected.set(true);
                let _ = state.commands.send(ConnectionCommand::Ping);
                Ok(())
            }
            () = sleep_until(silent_since + 2 * timeouts.connect), if awaits_answer && state.suspected.get() => {
                Err(ConnectionEnd::Silent)
            }
            Some(command) = commands.recv(), if is_write_idle => {
                self.write_state = WriteState::Queued(command);
                state.write_stalled.set(true);
                Ok(())
            }
        }
    }

    fn handle_read(&mut self, read: io::Result<usize>) -> Result<(), ConnectionEnd> {
        if read.map_err(|_| ConnectionEnd::Reset)? == 0 {
            return Err(ConnectionEnd::Closed);
        }
        self.last_used = Instant::now();
        self.silent_since = None;
        self.state.suspected.set(false);
        if !self.state.partial_frame.get() {
            self.frame_started = self.last_used;
        }
        loop {
            match frames::take_frame(&mut self.received) {
                Ok(None) => break,
                Ok(Some(frame)) => {
                    self.frame_started = self.last_used;
                    self.handle_frame(frame)?;
                }
                Err(error) => {
                    tracing::warn!(
                        "replica {} sent a malformed frame: {error}; closing the connection",
                        self.state.replica.0
                    );
                    return Err(ConnectionEnd::ProtocolError);
                }
            }
        }
        self.state.partial_frame.set(!self.received.is_empty());
        self.hold_memory()
    }

    /// Reserves memory for a long partial frame, and releases a buffer that has grown for an earlier one.
    fn hold_memory(&mut self) -> Result<(), ConnectionEnd> {
        if self.received.is_empty() && self.received.capacity() > READ_BUFFER_BYTES {
            self.received = BytesMut::with_capacity(READ_BUFFER_BYTES);
        }
        if self.received.len() <= READ_BUFFER_BYTES {
            self.frame_memory = None;
            return Ok(());
        }
        if self.frame_memory.is_none() {
            self.frame_memory = self.event_loop.memory.reserve(MemoryAccount::Frames, LONG_FRAME_BYTES);
        }
        if self.frame_memory.is_some() {
            return Ok(());
        }
        self.event_loop.counters.add(group::SHED, shed::FRAME);
        tracing::warn!(
            "no memory for a frame of replica {}; closing the connection, its attempts may have run",
            self.state.replica.0
        );
        Err(ConnectionEnd::OutOfMemory)
    }

    async fn handle_writable(&mut self, ready: io::Result<()>) -> Result<(), ConnectionEnd> {
        ready.map_err(|_| ConnectionEnd::Reset)?;
        if matches!(self.write_state, WriteState::Queued(ConnectionCommand::SendCall(_))) {
            self.event_loop.yield_after_stall().await;
        }
        let write_state = std::mem::replace(&mut self.write_state, WriteState::Idle);
        self.write_state = self.write(write_state).map_err(|_| ConnectionEnd::Reset)?;
        self.state.write_stalled.set(!matches!(self.write_state, WriteState::Idle));
        self.last_used = Instant::now();
        Ok(())
    }

    /// Makes one write call to the socket and returns the resulting state.
    fn write(&self, write_state: WriteState) -> io::Result<WriteState> {
        let is_new = matches!(write_state, WriteState::Queued(_));
        let frame = match write_state {
            WriteState::Idle => None,
            WriteState::Partial(frame) => Some(frame),
            WriteState::Queued(command) => self.make_frame(command),
        };
        let Some(mut frame) = frame else { return Ok(WriteState::Idle) };
        match self.stream.try_write(&frame.bytes) {
            Ok(n) => frame.bytes.advance(n),
            // The socket was reported writable but accepted nothing. No byte of the call was written, so the call passes
            // the send guard again.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock && is_new && !frame.attempts.is_empty() => {
                return Ok(WriteState::Queued(self.return_unwritten(frame.attempts)));
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        if !frame.bytes.is_empty() {
            return Ok(WriteState::Partial(frame));
        }
        let kind = if frame.attempts.is_empty() { frame::CONTROL } else { frame::CALLS };
        self.event_loop.counters.add(group::FRAMES, kind);
        self.set_progress(&frame.attempts, SendProgress::Written);
        Ok(WriteState::Idle)
    }

    /// Encodes the frame of a command; `None` if it must no longer be sent.
    fn make_frame(&self, command: ConnectionCommand) -> Option<OutgoingFrame> {
        let bytes = match command {
            ConnectionCommand::SendCall(attempts) => return self.make_call(attempts),
            ConnectionCommand::Cancel(id) => frames::encode_cancel(&id),
            ConnectionCommand::SendLoadProbe if self.probe_is_obsolete() => return None,
            ConnectionCommand::SendLoadProbe => frames::encode_load_probe(),
            ConnectionCommand::Ping => {
                self.state.pings_pending.set(self.state.pings_pending.get() + 1);
                frames::encode_ping()
            }
        };
        Some(OutgoingFrame { bytes, attempts: Vec::new() })
    }

    /// Whether a queued load probe must be dropped because its replica has started to drain or was removed. A dropped
    /// probe counts as never sent.
    fn probe_is_obsolete(&self) -> bool {
        let state = self.state;
        if !state.retired.get() && !self.event_loop.read(|e| e.is_draining(state.replica)) {
            return false;
        }
        state.probes_pending.set(state.probes_pending.get().saturating_sub(1));
        if !state.retired.get() {
            self.event_loop.update(|e| e.load_probe_ended(state.replica, AttemptOutcome::NeverSent, None));
        }
        true
    }

    fn make_call(&self, mut attempts: Vec<AttemptHandle>) -> Option<OutgoingFrame> {
        let (event_loop, state) = (self.event_loop, self.state);
        // An attempt that was cancelled while it was queued is not assigned any more.
        let is_queued = |attempt: &AttemptHandle| {
            let assigned = state.assigned.borrow();
            assigned.iter().any(|assigned| assigned.attempt == *attempt && !assigned.is_started())
        };
        attempts.retain(is_queued);
        let now = event_loop.clock.now();
        let allowed = event_loop.update(|e| e.authorize_send(now, state.replica, &mut attempts));
        // Attempts that the send guard dropped have ended and are no longer outstanding.
        let is_outstanding = |attempt| event_loop.read(|e| e.is_outstanding(attempt));
        state.assigned.borrow_mut().retain(|a| a.is_started() || is_outstanding(a.attempt));
        if allowed.is_empty() {
            return None;
        }
        self.set_progress(&attempts, SendProgress::Started);
        Some(OutgoingFrame { bytes: frames::encode_call(&allowed), attempts })
    }

    fn set_progress(&self, attempts: &[AttemptHandle], progress: SendProgress) {
        for assigned in self.state.assigned.borrow_mut().iter_mut() {
            if attempts.contains(&assigned.attempt) {
                assigned.progress = progress;
            }
        }
    }

    fn return_unwritten(&self, attempts: Vec<AttemptHandle>) -> ConnectionCommand {
        self.set_progress(&attempts, SendProgress::Queued);
        self.event_loop.update(|e| e.return_unwritten(&attempts));
        ConnectionCommand::SendCall(attempts)
    }

    fn handle_frame(&self, frame: ReplicaFrame) -> Result<(), ConnectionEnd> {
        let state = self.state;
        match frame {
            ReplicaFrame::Answer { id, outcome, report, value } => {
                self.handle_answer(&id, outcome, report, value)
            }
            ReplicaFrame::Load(outcome, report) => self.handle_load(outcome, report),
            ReplicaFrame::Pong(_) => {
                let pending = state.pings_pending.get().checked_sub(1).ok_or(ConnectionEnd::ProtocolError)?;
                state.pings_pending.set(pending);
                Ok(())
            }
            ReplicaFrame::Error(text) => {
                tracing::warn!(
                    "replica {} rejected a frame: {text}; closing the connection",
                    state.replica.0
                );
                Err(ConnectionEnd::RejectedByPeer)
            }
        }
    }

    fn handle_answer(
        &self,
        id: &str,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
        value: String,
    ) -> Result<(), ConnectionEnd> {
        let (event_loop, state) = (self.event_loop, self.state);
        let mut assigned = state.assigned.borrow_mut();
        let Some(position) = assigned.iter().position(|a| a.is_started() && *a.part_id == *id) else {
            return self.drop_answer(id);
        };
        let attempt = assigned.swap_remove(position).attempt;
        tracing::debug!(target: REQUEST_LOG_TARGET, part = id, attempt = attempt.id.number, generation = attempt.generation, replica = state.replica.0, connection = state.number, retired = state.retired.get(), "answer received");
        // A second answer to the part counts as late.
        state.finished.borrow_mut().answered(id);
        event_loop.counters.add(group::FRAMES, frame::ANSWERS);
        let value = (outcome == AttemptOutcome::Success).then_some(value);
        event_loop.update(|e| e.attempt_ended(attempt, outcome, value, report));
        Ok(())
    }

    /// Drops an answer that belongs to no attempt on the connection.
    fn drop_answer(&self, id: &str) -> Result<(), ConnectionEnd> {
        let (counters, state) = (&self.event_loop.counters, self.state);
        let (replica, connection) = (state.replica.0, state.number);
        if state.finished.borrow().contains(id) {
            state.finished.borrow_mut().answered(id);
            counters.add(group::FRAMES, frame::LATE_ANSWERS);
            counters.add(group::DROPPED_ANSWERS, dropped_answer::PART_ENDED);
            tracing::debug!(target: REQUEST_LOG_TARGET, part = id, replica, connection, "answer dropped: its part was cancelled or answered before");
            return Ok(());
        }
        counters.add(group::DROPPED_ANSWERS, dropped_answer::UNKNOWN_PART);
        // The id may have been corrupted. Its part would then never be answered, so the connection is closed.
        tracing::warn!(
            part = ?id,
            connection,
            "replica {replica} sent an answer for an unknown part id; closing the connection"
        );
        Err(ConnectionEnd::ProtocolError)
    }

    fn handle_load(&self, outcome: AttemptOutcome, report: Option<LoadReport>) -> Result<(), ConnectionEnd> {
        let state = self.state;
        let Some(pending) = state.probes_pending.get().checked_sub(1) else {
            tracing::warn!(
                "replica {} sent a load report without a load probe; closing the connection",
                state.replica.0
            );
            return Err(ConnectionEnd::ProtocolError);
        };
        state.probes_pending.set(pending);
        if !state.retired.get() {
            self.event_loop.update(|e| e.load_probe_ended(state.replica, outcome, report));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

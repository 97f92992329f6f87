//! The task of one connection to a replica, from its opening to its end.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use pipitcrank_core::ids::{AttemptId, AttemptOutcome};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep_until};

use super::connection_end::ConnectionEnd;
use super::connection_state::{ConnectionCommand, ConnectionState};
use super::frames::{self, LoadReport, ReplicaFrame};
use crate::runtime::counter_names::{frame, group, replica_connection};
use crate::runtime::dial::dial;
use crate::runtime::event_loop::EventLoop;
use crate::runtime::stream::{Expects, Stream};

/// Initial size of the read buffer, in bytes.
const READ_BUFFER: usize = 4096;

/// Time limits of a connection.
#[derive(Clone, Copy)]
pub struct ConnectionTimeouts {
    /// For it to come up. It stands for the longest round trip as well: a frame that has begun is whole within it, and a
    /// connection with something out that brings nothing for so long is doubted and pinged, then counts as silent.
    pub connect: Duration,
    /// After which it is closed when nothing is out on it.
    pub idle: Duration,
}

/// How a connection ended.
pub struct ClosedConnection {
    /// Why it ended.
    pub end: ConnectionEnd,
    /// Calls queued on it that were not begun.
    pub unsent: Vec<Vec<AttemptId>>,
}

/// Opens the connection and serves its commands until it ends.
pub async fn run(
    event_loop: &Rc<EventLoop>,
    state: &ConnectionState,
    mut commands: UnboundedReceiver<ConnectionCommand>,
    address: SocketAddr,
    timeouts: ConnectionTimeouts,
) -> ClosedConnection {
    let end = match open(address, timeouts.connect).await {
        Ok(stream) => {
            event_loop.counters.add(group::REPLICA_CONNECTIONS, replica_connection::OPENED);
            ConnectionTask::new(event_loop, state, &stream, timeouts).serve(&mut commands).await
        }
        Err(end) => end,
    };
    ClosedConnection { end, unsent: unsent_calls(commands) }
}

/// The calls among commands that were not taken.
pub fn unsent_calls(mut commands: UnboundedReceiver<ConnectionCommand>) -> Vec<Vec<AttemptId>> {
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
            tracing::debug!("connecting to {address} failed: {e}");
            Err(ConnectionEnd::Refused)
        }
        Err(_) => Err(ConnectionEnd::ConnectTimeout),
    }
}

/// A frame on its way out, and the attempts in it.
struct OutgoingFrame {
    bytes: Bytes,
    attempts: Vec<AttemptId>,
}

/// What is being written.
enum Writing {
    Nothing,
    /// A command of which no byte has been written.
    Next(ConnectionCommand),
    /// The rest of a frame.
    Rest(OutgoingFrame),
}

struct ConnectionTask<'a> {
    event_loop: &'a Rc<EventLoop>,
    state: &'a ConnectionState,
    stream: &'a Stream,
    timeouts: ConnectionTimeouts,
    received: BytesMut,
    writing: Writing,
    /// When something was last read or written.
    last_used: Instant,
    /// When the frame that is being read has begun.
    frame_begun: Instant,
    /// Since when something is out and nothing has come.
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
            received: BytesMut::with_capacity(READ_BUFFER),
            writing: Writing::Nothing,
            last_used: now,
            frame_begun: now,
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
        let writes_nothing = matches!(self.writing, Writing::Nothing);
        let expects =
            if awaits_answer || state.partial_frame.get() { Expects::More } else { Expects::Nothing };
        if state.not_needed.get()
            && state.assigned.borrow().is_empty()
            && writes_nothing
            && commands.is_empty()
        {
            return Err(ConnectionEnd::NotNeeded);
        }
        tokio::select! {
            biased;
            // First: a frame written into a connection that the replica closes at that moment would end as a reset and count as
            // having run. Load probes don't keep a connection: one unanswered for so long will stay unanswered.
            () = sleep_until(self.last_used + timeouts.idle), if writes_nothing && !state.has_begun_attempt() => {
                Err(ConnectionEnd::Idle)
            }
            read = self.stream.read_some(&mut self.received, expects) => self.handle_read(read),
            // A frame that never ends would swallow all later answers. After the read: a process that stalled for so long finds
            // the frame's end there.
            () = sleep_until(self.frame_begun + timeouts.connect), if state.partial_frame.get() => {
                tracing::warn!("replica {} did not end a frame", state.replica.0);
                Err(ConnectionEnd::ProtocolError)
            }
            ready = self.stream.writable(), if !writes_nothing => self.handle_writable(ready).await,
            // A connection may fall silent while its replica is well; a replica answers a ping however much it has to do.
            () = sleep_until(silent_since + timeouts.connect), if awaits_answer && !state.doubted.get() => {
                state.doubted.set(true);
                let _ = state.commands.send(ConnectionCommand::Ping);
                Ok(())
            }
            () = sleep_until(silent_since + 2 * timeouts.connect), if awaits_answer && state.doubted.get() => {
                Err(ConnectionEnd::Silent)
            }
            Some(command) = commands.recv(), if writes_nothing => {
                self.writing = Writing::Next(command);
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
        self.state.doubted.set(false);
        if !self.state.partial_frame.get() {
            self.frame_begun = self.last_used;
        }
        loop {
            match frames::take_frame(&mut self.received) {
                Ok(None) => break,
                Ok(Some(frame)) => {
                    self.frame_begun = self.last_used;
                    self.handle_frame(frame)?;
                }
                Err(error) => {
                    tracing::warn!("replica {} sent a malformed frame: {error}", self.state.replica.0);
                    return Err(ConnectionEnd::ProtocolError);
                }
            }
        }
        self.state.partial_frame.set(!self.received.is_empty());
        Ok(())
    }

    async fn handle_writable(&mut self, ready: io::Result<()>) -> Result<(), ConnectionEnd> {
        ready.map_err(|_| ConnectionEnd::Reset)?;
        if matches!(self.writing, Writing::Next(ConnectionCommand::SendCall(_))) {
            self.event_loop.yield_after_stall().await;
        }
        let writing = std::mem::replace(&mut self.writing, Writing::Nothing);
        self.writing = self.write(writing).map_err(|_| ConnectionEnd::Reset)?;
        self.state.write_stalled.set(!matches!(self.writing, Writing::Nothing));
        self.last_used = Instant::now();
        Ok(())
    }

    /// Writes once; returns what is left.
    fn write(&self, writing: Writing) -> io::Result<Writing> {
        let is_new = matches!(writing, Writing::Next(_));
        let frame = match writing {
            Writing::Nothing => None,
            Writing::Rest(frame) => Some(frame),
            Writing::Next(command) => self.make_frame(command),
        };
        let Some(mut frame) = frame else { return Ok(Writing::Nothing) };
        match self.stream.try_write(&frame.bytes) {
            Ok(n) => frame.bytes.advance(n),
            // The socket looked writable and took nothing: no byte of the call is out, so it passes the send guard again.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock && is_new && !frame.attempts.is_empty() => {
                return Ok(Writing::Next(self.return_unwritten(frame.attempts)));
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        if !frame.bytes.is_empty() {
            return Ok(Writing::Rest(frame));
        }
        let kind = if frame.attempts.is_empty() { frame::CONTROL } else { frame::CALLS };
        self.event_loop.counters.add(group::FRAMES, kind);
        for assigned in self.state.assigned.borrow_mut().iter_mut() {
            assigned.written |= frame.attempts.contains(&assigned.attempt);
        }
        Ok(Writing::Nothing)
    }

    /// The frame of a command; none if it is not to be sent any more.
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

    /// A load probe may wait for its connection while its replica starts to drain or is removed; it then counts as never sent.
    fn probe_is_obsolete(&self) -> bool {
        let state = self.state;
        if !state.not_needed.get() && !self.event_loop.read(|e| e.is_draining(state.replica)) {
            return false;
        }
        state.probes_pending.set(state.probes_pending.get().saturating_sub(1));
        if !state.not_needed.get() {
            self.event_loop.update(|e| e.load_probe_ended(state.replica, AttemptOutcome::NeverSent, None));
        }
        true
    }

    fn make_call(&self, mut attempts: Vec<AttemptId>) -> Option<OutgoingFrame> {
        let (event_loop, state) = (self.event_loop, self.state);
        // An attempt cancelled while it was queued here may share its number with one of another part that is queued on another
        // connection to the replica.
        let is_waiting = |attempt: &AttemptId| {
            let assigned = state.assigned.borrow();
            assigned.iter().any(|assigned| assigned.attempt == *attempt && assigned.part_id.is_none())
        };
        attempts.retain(is_waiting);
        let now = event_loop.clock.now();
        let allowed = event_loop.update(|e| e.authorize_send(now, state.replica, &mut attempts));
        let mut assigned = state.assigned.borrow_mut();
        // An attempt that was not authorized has ended.
        assigned.retain(|a| a.part_id.is_some() || event_loop.read(|e| e.is_in_flight(a.attempt)));
        if allowed.is_empty() {
            return None;
        }
        for (part, attempt) in allowed.iter().zip(&attempts) {
            if let Some(assigned) = assigned.iter_mut().find(|assigned| assigned.attempt == *attempt) {
                assigned.part_id = Some(part.id.clone());
            }
        }
        Some(OutgoingFrame { bytes: frames::encode_call(&allowed), attempts })
    }

    fn return_unwritten(&self, attempts: Vec<AttemptId>) -> ConnectionCommand {
        for assigned in self.state.assigned.borrow_mut().iter_mut() {
            if attempts.contains(&assigned.attempt) {
                assigned.part_id = None;
            }
        }
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
                let rest = state.pings_pending.get().checked_sub(1).ok_or(ConnectionEnd::ProtocolError)?;
                state.pings_pending.set(rest);
                Ok(())
            }
            ReplicaFrame::Error(text) => {
                tracing::warn!("replica {} could not use a frame: {text}", state.replica.0);
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
        let Some(position) = assigned.iter().position(|a| a.part_id.as_deref() == Some(id)) else {
            if state.finished.borrow().contains(id) {
                event_loop.counters.add(group::FRAMES, frame::LATE_ANSWERS);
                return Ok(());
            }
            // The part whose id was garbled would be waited for in vain.
            tracing::warn!("replica {} answered a part that was not sent", state.replica.0);
            return Err(ConnectionEnd::ProtocolError);
        };
        let attempt = assigned.swap_remove(position).attempt;
        // A second answer to it is harmless.
        state.finished.borrow_mut().add(id);
        event_loop.counters.add(group::FRAMES, frame::ANSWERS);
        let value = (outcome == AttemptOutcome::Success).then_some(value);
        event_loop.update(|e| e.attempt_ended(attempt, outcome, value, report));
        Ok(())
    }

    fn handle_load(&self, outcome: AttemptOutcome, report: Option<LoadReport>) -> Result<(), ConnectionEnd> {
        let state = self.state;
        let Some(rest) = state.probes_pending.get().checked_sub(1) else {
            tracing::warn!("replica {} answered a load probe that was not sent", state.replica.0);
            return Err(ConnectionEnd::ProtocolError);
        };
        state.probes_pending.set(rest);
        if !state.not_needed.get() {
            self.event_loop.update(|e| e.load_probe_ended(state.replica, outcome, report));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

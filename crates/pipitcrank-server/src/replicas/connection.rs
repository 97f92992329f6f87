//! One connection to a replica, from its opening to its end.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use pipitcrank_core::ids::AttemptOutcome;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use crate::exchange::AttemptId;
use crate::replicas::connection_end::ConnectionEnd;
use crate::replicas::frames::{self, ReplicaFrame};
use crate::replicas::pool::{ConnectionCommand, ConnectionState};
use crate::runtime::dial::dial;
use crate::runtime::event_loop::EventLoop;
use crate::runtime::stream::{Expects, Stream};

/// What is being written: nothing, a job whose first byte has not gone, or the rest of a frame.
enum Writing {
    Nothing,
    Next(ConnectionCommand),
    Rest(Bytes, Vec<AttemptId>),
}

/// `way_limit`, the time told for a connection to come up, stands for the longest way there and back: a frame begun
/// is whole within it, and a connection with something out that brings nothing for so long is doubted, then pinged,
/// then held to be silent. How the connection ended, and the calls that were still to be begun on it.
pub async fn run(
    event_loop: &Rc<EventLoop>,
    wire: &ConnectionState,
    mut jobs: UnboundedReceiver<ConnectionCommand>,
    address: SocketAddr,
    way_limit: Duration,
    idle_limit: Duration,
) -> (ConnectionEnd, Vec<Vec<AttemptId>>) {
    let end = match open(address, way_limit).await {
        Ok(stream) => {
            event_loop.counters.add("leaf_connections", "opened");
            serve(event_loop, wire, &mut jobs, stream, way_limit, idle_limit).await
        }
        Err(end) => end,
    };
    (end, left(jobs))
}

/// The calls that were still to be begun.
pub fn left(mut jobs: UnboundedReceiver<ConnectionCommand>) -> Vec<Vec<AttemptId>> {
    let left = std::iter::from_fn(|| jobs.try_recv().ok());
    left.filter_map(|job| if let ConnectionCommand::Call(parts) = job { Some(parts) } else { None }).collect()
}

async fn open(address: SocketAddr, limit: Duration) -> Result<Stream, ConnectionEnd> {
    match tokio::time::timeout(limit, dial(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) => {
            tracing::debug!("no connection to {address}: {e}");
            Err(ConnectionEnd::Refused)
        }
        Err(_) => Err(ConnectionEnd::NeverUp),
    }
}

async fn serve(
    event_loop: &Rc<EventLoop>,
    wire: &ConnectionState,
    jobs: &mut UnboundedReceiver<ConnectionCommand>,
    stream: Stream,
    way_limit: Duration,
    idle_limit: Duration,
) -> ConnectionEnd {
    let mut buffer = BytesMut::with_capacity(4096);
    let mut writing = Writing::Nothing;
    let mut used = Instant::now();
    let mut begun = used;
    // Since when something is out and nothing has come.
    let mut quiet: Option<Instant> = None;
    loop {
        quiet = if waiting(wire) { quiet.or_else(|| Some(Instant::now())) } else { None };
        let quiet_since = quiet.unwrap_or(used);
        let nothing = matches!(writing, Writing::Nothing);
        let more = waiting(wire) || wire.half_read.get();
        let expects = if more { Expects::More } else { Expects::Nothing };
        if wire.let_go.get() && wire.carried.borrow().is_empty() && nothing && jobs.is_empty() {
            return ConnectionEnd::LetGo;
        }
        tokio::select! {
            biased;
            // Guards against a frame written into a connection that the replica closes at that moment: it would end
            // as a reset and count as having run.
            () = tokio::time::sleep_until(used + idle_limit), if nothing && idle(wire) => {
                return ConnectionEnd::Idle;
            }
            read = stream.read_some(&mut buffer, expects) => match read {
                Ok(0) => return ConnectionEnd::Closed,
                Err(_) => return ConnectionEnd::Reset,
                Ok(_) => {
                    used = Instant::now();
                    quiet = None;
                    wire.doubted.set(false);
                    if !wire.half_read.get() {
                        begun = used;
                    }
                    loop {
                        match frames::take(&mut buffer) {
                            Ok(None) => break,
                            Ok(Some(frame)) => {
                                begun = used;
                                if let Err(end) = took(event_loop, wire, frame) {
                                    return end;
                                }
                            }
                            Err(bad) => {
                                tracing::warn!("leaf {} sent a bad frame: {bad}", wire.replica.0);
                                return ConnectionEnd::BadBytes;
                            }
                        }
                    }
                    wire.half_read.set(!buffer.is_empty());
                }
            },
            // Guards against a frame that never ends: it would swallow all later answers. After the read: a process that was
            // held up for so long finds its end there.
            () = tokio::time::sleep_until(begun + way_limit), if wire.half_read.get() => {
                tracing::warn!("leaf {} did not end a frame", wire.replica.0);
                return ConnectionEnd::BadBytes;
            }
            ready = stream.writable(), if !nothing => {
                if ready.is_err() {
                    return ConnectionEnd::Reset;
                }
                if matches!(writing, Writing::Next(ConnectionCommand::Call(_))) {
                    event_loop.catch_up().await;
                }
                writing = match write(event_loop, wire, &stream, writing) {
                    Ok(writing) => writing,
                    Err(_) => return ConnectionEnd::Reset,
                };
                wire.stalled.set(!matches!(writing, Writing::Nothing));
                used = Instant::now();
            }
            // Guards against a connection that has fallen silent while its replica is well: it took call after call, and
            // what was out on it made the replica look jammed. A replica answers this however much it has to do.
            () = tokio::time::sleep_until(quiet_since + way_limit), if quiet.is_some() && !wire.doubted.get() => {
                wire.doubted.set(true);
                let _ = wire.jobs.send(ConnectionCommand::Ping);
            }
            () = tokio::time::sleep_until(quiet_since + 2 * way_limit), if quiet.is_some() && wire.doubted.get() => {
                return ConnectionEnd::Silent;
            }
            Some(job) = jobs.recv(), if nothing => {
                writing = Writing::Next(job);
                wire.stalled.set(true);
            }
        }
    }
}

/// Something written on it is unanswered.
fn waiting(wire: &ConnectionState) -> bool {
    wire.probes.get() > 0 || wire.pings.get() > 0 || wire.carried.borrow().iter().any(|c| c.id.is_some())
}

/// Nothing begun on it is out: parts that wait for their first byte don't count, they can go on another. Nor do
/// probes: one that was not answered for so long will not be, and would keep a silent connection for ever.
fn idle(wire: &ConnectionState) -> bool {
    wire.carried.borrow().iter().all(|c| c.id.is_none())
}

/// One step of writing.
fn write(
    event_loop: &Rc<EventLoop>,
    wire: &ConnectionState,
    to: &Stream,
    writing: Writing,
) -> io::Result<Writing> {
    let begins = matches!(writing, Writing::Next(_));
    let (mut rest, parts) = match writing {
        Writing::Nothing => return Ok(Writing::Nothing),
        Writing::Rest(rest, parts) => (rest, parts),
        Writing::Next(ConnectionCommand::GiveUp(id)) => (frames::give_up(&id), Vec::new()),
        // Guards against a probe that waited for its connection while its replica was told to drain or went.
        Writing::Next(ConnectionCommand::Probe)
            if wire.let_go.get() || event_loop.read(|e| e.is_draining(wire.replica)) =>
        {
            wire.probes.set(wire.probes.get().saturating_sub(1));
            if !wire.let_go.get() {
                event_loop.update(|e| e.load_probe_ended(wire.replica, AttemptOutcome::NeverSent, None));
            }
            return Ok(Writing::Nothing);
        }
        Writing::Next(ConnectionCommand::Probe) => (frames::load_probe(), Vec::new()),
        Writing::Next(ConnectionCommand::Ping) => {
            wire.pings.set(wire.pings.get() + 1);
            (frames::ping(), Vec::new())
        }
        Writing::Next(ConnectionCommand::Call(mut parts)) => {
            // Guards against a call given up while it was queued here, whose number is by now that of another part's call on
            // another connection to the replica: it went out here, and its answer was taken for one that nobody asked for.
            let waits =
                |call: &AttemptId| wire.carried.borrow().iter().any(|c| c.call == *call && c.id.is_none());
            parts.retain(waits);
            let going =
                event_loop.update(|e| e.authorize_send(event_loop.clock.now(), wire.replica, &mut parts));
            let mut carried = wire.carried.borrow_mut();
            // What was not released has ended.
            carried.retain(|c| c.id.is_some() || event_loop.read(|e| e.is_in_flight(c.call)));
            if going.is_empty() {
                return Ok(Writing::Nothing);
            }
            for (part, call) in going.iter().zip(&parts) {
                if let Some(c) = carried.iter_mut().find(|c| c.call == *call) {
                    c.id = Some(part.id.clone());
                }
            }
            (frames::call(&going), parts)
        }
    };
    match to.try_write(&rest) {
        Ok(n) => rest.advance(n),
        // Guards against a socket that looked writable and took nothing: no byte of the call has gone, so it is
        // looked at once more when it does.
        Err(e) if e.kind() == io::ErrorKind::WouldBlock && begins && !parts.is_empty() => {
            for c in wire.carried.borrow_mut().iter_mut().filter(|c| parts.contains(&c.call)) {
                c.id = None;
            }
            event_loop.update(|e| e.return_unwritten(&parts));
            return Ok(Writing::Next(ConnectionCommand::Call(parts)));
        }
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    if !rest.is_empty() {
        return Ok(Writing::Rest(rest, parts));
    }
    event_loop.counters.add("frames", if parts.is_empty() { "small_sent" } else { "calls_sent" });
    for c in wire.carried.borrow_mut().iter_mut().filter(|c| parts.contains(&c.call)) {
        c.written = true;
    }
    Ok(Writing::Nothing)
}

/// Deals with one frame of the replica's.
fn took(
    event_loop: &Rc<EventLoop>,
    wire: &ConnectionState,
    frame: ReplicaFrame,
) -> Result<(), ConnectionEnd> {
    match frame {
        ReplicaFrame::Answer { id, outcome, report, value } => {
            let mut carried = wire.carried.borrow_mut();
            let Some(nth) = carried.iter().position(|c| c.id.as_deref() == Some(&*id)) else {
                if wire.given_up.borrow().has(&id) {
                    event_loop.counters.add("frames", "late_answers");
                    return Ok(());
                }
                // Guards against waiting in vain for the part whose id was spoilt.
                tracing::warn!("leaf {} answered what it was not asked", wire.replica.0);
                return Err(ConnectionEnd::BadBytes);
            };
            let call = carried.swap_remove(nth).call;
            // Its second copy is harmless.
            wire.given_up.borrow_mut().add(&id);
            event_loop.counters.add("frames", "answers");
            let value = (outcome == AttemptOutcome::Success).then_some(value);
            event_loop.update(|e| e.attempt_ended(call, outcome, value, report));
        }
        ReplicaFrame::Load(outcome, report) => {
            let Some(before) = wire.probes.get().checked_sub(1) else {
                tracing::warn!("leaf {} answered a probe that was not sent", wire.replica.0);
                return Err(ConnectionEnd::BadBytes);
            };
            wire.probes.set(before);
            if !wire.let_go.get() {
                event_loop.update(|e| e.load_probe_ended(wire.replica, outcome, report));
            }
        }
        ReplicaFrame::Alive(_) => {
            wire.pings.set(wire.pings.get().checked_sub(1).ok_or(ConnectionEnd::BadBytes)?);
        }
        ReplicaFrame::Complaint(words) => {
            tracing::warn!("leaf {} could not use a frame: {words}", wire.replica.0);
            return Err(ConnectionEnd::Complaint);
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;

//! One connection to a leaf, from its opening to its end.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hyper_util::client::legacy::connect::HttpConnector;
use pipitcrank::ids::Ending;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;
use tower_service::Service;

use crate::ends::ConnectionEnd;
use crate::exchange::CallNo;
use crate::frames::{self, FromLeaf};
use crate::hall::Hall;
use crate::leaves::{Job, Wire};

/// What is being written: nothing, a job whose first byte has not gone, or the rest of a frame.
enum Writing {
    Nothing,
    Next(Job),
    Rest(Bytes, Vec<CallNo>),
}

/// How the connection ended, and the calls that were still to be begun on it.
pub async fn run(
    hall: &Rc<Hall>,
    wire: &Wire,
    mut jobs: UnboundedReceiver<Job>,
    address: SocketAddr,
    dial_limit: Duration,
    idle_limit: Duration,
) -> (ConnectionEnd, Vec<Vec<CallNo>>) {
    let end = match open(address, dial_limit).await {
        Ok(stream) => {
            hall.counters.add("leaf_connections", "opened");
            serve(hall, wire, &mut jobs, stream, idle_limit).await
        }
        Err(end) => end,
    };
    let left = std::iter::from_fn(|| jobs.try_recv().ok());
    let left = left.filter_map(|job| if let Job::Call(parts) = job { Some(parts) } else { None });
    (end, left.collect())
}

async fn open(address: SocketAddr, limit: Duration) -> Result<TcpStream, ConnectionEnd> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let uri = format!("http://{address}").parse().map_err(|_| ConnectionEnd::Refused)?;
    match tokio::time::timeout(limit, connector.call(uri)).await {
        Ok(Ok(stream)) => Ok(stream.into_inner()),
        Ok(Err(e)) => {
            log::debug!("no connection to {address}: {e}");
            Err(ConnectionEnd::Refused)
        }
        Err(_) => Err(ConnectionEnd::NeverUp),
    }
}

async fn serve(
    hall: &Rc<Hall>,
    wire: &Wire,
    jobs: &mut UnboundedReceiver<Job>,
    stream: TcpStream,
    idle_limit: Duration,
) -> ConnectionEnd {
    let (mut from, to) = stream.into_split();
    let mut buffer = BytesMut::with_capacity(4096);
    let mut writing = Writing::Nothing;
    let mut used = Instant::now();
    loop {
        let nothing = matches!(writing, Writing::Nothing);
        if wire.let_go.get() && wire.carried.borrow().is_empty() && nothing && jobs.is_empty() {
            return ConnectionEnd::LetGo;
        }
        tokio::select! {
            biased;
            // Guards against a frame written into a connection that the leaf closes at that moment: it would end
            // as a reset and count as having run.
            () = tokio::time::sleep_until(used + idle_limit), if nothing && idle(wire) => {
                return ConnectionEnd::Idle;
            }
            read = from.read_buf(&mut buffer) => match read {
                Ok(0) => return ConnectionEnd::Closed,
                Err(_) => return ConnectionEnd::Reset,
                Ok(_) => {
                    used = Instant::now();
                    loop {
                        match frames::take(&mut buffer) {
                            Ok(None) => break,
                            Ok(Some(frame)) => if let Err(end) = took(hall, wire, frame) {
                                return end;
                            },
                            Err(bad) => {
                                log::warn!("leaf {} sent a bad frame: {bad}", wire.leaf.0);
                                return ConnectionEnd::BadBytes;
                            }
                        }
                    }
                }
            },
            ready = to.writable(), if !nothing => {
                if ready.is_err() {
                    return ConnectionEnd::Reset;
                }
                writing = match write(hall, wire, &to, writing) {
                    Ok(writing) => writing,
                    Err(_) => return ConnectionEnd::Reset,
                };
                wire.stalled.set(!matches!(writing, Writing::Nothing));
                used = Instant::now();
            }
            Some(job) = jobs.recv(), if nothing => {
                writing = Writing::Next(job);
                wire.stalled.set(true);
            }
        }
    }
}

/// Nothing begun on it is out: parts that wait for their first byte don't count, they can go on another. Nor do
/// probes: one that was not answered for so long will not be, and would keep a silent connection for ever.
fn idle(wire: &Wire) -> bool {
    wire.carried.borrow().iter().all(|c| c.id.is_none())
}

/// One step of writing.
fn write(hall: &Rc<Hall>, wire: &Wire, to: &OwnedWriteHalf, writing: Writing) -> io::Result<Writing> {
    let (mut rest, parts) = match writing {
        Writing::Nothing => return Ok(Writing::Nothing),
        Writing::Rest(rest, parts) => (rest, parts),
        Writing::Next(Job::GiveUp(id)) => (frames::give_up(&id), Vec::new()),
        Writing::Next(Job::Probe) => (frames::load_probe(), Vec::new()),
        Writing::Next(Job::Call(mut parts)) => {
            let going = hall.tell(|e| e.release(hall.clock.now(), wire.leaf, &mut parts));
            let mut carried = wire.carried.borrow_mut();
            // What was not released has ended.
            carried.retain(|c| c.id.is_some() || hall.ask(|e| e.is_out(c.call)));
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
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    if !rest.is_empty() {
        return Ok(Writing::Rest(rest, parts));
    }
    hall.counters.add("frames", if parts.is_empty() { "small_sent" } else { "calls_sent" });
    for c in wire.carried.borrow_mut().iter_mut().filter(|c| parts.contains(&c.call)) {
        c.written = true;
    }
    Ok(Writing::Nothing)
}

/// Deals with one frame of the leaf's.
fn took(hall: &Rc<Hall>, wire: &Wire, frame: FromLeaf) -> Result<(), ConnectionEnd> {
    match frame {
        FromLeaf::Answer { id, ending, report, value } => {
            let mut carried = wire.carried.borrow_mut();
            let Some(nth) = carried.iter().position(|c| c.id.as_deref() == Some(&*id)) else {
                // Given up before it came.
                hall.counters.add("frames", "late_answers");
                return Ok(());
            };
            let call = carried.swap_remove(nth).call;
            hall.counters.add("frames", "answers");
            let value = (ending == Ending::Pass).then_some(value);
            hall.tell(|e| e.ended(call, ending, value, report));
        }
        FromLeaf::Load(ending, report) => {
            let Some(before) = wire.probes.get().checked_sub(1) else {
                log::warn!("leaf {} answered a probe that was not sent", wire.leaf.0);
                return Err(ConnectionEnd::BadBytes);
            };
            wire.probes.set(before);
            hall.tell(|e| e.probed(wire.leaf, ending, report));
        }
        // We send no plain probes; whoever answers one is not spoken to any more.
        FromLeaf::Alive(_) => return Err(ConnectionEnd::BadBytes),
        FromLeaf::Complaint(words) => {
            log::warn!("leaf {} could not use a frame: {words}", wire.leaf.0);
            return Err(ConnectionEnd::Complaint);
        }
    }
    Ok(())
}

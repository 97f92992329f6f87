//! Client connections: accepting them, seeing them off, and ending them in order after SIGTERM.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::header::CONNECTION;
use axum::http::{HeaderValue, Request};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::Instant;
use tower_service::Service;

use crate::accept_queue::{AcceptQueue, Accepted, ClosingQueue, Next};
use crate::audit::{Rule, violated};
use crate::client_connections::{ClientConnection, ClientConnections, Doing};
use crate::clock::duration;
use crate::counters::Counters;
use crate::ends::ConnectionEnd;
use crate::front::{Arrival, EndCalled};
use crate::hall::{Place, Sockets};
use crate::request_reader::{BEHIND_PAUSE, BEHIND_PIECE, Framing, Heads, RequestReader};
use crate::shutdown::ShutdownSchedule;
use crate::stream::{Expects, Stream};

/// Longest request head taken: with all places for clients in use, heads and bodies stay under a quarter of the
/// memory told.
const LONGEST_HEAD: usize = 16 * 1024;
/// How often connections are looked over: a tenth of the second that is to spare where one has to end by a time.
const LOOK: Duration = Duration::from_millis(50);
/// Of the places for clients, one in so many is kept free for who comes next.
const SPARE: usize = 8;

/// What a client sends on while it has our last answer is thrown away, so that no reset takes the answer from it:
/// for so long at most, so much, and only while it goes on; in pieces with a pause, as it must not cost the others
/// the processor. That is enough for the largest bodies that clients are known to send.
const SEE_OFF: Duration = Duration::from_secs(5);
const SEE_OFF_BYTES: usize = 64 << 20;
const SEE_OFF_SILENT: Duration = Duration::from_millis(500);
const SEE_OFF_PIECE: usize = 64 * 1024;
const SEE_OFF_PAUSE: Duration = Duration::from_millis(2);

/// What a client gets whose request did not come whole.
const TOO_SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// So long is a client left to read a last word of ours: others may wait for its place.
const LAST_WORD_READ: Duration = Duration::from_millis(250);

/// What a client gets who waited in the accept queue at the end, when there was no place, how long its request is waited
/// for before, and how many are seen off so at a time: a descriptor each, of those that no side has.
const NO_PLACE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const NO_PLACE_WAIT: Duration = Duration::from_millis(50);
const NO_PLACE_AT_ONCE: usize = 12;

/// What the acceptor is told from outside.
pub enum Order {
    /// Accept there.
    Accept(TcpListener),
    /// Serve a connection that another process had.
    Adopt(Adopted),
    /// Accept no more, and pass on each connection as soon as it rests.
    Pass(UnboundedSender<Adopted>),
    /// Pass on no more.
    Stay,
    /// All has been passed on.
    Done,
}

/// A connection on its way between processes: what had been read of a request, which has to be whole within that.
pub struct Adopted {
    pub stream: TcpStream,
    pub read: Bytes,
    pub whole_within: Option<Duration>,
}

/// What connections do as soon as they rest.
#[derive(Clone)]
enum Mood {
    Stay,
    Leave,
    Pass(UnboundedSender<Adopted>),
}

/// What each connection's task is given.
struct Rounds {
    router: Router,
    counters: Counters,
    connections: Rc<ClientConnections>,
    mood: watch::Receiver<Mood>,
    /// At the end a connection leaves when nothing came on it for so long.
    idle: Duration,
}

impl Rounds {
    /// `waited`: how long a new one may have waited to be accepted.
    fn receive(&self, place: Option<Place>, come: Adopted, waited: Option<Duration>) {
        let new = waited.is_some();
        self.counters.add("clients", if new { "accepted" } else { "adopted" });
        let (router, counters, mood) = (self.router.clone(), self.counters.clone(), self.mood.clone());
        let idle = self.idle;
        let (connections, connection) = (self.connections.clone(), self.connections.enter(Instant::now()));
        match waited {
            Some(waited) => connection.waited(waited),
            None => connection.goes_on(Instant::now(), come.whole_within),
        }
        tokio::task::spawn_local(async move {
            let end = serve(come, router, &connection, mood, idle).await;
            counters.add("clients", end.name());
            if end.is_ours() && connection.doing() == Doing::Open {
                violated(&counters, Rule::ClosedUnanswered, "of a connection", end.name());
            }
            connections.leave(&connection);
            drop(place);
        });
    }

    fn accepted(&self, place: Option<Place>, accepted: Accepted) {
        let Accepted { stream, waited } = accepted;
        let come = Adopted { stream, read: Bytes::new(), whole_within: None };
        self.receive(place, come, Some(waited));
    }

    /// Takes what waits in the accept queue as the listening ends; the listener while some may be left. Guards against
    /// clients reset that connected before it closed: more of them than there are places, or than descriptors.
    fn take_the_rest(
        &self,
        queue: ClosingQueue,
        clients: &Sockets,
        turned_away: &Rc<()>,
    ) -> Option<ClosingQueue> {
        loop {
            let place = clients.place();
            if place.is_none() && Rc::strong_count(turned_away) > NO_PLACE_AT_ONCE {
                return Some(queue);
            }
            match queue.next() {
                Next::Client(accepted) => {
                    if place.is_some() {
                        self.accepted(place, accepted);
                        continue;
                    }
                    self.counters.add("clients", "turned_away_at_the_end");
                    let counted = turned_away.clone();
                    tokio::task::spawn_local(async move {
                        turn_away(accepted.stream).await;
                        drop(counted);
                    });
                }
                Next::Empty | Next::Broken => return None,
                Next::Failing => return Some(queue),
            }
        }
    }
}

/// Accepts as ordered. After the end was called and the time to stay has passed, or no listener is left to it, it closes the
/// listener, so that clients are refused and not dropped, answers what has come, and returns when all is quiet:
/// connections that are at nothing by the time of the last answer, the others with their answer.
pub async fn keep(
    mut orders: UnboundedReceiver<Order>,
    router: Router,
    clients: Sockets,
    counters: Counters,
    schedule: ShutdownSchedule,
    mut end_called: EndCalled,
    quiet: impl Fn() -> bool,
) {
    let (moods, mood) = watch::channel(Mood::Stay);
    let (stay, idle, last) = (schedule.stay, schedule.idle, schedule.last_answer);
    let (stay, idle, last) = (duration(stay), duration(idle), duration(last));
    let queue_until = duration(schedule.queue_until);
    let connections = Rc::new(ClientConnections::default());
    let rounds = Rounds { router, counters, connections: connections.clone(), mood, idle };
    let mut listener: Option<AcceptQueue> = None;
    // At the end, until its queue is empty.
    let mut rest: Option<ClosingQueue> = None;
    let turned_away = Rc::new(());
    let mut since: Option<Instant> = None;
    let mut leaving = false;
    let mut looks = tokio::time::interval(LOOK);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        // Without a place the rest waits in the accept queue.
        let place = if listener.is_some() { clients.place() } else { None };
        tokio::select! {
            accepted = accept(&listener), if place.is_some() => match accepted {
                Ok(accepted) => rounds.accepted(place, accepted),
                Err(e) => {
                    tracing::error!("no longer listening, as the listener broke: {e}");
                    listener = None;
                }
            },
            Some(order) = orders.recv() => match order {
                Order::Accept(new) => {
                    listener = (!leaving).then(|| AcceptQueue::new(new, rounds.counters.clone()));
                    moods.send_if_modified(|m| {
                        let passing = matches!(m, Mood::Pass(_));
                        if passing {
                            *m = Mood::Stay;
                        }
                        passing
                    });
                }
                Order::Adopt(come) => {
                    drop(place);
                    rounds.receive(Some(clients.place_taken_over()), come, None);
                }
                Order::Pass(to) => {
                    listener = None;
                    moods.send_if_modified(|m| {
                        *m = Mood::Pass(to);
                        true
                    });
                }
                Order::Stay => { moods.send_replace(Mood::Stay); }
                Order::Done => return,
            },
            Ok(()) = end_called.changed(), if since.is_none() => {
                tracing::info!("asked to end");
                since = Some(Instant::now());
            }
            () = more(&clients), if listener.is_some() && place.is_none() => {}
            _ = looks.tick() => {
                drop(place);
                // At the end all that is at nothing gives way.
                let short = if leaving { usize::MAX } else { (clients.most().div_ceil(SPARE)).saturating_sub(clients.free()) };
                connections.look(Instant::now(), short);
                if since.is_none_or(|s| s.elapsed() < stay) {
                    continue;
                }
                if !leaving {
                    leaving = true;
                    rest = listener.take().and_then(AcceptQueue::close);
                    // Idle connections end now, busy ones with their answer.
                    moods.send_replace(Mood::Leave);
                }
                let over = since.is_some_and(|s| s.elapsed() >= last);
                let too_late = since.is_some_and(|s| s.elapsed() >= queue_until);
                if let Some(queue) = rest.take() {
                    rest = rounds.take_the_rest(queue, &clients, &turned_away).filter(|_| !too_late);
                    if rest.is_none() {
                        tracing::info!("no longer listening");
                    }
                }
                // Guards against half a request found by the kill: it gets its answer, too.
                if over {
                    connections.end();
                }
                if connections.none() && Rc::strong_count(&turned_away) == 1 && rest.is_none() && quiet() {
                    return;
                }
            }
        }
    }
}

/// Ends when there may be a place again, after asking for one that the leaf side does not need.
async fn more(clients: &Sockets) {
    let freed = clients.freed();
    clients.want();
    freed.await;
}

async fn accept(listener: &Option<AcceptQueue>) -> std::io::Result<Accepted> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

/// A client for whom there is no place is told so at once, and not left to a reset.
async fn turn_away(stream: TcpStream) {
    let (stream, mut piece) = (Stream::new(stream), Vec::with_capacity(LONGEST_HEAD));
    // Guards against a reset that takes the answer with it: what it has asked is read.
    let _ = tokio::time::timeout(NO_PLACE_WAIT, stream.read_some(&mut piece, Expects::More)).await;
    last_word(&stream, NO_PLACE).await;
}

/// Says that, and lets the client read it for a while: others may wait for its place.
async fn last_word(stream: &Stream, word: &[u8]) {
    let said = async {
        if stream.write_all(word).await.is_ok() {
            see_off(stream).await;
        }
    };
    let _ = tokio::time::timeout(LAST_WORD_READ, said).await;
}

async fn serve(
    come: Adopted,
    router: Router,
    connection: &Rc<ClientConnection>,
    mut mood: watch::Receiver<Mood>,
    idle: Duration,
) -> ConnectionEnd {
    let Adopted { stream, read, .. } = come;
    let stream = Rc::new(Stream::new(stream));
    let heads = Rc::new(RefCell::new(Heads::new(LONGEST_HEAD)));
    let reader = RequestReader {
        stream: stream.clone(),
        connection: connection.clone(),
        heads: heads.clone(),
        ended: false,
        before: read,
        behind: 0,
        pause: None,
    };
    let moods = mood.clone();
    let service = service_fn(|request| {
        Box::pin(answer(router.clone(), connection.clone(), heads.clone(), moods.clone(), request))
    });
    let mut serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // Client connections have limits of their own, from connecting on.
        .header_read_timeout(None)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(TokioIo::new(reader), service);
    let mut now = mood.borrow_and_update().clone();
    let end = loop {
        tokio::select! {
            // Guards against a connection closed for its silence with a request of the client's unread.
            biased;
            served = std::future::poll_fn(|cx| serving.poll_without_shutdown(cx)) => break match served {
                Ok(()) if matches!(now, Mood::Leave) => ConnectionEnd::LetGo,
                Ok(()) => ConnectionEnd::Closed,
                Err(e) if e.is_parse() => ConnectionEnd::BadBytes,
                Err(_) => ConnectionEnd::Reset,
            },
            () = connection.called_to_leave() => match connection.doing() {
                Doing::Idle => return ConnectionEnd::Idle,
                Doing::Begun if connection.is_flushed() => {
                    last_word(&stream, TOO_SLOW).await;
                    return ConnectionEnd::Silent;
                }
                _ => return ConnectionEnd::Silent,
            },
            // Guards against a close that is not seen behind bytes which the library does not read on from.
            () = closes_behind_body(&stream, connection) => return ConnectionEnd::Closed,
            Ok(()) = mood.changed() => now = mood.borrow_and_update().clone(),
            () = connection.rests(matches!(now, Mood::Pass(_)), idle), if !matches!(now, Mood::Stay) => {
                let Mood::Pass(to) = now else { break ConnectionEnd::LetGo };
                let whole_within = connection.whole_within(Instant::now());
                let parts = serving.into_parts();
                let RequestReader { stream: ours, before, .. } = parts.io.into_inner();
                drop(ours);
                // What the library has read and not used, and what had come before and was not read by it.
                let read = [&parts.read_buf[..], &before[..]].concat().into();
                let Some(stream) = Rc::into_inner(stream) else { return ConnectionEnd::Reset };
                let _ = to.send(Adopted { stream: stream.into_tcp(), read, whole_within });
                return ConnectionEnd::Passed;
            }
        }
    };
    let reader = serving.into_parts().io.into_inner();
    if !reader.ended && end != ConnectionEnd::Reset {
        connection.turns_to(Doing::Parting, Instant::now());
        tokio::select! {
            () = see_off(&stream) => {}
            () = connection.called_to_leave() => {}
        }
    }
    end
}

/// Ends when the client closes behind a request whose body came whole in chunks. Where a chunked body ends only the library
/// knows, and it reads no further where it has bytes behind it that it can't use yet; so those are read off here.
async fn closes_behind_body(stream: &Stream, connection: &ClientConnection) {
    connection.body_is_whole().await;
    let (mut piece, mut read) = (Vec::with_capacity(SEE_OFF_PIECE), 0);
    loop {
        piece.clear();
        match stream.read_some(&mut piece, Expects::More).await {
            Ok(n) if n > 0 => read += n,
            _ => return,
        }
        if read > BEHIND_PIECE {
            read = 0;
            tokio::time::sleep(BEHIND_PAUSE).await;
        }
    }
}

/// One request of a connection, from its head to its answer.
async fn answer(
    router: Router,
    connection: Rc<ClientConnection>,
    heads: Rc<RefCell<Heads>>,
    mood: watch::Receiver<Mood>,
    mut request: Request<Incoming>,
) -> Result<axum::response::Response, std::convert::Infallible> {
    connection.turns_to(Doing::Open, Instant::now());
    // Seen by the reader alone: of a request framed both ways the library shows one only.
    let framing = heads.borrow().framing();
    let whole = match framing {
        Some(Framing::Chunked) => connection.body_comes(),
        _ => Arc::default(),
    };
    let mixed = framing == Some(Framing::Mixed);
    let (whole_by, unread) = (connection.whole_by(), connection.take_waited());
    request.extensions_mut().insert(Arrival { whole_by, mixed, whole, unread });
    let answered = { router }.call(request.map(Body::new)).await;
    let mut heads = heads.borrow_mut();
    let follows = heads.may_follow() && !matches!(*mood.borrow(), Mood::Leave);
    heads.next();
    connection.turns_to(Doing::Idle, Instant::now());
    answered.map(|mut response| {
        if !follows {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if response.headers().get(CONNECTION).is_some_and(|v| v == "close") {
            connection.ends();
        }
        response
    })
}

/// Says that nothing more comes from us, and lets the client read that in peace.
async fn see_off(stream: &Stream) {
    if stream.shut_down().is_err() {
        return;
    }
    let until = Instant::now() + SEE_OFF;
    let (mut piece, mut left) = (Vec::with_capacity(SEE_OFF_PIECE), SEE_OFF_BYTES);
    while left > 0 && Instant::now() < until {
        piece.clear();
        match tokio::time::timeout(SEE_OFF_SILENT, stream.read_some(&mut piece, Expects::More)).await {
            Ok(Ok(n)) if n > 0 => left = left.saturating_sub(n),
            _ => return,
        }
        tokio::time::sleep(SEE_OFF_PAUSE).await;
    }
}

#[cfg(test)]
mod tests;

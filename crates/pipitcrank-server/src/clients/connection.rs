//! One client's connection, from its acceptance to its end: HTTP as the library serves it, closes that the library does not
//! see, and a last word before a close of ours.

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
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::Instant;
use tower_service::Service;

use crate::clients::client_connections::{ClientConnection, ConnectionPhase};
use crate::clients::http::Arrival;
use crate::clients::request_reader::{BEHIND_PAUSE, BEHIND_PIECE, Framing, HeadTracker, RequestReader};
use crate::replicas::connection_end::ConnectionEnd;
use crate::runtime::stream::{Expects, Stream};

/// Longest request head taken: with all places for clients in use, heads and bodies stay under a quarter of the
/// memory told.
const LONGEST_HEAD: usize = 16 * 1024;
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

/// What a client gets who waited in the accept queue at the end, when there was no place, and how long its request is waited
/// for before.
const NO_PLACE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const NO_PLACE_WAIT: Duration = Duration::from_millis(50);

/// A connection on its way between processes: what had been read of a request, which has to be whole within that.
pub struct AdoptedConnection {
    pub stream: TcpStream,
    pub read: Bytes,
    pub request_timeout: Option<Duration>,
}

/// What connections do as soon as they rest.
#[derive(Clone)]
pub enum ConnectionMode {
    Stay,
    Leave,
    Transfer(UnboundedSender<AdoptedConnection>),
}

/// A client for whom there is no place is told so at once, and not left to a reset.
pub async fn turn_away(stream: TcpStream) {
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

/// Serves one connection until its end; says how it ended.
pub async fn serve(
    come: AdoptedConnection,
    router: Router,
    connection: &Rc<ClientConnection>,
    mut mood: watch::Receiver<ConnectionMode>,
    idle: Duration,
) -> ConnectionEnd {
    let AdoptedConnection { stream, read, .. } = come;
    let stream = Rc::new(Stream::new(stream));
    let heads = Rc::new(RefCell::new(HeadTracker::new(LONGEST_HEAD)));
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
                Ok(()) if matches!(now, ConnectionMode::Leave) => ConnectionEnd::NotNeeded,
                Ok(()) => ConnectionEnd::Closed,
                Err(e) if e.is_parse() => ConnectionEnd::ProtocolError,
                Err(_) => ConnectionEnd::Reset,
            },
            () = connection.called_to_leave() => match connection.doing() {
                ConnectionPhase::Idle => return ConnectionEnd::Idle,
                ConnectionPhase::Begun if connection.is_flushed() => {
                    last_word(&stream, TOO_SLOW).await;
                    return ConnectionEnd::Silent;
                }
                _ => return ConnectionEnd::Silent,
            },
            // Guards against a close that is not seen behind bytes which the library does not read on from.
            () = closes_behind_body(&stream, connection) => return ConnectionEnd::Closed,
            Ok(()) = mood.changed() => now = mood.borrow_and_update().clone(),
            () = connection.rests(matches!(now, ConnectionMode::Transfer(_)), idle), if !matches!(now, ConnectionMode::Stay) => {
                let ConnectionMode::Transfer(to) = now else { break ConnectionEnd::NotNeeded };
                let whole_within = connection.whole_within(Instant::now());
                let parts = serving.into_parts();
                let RequestReader { stream: ours, before, .. } = parts.io.into_inner();
                drop(ours);
                // What the library has read and not used, and what had come before and was not read by it.
                let read = [&parts.read_buf[..], &before[..]].concat().into();
                let Some(stream) = Rc::into_inner(stream) else { return ConnectionEnd::Reset };
                let _ = to.send(AdoptedConnection { stream: stream.into_tcp(), read, request_timeout: whole_within });
                return ConnectionEnd::HandedOver;
            }
        }
    };
    let reader = serving.into_parts().io.into_inner();
    if !reader.ended && end != ConnectionEnd::Reset {
        connection.turns_to(ConnectionPhase::Parting, Instant::now());
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
    heads: Rc<RefCell<HeadTracker>>,
    mood: watch::Receiver<ConnectionMode>,
    mut request: Request<Incoming>,
) -> Result<axum::response::Response, std::convert::Infallible> {
    connection.turns_to(ConnectionPhase::Open, Instant::now());
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
    let follows = heads.may_follow() && !matches!(*mood.borrow(), ConnectionMode::Leave);
    heads.next();
    connection.turns_to(ConnectionPhase::Idle, Instant::now());
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

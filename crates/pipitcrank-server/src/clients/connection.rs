//! One client's connection, from its acceptance to its end: HTTP as the library serves it, closes that the library does not
//! see, and a last answer before a close by this side.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::header::CONNECTION;
use axum::http::{HeaderValue, Request};
use axum::response::Response;
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

use super::arrival::Arrival;
use super::client_connections::{ClientConnection, ConnectionPhase};
use super::linger::{REQUEST_TIMEOUT, linger, send_last};
use super::request_reader::{DISCARD_PAUSE, DISCARD_PIECE, Framing, HeadTracker, RequestReader};
use crate::replicas::connection_end::ConnectionEnd;
use crate::runtime::stream::{Expects, Stream};

/// Longest request head taken, in bytes: with all permits in use, heads and bodies stay under a quarter of the memory limit.
const MAX_HEAD: usize = 16 * 1024;
/// Bytes behind a chunked body that are read in one go.
const PIECE: usize = 64 * 1024;

/// A connection on its way between processes.
pub struct AdoptedConnection {
    /// The connection.
    pub stream: TcpStream,
    /// What was read of a request.
    pub read: Bytes,
    /// Time left for that request to be whole.
    pub request_timeout: Option<Duration>,
}

/// What connections do as soon as they rest.
#[derive(Clone)]
pub enum ConnectionMode {
    /// They stay open.
    Serve,
    /// They are closed.
    Drain,
    /// They are handed over to another process.
    Transfer(UnboundedSender<AdoptedConnection>),
}

/// Serves one connection until its end; returns how it ended. `idle`: while draining, it is closed when nothing came on it
/// for so long.
pub async fn serve(
    adopted: AdoptedConnection,
    router: Router,
    connection: &Rc<ClientConnection>,
    mut modes: watch::Receiver<ConnectionMode>,
    idle: Duration,
) -> ConnectionEnd {
    let stream = Rc::new(Stream::new(adopted.stream));
    let heads = Rc::new(RefCell::new(HeadTracker::new(MAX_HEAD)));
    let reader = RequestReader::new(stream.clone(), connection.clone(), heads.clone(), adopted.read);
    let answer_modes = modes.clone();
    let service = service_fn(|request| {
        let (router, connection) = (router.clone(), connection.clone());
        Box::pin(answer(router, connection, heads.clone(), answer_modes.clone(), request))
    });
    let mut serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // Client connections have time limits of their own, from connecting on.
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(reader), service);
    let mut mode = modes.borrow_and_update().clone();
    let end = loop {
        let is_transfer = matches!(mode, ConnectionMode::Transfer(_));
        tokio::select! {
            // In this order: a request of the client's may lie unread when the connection is to be closed for its silence.
            biased;
            served = std::future::poll_fn(|cx| serving.poll_without_shutdown(cx)) => break end_of(served, &mode),
            () = connection.close_requested() => return close(&stream, connection).await,
            // The library does not read on behind bytes that it can't use yet, and would miss a close there.
            () = closed_behind_body(&stream, connection) => return ConnectionEnd::Closed,
            Ok(()) = modes.changed() => mode = modes.borrow_and_update().clone(),
            () = connection.rest(is_transfer, idle), if !matches!(mode, ConnectionMode::Serve) => {
                let ConnectionMode::Transfer(successor) = mode else { break ConnectionEnd::NotNeeded };
                let request_timeout = connection.request_time_left(Instant::now());
                let parts = serving.into_parts();
                // What the library has read and not used, and what came before and was not read by it.
                let read = [&parts.read_buf[..], &parts.io.into_inner().into_unread()[..]].concat().into();
                let Some(stream) = Rc::into_inner(stream) else { return ConnectionEnd::Reset };
                let _ = successor.send(AdoptedConnection { stream: stream.into_tcp(), read, request_timeout });
                return ConnectionEnd::HandedOver;
            }
        }
    };
    let reader = serving.into_parts().io.into_inner();
    if !reader.is_closed() && end != ConnectionEnd::Reset {
        connection.set_phase(ConnectionPhase::Lingering, Instant::now());
        tokio::select! {
            () = linger(&stream) => {}
            () = connection.close_requested() => {}
        }
    }
    end
}

/// How the library's end of serving ends the connection.
fn end_of(served: hyper::Result<()>, mode: &ConnectionMode) -> ConnectionEnd {
    match served {
        Ok(()) if matches!(mode, ConnectionMode::Drain) => ConnectionEnd::NotNeeded,
        Ok(()) => ConnectionEnd::Closed,
        Err(error) if error.is_parse() => ConnectionEnd::ProtocolError,
        Err(_) => ConnectionEnd::Reset,
    }
}

/// Closes a connection that was asked to close.
async fn close(stream: &Stream, connection: &ClientConnection) -> ConnectionEnd {
    match connection.phase() {
        ConnectionPhase::Idle => ConnectionEnd::Idle,
        ConnectionPhase::Reading if connection.is_flushed() => {
            send_last(stream, REQUEST_TIMEOUT).await;
            ConnectionEnd::Silent
        }
        _ => ConnectionEnd::Silent,
    }
}

/// Ends when the client closes behind a request whose body came whole in chunks. Only the library knows where a chunked body
/// ends, and it reads no further where it has bytes behind it that it can't use yet; so those are read and discarded here.
async fn closed_behind_body(stream: &Stream, connection: &ClientConnection) {
    connection.chunked_body_complete().await;
    let (mut piece, mut read) = (Vec::with_capacity(PIECE), 0);
    loop {
        piece.clear();
        match stream.read_some(&mut piece, Expects::More).await {
            Ok(n) if n > 0 => read += n,
            _ => return,
        }
        if read > DISCARD_PIECE {
            read = 0;
            tokio::time::sleep(DISCARD_PAUSE).await;
        }
    }
}

/// Answers one request of a connection.
async fn answer(
    router: Router,
    connection: Rc<ClientConnection>,
    heads: Rc<RefCell<HeadTracker>>,
    mode: watch::Receiver<ConnectionMode>,
    mut request: Request<Incoming>,
) -> Result<Response, std::convert::Infallible> {
    connection.set_phase(ConnectionPhase::Answering, Instant::now());
    // Seen by the reader alone: of a request framed both ways the library shows one only.
    let framing = heads.borrow().framing();
    let body = match framing {
        Some(Framing::Chunked) => connection.expect_chunked_body(),
        _ => Arc::default(),
    };
    let ambiguous_framing = framing == Some(Framing::Ambiguous);
    let (deadline, accept_wait) = (connection.request_deadline(), connection.take_accept_wait());
    request.extensions_mut().insert(Arrival { deadline, ambiguous_framing, body, accept_wait });
    let answered = { router }.call(request.map(Body::new)).await;
    let mut heads = heads.borrow_mut();
    let may_follow = heads.may_follow() && !matches!(*mode.borrow(), ConnectionMode::Drain);
    heads.next();
    connection.set_phase(ConnectionPhase::Idle, Instant::now());
    answered.map(|mut response| {
        if !may_follow {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if response.headers().get(CONNECTION).is_some_and(|value| value == "close") {
            connection.set_last_answer();
        }
        response
    })
}

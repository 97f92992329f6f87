//! One client connection, from accept to close: the HTTP library serves it, and this module adds detection of closes that the
//! library misses and a lingering close after the last response.

use std::cell::RefCell;
use std::rc::Rc;
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
use pipitcrank_core::time::TimeSpan;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::Instant;
use tower_service::Service;

use super::arrival::Arrival;
use super::client_connections::{ClientConnection, ConnectionPhase};
use super::head_tracker::{Framing, HeadTracker};
use super::http::ResponseMemory;
use super::linger::{REQUEST_TIMEOUT, linger, send_last, service_unavailable};
use super::request_reader::{DISCARD_CHUNK_BYTES, DISCARD_PAUSE, RequestReader};
use crate::replicas::connection_end::ConnectionEnd;
use crate::runtime::memory_budget::MemoryBudget;
use crate::runtime::stream::Stream;

/// Longest accepted request head. With all permits in use, heads and bodies stay under a quarter of the memory limit.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Longest wait in the accept queue after which a request is answered before its connection's state is known: a fifth of the time after its close
/// within which an attempt may still begin.
const NEGLIGIBLE_ACCEPT_WAIT: Duration = Duration::from_millis(20);

/// A connection to be served, either newly accepted or transferred between processes.
pub struct AdoptedConnection {
    /// The connection.
    pub stream: TcpStream,
    /// The bytes that the other process has read and not processed.
    pub buffered: Bytes,
    /// Time left to receive a pending request; `None` between requests and for a newly accepted connection.
    pub request_timeout: Option<Duration>,
}

/// What happens to a connection once no response is pending on it.
#[derive(Clone)]
pub enum ConnectionMode {
    /// The connection stays open.
    Serve,
    /// The connection is closed.
    Drain,
    /// The connection is transferred to another process.
    Transfer(UnboundedSender<AdoptedConnection>),
}

/// Limits of one connection.
#[derive(Clone)]
pub struct ConnectionLimits {
    /// Idle timeout while draining.
    pub idle: Duration,
    /// Limits the memory kept for clients.
    pub memory: MemoryBudget,
    /// Retry-after of a request that is shed, if the settings allow one.
    pub shed_retry_after: Option<TimeSpan>,
}

/// Serves one connection until its end; returns how it ended.
pub async fn serve(
    adopted: AdoptedConnection,
    router: Router,
    connection: &Rc<ClientConnection>,
    mut modes: watch::Receiver<ConnectionMode>,
    limits: ConnectionLimits,
) -> ConnectionEnd {
    let ConnectionLimits { idle, memory, shed_retry_after } = limits;
    let stream = Rc::new(Stream::new(adopted.stream));
    let heads = Rc::new(RefCell::new(HeadTracker::new(MAX_HEAD_BYTES)));
    let reader =
        RequestReader::new(stream.clone(), connection.clone(), heads.clone(), adopted.buffered, memory);
    let (answer_modes, answer_stream) = (modes.clone(), stream.clone());
    let service = service_fn(|request| {
        let (router, connection) = (router.clone(), connection.clone());
        let answered = answer(router, connection.clone(), heads.clone(), answer_modes.clone(), request);
        Box::pin(unless_client_leaves(answer_stream.clone(), connection, answered))
    });
    let mut serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // `ClientConnection` has its own time limits, which start at the accept.
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(reader), service);
    let mut mode = modes.borrow_and_update().clone();
    let end = loop {
        let is_transfer = matches!(mode, ConnectionMode::Transfer(_));
        tokio::select! {
            // The HTTP library is polled first, since a request may be unread when a close for inactivity is requested.
            biased;
            served = std::future::poll_fn(|cx| serving.poll_without_shutdown(cx)) => break end_of(served, &mode),
            () = connection.client_left() => return ConnectionEnd::Closed,
            () = connection.close_requested() => {
                drop(serving);
                return close(&stream, connection, shed_retry_after).await;
            }
            // The HTTP library does not read past bytes that it can't process yet, and would miss a close after them.
            () = closed_behind_body(&stream, connection) => return ConnectionEnd::Closed,
            Ok(()) = modes.changed() => mode = modes.borrow_and_update().clone(),
            () = connection.wait_closable(is_transfer, idle), if !matches!(mode, ConnectionMode::Serve) => {
                let ConnectionMode::Transfer(successor) = mode else { break ConnectionEnd::NotNeeded };
                let request_timeout = connection.request_time_left(Instant::now());
                let http1::Parts { io, read_buf, .. } = serving.into_parts();
                // Bytes that the HTTP library has not processed, then bytes of an earlier transfer that it has not read.
                let buffered = [&read_buf[..], &io.into_inner().into_unread()[..]].concat().into();
                drop(answer_stream);
                return transfer(stream, buffered, request_timeout, &successor);
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

/// Transfers the connection to another process. It takes the socket, so nothing else may share the stream.
fn transfer(
    stream: Rc<Stream>,
    buffered: Bytes,
    request_timeout: Option<Duration>,
    successor: &UnboundedSender<AdoptedConnection>,
) -> ConnectionEnd {
    let Some(stream) = Rc::into_inner(stream) else { return ConnectionEnd::Reset };
    let _ = successor.send(AdoptedConnection { stream: stream.into_tcp(), buffered, request_timeout });
    ConnectionEnd::HandedOver
}

/// How the connection ends, by the HTTP library's result.
fn end_of(served: hyper::Result<()>, mode: &ConnectionMode) -> ConnectionEnd {
    match served {
        Ok(()) if matches!(mode, ConnectionMode::Drain) => ConnectionEnd::NotNeeded,
        Ok(()) => ConnectionEnd::Closed,
        Err(error) if error.is_parse() => ConnectionEnd::ProtocolError,
        Err(_) => ConnectionEnd::Reset,
    }
}

/// Closes a connection after `close_requested`. If a request was received only in part, sends a 408 response, or a 503
/// response if there is no memory for the rest of it.
async fn close(
    stream: &Stream,
    connection: &ClientConnection,
    shed_retry_after: Option<TimeSpan>,
) -> ConnectionEnd {
    match connection.phase() {
        ConnectionPhase::Idle => ConnectionEnd::Idle,
        ConnectionPhase::Reading if connection.is_shed() => {
            send_last(stream, &service_unavailable(shed_retry_after)).await;
            ConnectionEnd::OutOfMemory
        }
        ConnectionPhase::Reading | ConnectionPhase::Answering if connection.is_flushed() => {
            send_last(stream, REQUEST_TIMEOUT).await;
            ConnectionEnd::Silent
        }
        _ => ConnectionEnd::Silent,
    }
}

/// Completes when the client closes after a complete chunked body. Only the HTTP library parses the end of a chunked body,
/// and it stops reading while it holds later bytes that it can't process yet. Those bytes are read and discarded here.
async fn closed_behind_body(stream: &Stream, connection: &ClientConnection) {
    connection.chunked_body_complete().await;
    let mut read = 0;
    loop {
        match stream.discard_some().await {
            Ok(n) if n > 0 => {
                read += n;
                connection.record_tail(Instant::now());
            }
            _ => return,
        }
        if read > DISCARD_CHUNK_BYTES {
            read = 0;
            tokio::time::sleep(DISCARD_PAUSE).await;
        }
    }
}

/// Abandons an answer when its client closes. The HTTP library notices a close only once it has read all bytes before it,
/// which may be many.
async fn unless_client_leaves<T>(
    stream: Rc<Stream>,
    connection: Rc<ClientConnection>,
    answered: impl Future<Output = T>,
) -> T {
    if connection.accept_wait() > NEGLIGIBLE_ACCEPT_WAIT {
        // The runtime reads from a new connection before the system reports its state.
        tokio::task::yield_now().await;
    }
    tokio::select! {
        // The close is looked at first, so that no work begins for a client that has left.
        biased;
        () = stream.closed_by_peer() => {}
        answered = answered => return answered,
    }
    connection.set_client_left();
    std::future::pending().await
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
    // Taken from the reader, since the HTTP library exposes only one header of an ambiguous framing.
    let framing = heads.borrow().framing();
    let progress = connection.expect_body(framing == Some(Framing::Chunked));
    if heads.borrow().is_complete() {
        progress.set_complete();
    }
    let ambiguous_framing = framing == Some(Framing::Ambiguous);
    let (deadline, accept_wait) = (connection.request_deadline(), connection.take_accept_wait());
    request.extensions_mut().insert(Arrival { deadline, ambiguous_framing, progress, accept_wait });
    let answered = { router }.call(request.map(Body::new)).await;
    let mut heads = heads.borrow_mut();
    let allows_next_request = heads.allows_next_request() && !matches!(*mode.borrow(), ConnectionMode::Drain);
    heads.reset();
    connection.set_phase(ConnectionPhase::Idle, Instant::now());
    answered.map(|mut response| {
        if !allows_next_request {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(memory) = response.extensions_mut().remove::<ResponseMemory>() {
            connection.hold_response_memory(memory);
        }
        if response.headers().get(CONNECTION).is_some_and(|value| value == "close") {
            connection.set_last_answer();
        }
        response
    })
}

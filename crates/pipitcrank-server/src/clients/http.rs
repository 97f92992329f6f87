//! The HTTP service: decodes a client's request into a query for the exchange, and encodes its final answer. It is
//! independent of replicas.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use axum::Router;
use axum::extract::{Request, State};
use axum::http::header::{ALLOW, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::arrival::Arrival;
use super::body_reader::{ReceivedBody, read_body};
pub use super::query_body::is_valid_idempotency_key;
use super::query_body::{AnswerBody, HitBody, MAX_ID_BYTES, QueryHead, decode_query, is_hex_key};
use super::request_error::RequestError;
use crate::exchange::{QueryRequest, QueryResponse};
use crate::runtime::clock::{Clock, duration};
use crate::runtime::counter_names::{group, query, shed};
use crate::runtime::counters::Counters;
use crate::runtime::memory_budget::{MemoryAccount, MemoryBudget, Reservation};
use crate::runtime::memory_usage;
use crate::runtime::shutdown::ShutdownRequest;
use crate::runtime::stall_detector::StallDetector;

/// Largest accepted `Req-Deadline-Ms`: one day.
const MAX_DEADLINE_MS: i64 = 24 * 3600 * 1000;
/// Part of a response that the memory of a connection includes.
const INCLUDED_RESPONSE_BYTES: usize = 4 * 1024;
/// Longest wait in the accept queue that counts as zero: a third of the slack of the deadlines sent to replicas.
const NEGLIGIBLE_ACCEPT_WAIT: TimeSpan = TimeSpan::from_millis(50);

/// An event from the HTTP service to the exchange.
pub enum HttpEvent {
    /// A query was received.
    Query {
        /// Identifies the query until its final answer.
        ticket: u64,
        /// The query.
        request: QueryRequest,
        /// Receives the response.
        response: oneshot::Sender<QueryResponse>,
    },
    /// The client of a query disconnected before the response.
    ClientDisconnected {
        /// The query's ticket.
        ticket: u64,
    },
    /// Health check: whether a query could be served now.
    CanServe {
        /// Receives the result.
        answer: oneshot::Sender<bool>,
    },
}

/// State shared by the handlers of the HTTP service.
#[derive(Clone)]
pub struct HttpState {
    /// The process's clock.
    pub clock: Clock,
    /// The counters served at `/counters`.
    pub counters: Counters,
    /// Limits the memory kept for clients.
    pub memory: MemoryBudget,
    /// Retry-after of requests that are shed before they become queries, if the settings allow one.
    pub shed_retry_after: Option<TimeSpan>,
    /// Names of the request classes, by id. A query's path begins with the name of its class.
    pub classes: Arc<[String]>,
    /// Whether each request class is idempotent by key, by id.
    pub keyed_idempotency: Arc<[bool]>,
    /// Number of shards.
    pub shards: u32,
    /// Sends events to the exchange.
    pub events: UnboundedSender<HttpEvent>,
    /// Time of the shutdown request, if any.
    pub shutdown_requested: ShutdownRequest,
    /// Time from the shutdown request to the deadline of all open queries.
    pub last_answer: TimeSpan,
    /// The next ticket.
    pub tickets: Arc<AtomicU64>,
    /// Estimates how long a request may have been unread after a stall.
    pub stall_detector: Arc<StallDetector>,
}

/// Creates the router for `/up`, `/counters` and queries.
pub fn router(state: HttpState) -> Router {
    Router::new().route("/up", get(up)).route("/counters", get(counters)).fallback(query).with_state(state)
}

/// Adds `Connection: close`. Only well-formed queries keep their connection open: an idle connection may not be closed for
/// 2 s, so clients that send one health check or one invalid request would otherwise hold hundreds of permits.
fn last_on_connection(mut response: Response) -> Response {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

async fn up(State(state): State<HttpState>) -> Response {
    let (answer, answered) = oneshot::channel();
    let is_sent = state.events.send(HttpEvent::CanServe { answer }).is_ok();
    let can_serve = is_sent && answered.await.unwrap_or(false) && state.shutdown_requested.borrow().is_none();
    let status = if can_serve { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    last_on_connection(status.into_response())
}

async fn counters(State(state): State<HttpState>) -> Response {
    memory_usage::count(&state.counters, &state.memory);
    last_on_connection(state.counters.render().into_response())
}

/// Sends `ClientDisconnected` when dropped before the response.
struct DisconnectGuard {
    ticket: u64,
    events: UnboundedSender<HttpEvent>,
    answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.events.send(HttpEvent::ClientDisconnected { ticket: self.ticket });
        }
    }
}

async fn query(State(state): State<HttpState>, request: Request) -> Response {
    let ReceivedQuery { request, unread, body_memory } = match read_query(&state, request).await {
        Ok(received) => received,
        Err(error) => return refuse(&state, error),
    };
    // After a stall of this process, or from a crowded accept queue, many queries may be read whose clients have long
    // disconnected.
    let now = state.clock.now();
    if request.deadline <= now && unread.max(state.stall_detector.unread_for(now)) > TimeSpan::ZERO {
        state.counters.add(group::QUERIES, query::UNREAD_TOO_LONG);
        let retry_after = state.shed_retry_after.unwrap_or(TimeSpan::ZERO);
        return encode(&state, QueryResponse::Rejected { retry_after });
    }
    let ticket = state.tickets.fetch_add(1, Ordering::Relaxed);
    let (response, responded) = oneshot::channel();
    if state.events.send(HttpEvent::Query { ticket, request, response }).is_err() {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let mut guard = DisconnectGuard { ticket, events: state.events.clone(), answered: false };
    let response = responded.await;
    guard.answered = true;
    drop(body_memory);
    match response {
        Ok(response) => encode(&state, response),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn refuse(state: &HttpState, error: RequestError) -> Response {
    state.counters.add(group::BAD_REQUESTS, error.name());
    let mut response = last_on_connection((error.status(), error.to_string()).into_response());
    if error == RequestError::Method {
        response.headers_mut().insert(ALLOW, HeaderValue::from_static("POST"));
    }
    if error == RequestError::BodyMemory {
        state.counters.add(group::SHED, shed::BODY);
        insert_retry_after(&mut response, state.shed_retry_after.unwrap_or(TimeSpan::ZERO));
    }
    response
}

/// A query that has been received completely.
struct ReceivedQuery {
    request: QueryRequest,
    /// Upper bound of the time for which it was unread, by which its deadline is already shortened.
    unread: TimeSpan,
    /// Memory reserved for the query's body, which stands for its text while the query is open.
    body_memory: Reservation,
}

async fn read_query(state: &HttpState, request: Request) -> Result<ReceivedQuery, RequestError> {
    let (parts, body) = request.into_parts();
    let segment = parts.uri.path().trim_start_matches('/').split('/').next().unwrap_or("");
    let class = state.classes.iter().position(|class| class == segment);
    let class = RequestClassId(class.ok_or(RequestError::UnknownPath)? as u16);
    if parts.method != Method::POST {
        return Err(RequestError::Method);
    }
    let arrival = parts.extensions.get::<Arrival>();
    let received = state.clock.now();
    state.stall_detector.tick(received);
    let unread = unread_for(state, received, arrival);
    if arrival.is_some_and(|arrival| arrival.ambiguous_framing) {
        return Err(RequestError::AmbiguousFraming);
    }
    let headers = QueryHeaders::read(state, class, &parts.headers)?;
    let (arrival, id, idempotency_key) =
        (arrival.cloned(), headers.id.to_string(), headers.idempotency_key.map(str::to_string));
    let time_left = headers.time_left;
    // The head is not needed while the body is received, and its fields keep the whole buffer that it was read into.
    drop(parts);
    // The connection's deadline applies as well: a body may never arrive, and the client's deadline may be a day away.
    let own = Instant::now() + duration(time_left);
    let body_deadline = arrival.as_ref().map_or(own, |arrival| arrival.deadline.min(own));
    let ReceivedBody { bytes, reservation } = tokio::select! {
        biased;
        body = read_body(body, &state.memory) => body?,
        () = body_overdue(state, body_deadline) => return Err(RequestError::BodyTimeout),
    };
    if let Some(arrival) = arrival {
        arrival.progress.set_complete();
        tokio::select! {
            biased;
            () = arrival.progress.wait_until_tail_is_read() => {}
            () = body_overdue(state, body_deadline) => return Err(RequestError::EndlessTail),
        }
    }
    let own = received + time_left - unread;
    let deadline = deadline(own, *state.shutdown_requested.borrow(), state.last_answer);
    let head = QueryHead { id: &id, class, deadline, idempotency_key: idempotency_key.as_deref() };
    let request = decode_query(&bytes, head, state.shards)?;
    Ok(ReceivedQuery { request, unread, body_memory: reservation })
}

/// Upper bound of the time for which a request received now was unread, in its socket or in the accept queue.
fn unread_for(state: &HttpState, received: Timestamp, arrival: Option<&Arrival>) -> TimeSpan {
    let wait =
        arrival.map_or(TimeSpan::ZERO, |arrival| TimeSpan::from_secs_f64(arrival.accept_wait.as_secs_f64()));
    let wait = if wait > NEGLIGIBLE_ACCEPT_WAIT { wait } else { TimeSpan::ZERO };
    state.stall_detector.unread_for(received).max(wait)
}

struct QueryHeaders<'a> {
    id: &'a str,
    idempotency_key: Option<&'a str>,
    time_left: TimeSpan,
}

impl<'a> QueryHeaders<'a> {
    fn read(
        state: &HttpState,
        class: RequestClassId,
        headers: &'a HeaderMap,
    ) -> Result<QueryHeaders<'a>, RequestError> {
        // A repeated header is rejected: two parsers may not use the same one of its values.
        let header = |name: &str| {
            let mut all = headers.get_all(name).iter();
            all.next().filter(|_| all.next().is_none()).and_then(|value| value.to_str().ok())
        };
        let id = header("Req-Id").ok_or(RequestError::MissingId)?;
        if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(RequestError::Id);
        }
        if headers.contains_key("Req-Key") && !header("Req-Key").is_some_and(is_hex_key) {
            return Err(RequestError::Key);
        }
        // Replicas must be able to detect duplicates by the key, and must not parse it as something else.
        let idempotency_key = header("Idempotency-Key");
        if headers.contains_key("Idempotency-Key") && !idempotency_key.is_some_and(is_valid_idempotency_key) {
            return Err(RequestError::IdempotencyKey);
        }
        if idempotency_key.is_none() && state.keyed_idempotency[class.0 as usize] {
            return Err(RequestError::MissingIdempotencyKey);
        }
        let digits =
            header("Req-Deadline-Ms").filter(|value| value.bytes().all(|byte| byte.is_ascii_digit()));
        let ms = digits.and_then(|digits| digits.parse().ok()).filter(|&ms: &i64| ms <= MAX_DEADLINE_MS);
        let time_left = TimeSpan::from_millis(ms.ok_or(RequestError::Deadline)?);
        Ok(QueryHeaders { id, idempotency_key, time_left })
    }
}

/// The earlier of the client's deadline and the schedule's last answer, after which this process is killed.
fn deadline(own: Timestamp, shutdown_requested: Option<Timestamp>, last_answer: TimeSpan) -> Timestamp {
    shutdown_requested.map_or(own, |at| own.min(at + last_answer))
}

/// Completes when a request with an incomplete body has to be answered: at its deadline, or at the last answer of a shutdown.
async fn body_overdue(state: &HttpState, deadline: Instant) {
    let mut shutdown_requested = state.shutdown_requested.clone();
    loop {
        let requested = *shutdown_requested.borrow_and_update();
        let last = requested.map(|at| state.clock.instant(at + state.last_answer));
        tokio::select! {
            () = tokio::time::sleep_until(last.map_or(deadline, |last| deadline.min(last))) => return,
            Ok(()) = shutdown_requested.changed() => {}
        }
    }
}

fn insert_retry_after(response: &mut Response, retry_after: TimeSpan) {
    if retry_after > TimeSpan::ZERO
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

/// Memory of a response, attached to it; the connection holds it until the client has read the response.
#[derive(Clone)]
pub struct ResponseMemory(#[expect(dead_code, reason = "held until dropped")] Arc<Reservation>);

/// Encodes an answer. One too long for the memory left is not sent: its query is aborted, since its parts have run.
fn encode_answer(state: &HttpState, answer: &AnswerBody<'_>) -> Response {
    let Ok(body) = serde_json::to_vec(answer) else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let memory = if body.len() > INCLUDED_RESPONSE_BYTES {
        let Some(memory) = state.memory.reserve(MemoryAccount::Answers, body.len()) else {
            state.counters.add(group::SHED, shed::RESPONSE);
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        };
        Some(ResponseMemory(Arc::new(memory)))
    } else {
        None
    };
    let mut response = ([(CONTENT_TYPE, HeaderValue::from_static("application/json"))], body).into_response();
    memory.into_iter().for_each(|memory| drop(response.extensions_mut().insert(memory)));
    response
}

fn encode(state: &HttpState, response: QueryResponse) -> Response {
    match response {
        QueryResponse::Answered { complete, hits } => {
            let hits = hits.iter().map(|(shard, value)| HitBody { shard: *shard, value }).collect();
            encode_answer(state, &AnswerBody { complete, hits })
        }
        QueryResponse::Rejected { retry_after } => {
            let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
            insert_retry_after(&mut response, retry_after);
            response
        }
        QueryResponse::Aborted => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        QueryResponse::DuplicateId => last_on_connection(
            (StatusCode::CONFLICT, "a query with this Req-Id is held, or may have run").into_response(),
        ),
    }
}

#[cfg(test)]
mod tests;

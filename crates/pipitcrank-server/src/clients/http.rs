//! The HTTP service: requests of clients are decoded once into a query for the exchange, and its final response is encoded
//! once. It knows nothing of replicas.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use axum::Router;
use axum::body::to_bytes;
use axum::extract::{Request, State};
use axum::http::header::{ALLOW, CONNECTION, RETRY_AFTER};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::arrival::Arrival;
pub use super::query_body::is_valid_idempotency_key;
use super::query_body::{AnswerBody, HitBody, MAX_ID, QueryHead, decode_query, is_hex_key};
use super::request_error::RequestError;
use crate::exchange::{QueryRequest, QueryResponse};
use crate::runtime::clock::{Clock, duration};
use crate::runtime::counter_names::{group, query};
use crate::runtime::counters::Counters;
use crate::runtime::shutdown::ShutdownRequest;
use crate::runtime::stall_detector::StallDetector;

/// Largest body taken, in bytes, as the protocol says.
const MAX_BODY: usize = 64 * 1024;
/// Longest time that a client may claim to wait, in milliseconds: a day.
const MAX_DEADLINE_MS: i64 = 24 * 3600 * 1000;
/// A connection accepted within this has not waited: a third of the slack that a replica's deadline has.
const PROMPT_ACCEPT: TimeSpan = TimeSpan::from_millis(50);

/// What the HTTP service has for the exchange.
pub enum HttpEvent {
    /// A query.
    Query {
        /// Stands for the query until its final response.
        ticket: u64,
        /// The query.
        request: QueryRequest,
        /// Where the response goes.
        response: oneshot::Sender<QueryResponse>,
    },
    /// The client of a query has disconnected before the response.
    ClientDisconnected {
        /// The query's ticket.
        ticket: u64,
    },
    /// A health check: could a query be served now?
    CanServe {
        /// Where the answer goes.
        answer: oneshot::Sender<bool>,
    },
}

/// What the HTTP service works with.
#[derive(Clone)]
pub struct HttpState {
    /// The process's clock.
    pub clock: Clock,
    /// The counters that `/counters` shows.
    pub counters: Counters,
    /// Names of the request classes, by id: the first segment of a query's path.
    pub classes: Arc<[String]>,
    /// Whether a request class is idempotent by key, by id.
    pub keyed_idempotency: Arc<[bool]>,
    /// Number of shards.
    pub shards: u32,
    /// To the exchange.
    pub events: UnboundedSender<HttpEvent>,
    /// When shutdown was requested.
    pub shutdown_requested: ShutdownRequest,
    /// A query that comes after shutdown was requested is answered within this of that at the latest.
    pub last_answer: TimeSpan,
    /// The next ticket.
    pub tickets: Arc<AtomicU64>,
    /// Tells for how long a request may have lain unread.
    pub stall_detector: Arc<StallDetector>,
}

/// The routes: `/up`, `/counters`, and queries.
pub fn router(state: HttpState) -> Router {
    Router::new().route("/up", get(up)).route("/counters", get(counters)).fallback(query).with_state(state)
}

/// Only clients whose queries are well-formed keep their connections: an idle connection may not be closed for 2 s, and those
/// that asked for `/up` once, or for what is refused, would hold permits by hundreds.
fn last_on_connection(mut response: Response) -> Response {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

async fn up(State(state): State<HttpState>) -> Response {
    let (answer, answered) = oneshot::channel();
    let is_asked = state.events.send(HttpEvent::CanServe { answer }).is_ok();
    let can_serve =
        is_asked && answered.await.unwrap_or(false) && state.shutdown_requested.borrow().is_none();
    let status = if can_serve { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    last_on_connection(status.into_response())
}

async fn counters(State(state): State<HttpState>) -> Response {
    last_on_connection(state.counters.render().into_response())
}

/// Reports that the client has disconnected, unless the response came first.
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
    let request = match read_query(&state, request).await {
        Ok(request) => request,
        Err(error) => return refuse(&state, error),
    };
    // After a stall of this process a wave of queries may lie here whose clients have long gone.
    let now = state.clock.now();
    if request.deadline <= now && state.stall_detector.unread_for(now) > TimeSpan::ZERO {
        state.counters.add(group::QUERIES, query::UNREAD_TOO_LONG);
        return encode(QueryResponse::Rejected { retry_after: TimeSpan::ZERO });
    }
    let ticket = state.tickets.fetch_add(1, Ordering::Relaxed);
    let (response, responded) = oneshot::channel();
    if state.events.send(HttpEvent::Query { ticket, request, response }).is_err() {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let mut guard = DisconnectGuard { ticket, events: state.events.clone(), answered: false };
    let response = responded.await;
    guard.answered = true;
    match response {
        Ok(response) => encode(response),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn refuse(state: &HttpState, error: RequestError) -> Response {
    state.counters.add(group::BAD_REQUESTS, error.name());
    let mut response = last_on_connection((error.status(), error.to_string()).into_response());
    if error == RequestError::Method {
        response.headers_mut().insert(ALLOW, HeaderValue::from_static("POST"));
    }
    response
}

async fn read_query(state: &HttpState, request: Request) -> Result<QueryRequest, RequestError> {
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
    // A body may never come, whatever time the client claims to wait.
    let own = Instant::now() + duration(headers.time_left);
    let body_deadline = arrival.map_or(own, |arrival| arrival.deadline.min(own));
    let body = tokio::select! {
        biased;
        body = to_bytes(body, MAX_BODY) => body.map_err(|error| body_error(&error))?,
        () = body_overdue(state, body_deadline) => return Err(RequestError::BodyTimeout),
    };
    if let Some(arrival) = arrival {
        arrival.body.set();
    }
    let own = received + headers.time_left - unread;
    let deadline = deadline(own, *state.shutdown_requested.borrow(), state.last_answer);
    let QueryHeaders { id, idempotency_key, .. } = headers;
    decode_query(&body, QueryHead { id, class, deadline, idempotency_key }, state.shards)
}

/// For how long a request received now may have lain unread, in its connection or in the accept queue.
fn unread_for(state: &HttpState, received: Timestamp, arrival: Option<&Arrival>) -> TimeSpan {
    let wait =
        arrival.map_or(TimeSpan::ZERO, |arrival| TimeSpan::from_secs_f64(arrival.accept_wait.as_secs_f64()));
    let wait = if wait > PROMPT_ACCEPT { wait } else { TimeSpan::ZERO };
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
        // A header that is there twice says nothing: two readers may not take the same one.
        let header = |name: &str| {
            let mut all = headers.get_all(name).iter();
            all.next().filter(|_| all.next().is_none()).and_then(|value| value.to_str().ok())
        };
        let id = header("Req-Id").ok_or(RequestError::MissingId)?;
        if id.is_empty() || id.len() > MAX_ID || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(RequestError::Id);
        }
        if headers.contains_key("Req-Key") && !header("Req-Key").is_some_and(is_hex_key) {
            return Err(RequestError::Key);
        }
        // Replicas must be able to recognize a repeat, and must not read the key as something else.
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

/// The client's deadline, or that of the last answer before this process is killed.
fn deadline(own: Timestamp, shutdown_requested: Option<Timestamp>, last_answer: TimeSpan) -> Timestamp {
    shutdown_requested.map_or(own, |at| own.min(at + last_answer))
}

/// Ends when a request whose body is not whole has to be answered: at its deadline, or before this process ends.
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

fn body_error(error: &axum::Error) -> RequestError {
    let mut cause: Option<&dyn std::error::Error> = Some(error);
    while let Some(error) = cause {
        if error.is::<http_body_util::LengthLimitError>() {
            return RequestError::BodyTooLarge;
        }
        cause = error.source();
    }
    RequestError::BodyIncomplete
}

fn encode(response: QueryResponse) -> Response {
    match response {
        QueryResponse::Answered { complete, hits } => {
            let hits = hits.iter().map(|(shard, value)| HitBody { shard: *shard, value }).collect();
            axum::Json(AnswerBody { complete, hits }).into_response()
        }
        QueryResponse::Rejected { retry_after } => {
            let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
            if retry_after > TimeSpan::ZERO
                && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
            {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        QueryResponse::Aborted => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        QueryResponse::DuplicateId => {
            last_on_connection((StatusCode::CONFLICT, "a query with this Req-Id is held").into_response())
        }
    }
}

#[cfg(test)]
mod tests;

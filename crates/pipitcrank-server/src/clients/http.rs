//! The front: HTTP requests of clients are decoded once into a query for the exchange, and its final answer is
//! encoded once. It knows nothing of replicas.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use axum::Router;
use axum::body::{Body, Bytes, to_bytes};
use axum::extract::{Request, State};
use axum::http::header::{ALLOW, CONNECTION, RETRY_AFTER};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::exchange::{QueryPart, QueryRequest, QueryResponse};
use crate::runtime::clock::{Clock, duration};
use crate::runtime::counters::Counters;
use crate::runtime::stall_detector::StallDetector;

/// Largest body taken, as the protocol says.
const MOST_BODY: usize = 64 * 1024;
/// Longest id taken: it goes out with each part.
const LONGEST_ID: usize = 256;

use crate::runtime::shutdown::ShutdownRequest;

/// Says when a request's body has been read whole.
#[derive(Default)]
pub struct BodyCompletion {
    is: AtomicBool,
    became: Notify,
}

impl BodyCompletion {
    fn set(&self) {
        self.is.store(true, Ordering::Relaxed);
        self.became.notify_one();
    }

    /// Ends when it has been.
    pub async fn wait(&self) {
        while !self.is.load(Ordering::Relaxed) {
            self.became.notified().await;
        }
    }
}

/// What is known of a request beside its text.
#[derive(Clone)]
pub struct Arrival {
    /// By then it has to be here whole.
    pub whole_by: Instant,
    /// It says in two ways at once where it ends.
    pub mixed: bool,
    pub whole: Arc<BodyCompletion>,
    /// It may have waited so long for its connection to be accepted.
    pub unread: Duration,
}

/// Longest time a client may claim to wait: beyond a day it is no time that anybody waits.
const LONGEST_WAIT: i64 = 24 * 3600 * 1000;
/// Who is accepted within this has not waited: a third of the slack that the time told to a replica has.
const SOON_ACCEPTED: TimeSpan = TimeSpan::from_millis(50);
/// Weights are shares of the whole answer, so they sum to 1; each is rounded for the wire, so not quite.
const WEIGHTS_OFF: f64 = 0.01;

/// What the front has for the exchange.
pub enum HttpEvent {
    Query {
        ticket: u64,
        request: QueryRequest,
        response: oneshot::Sender<QueryResponse>,
    },
    ClientDisconnected {
        ticket: u64,
    },
    /// Is it able to serve?
    CanServe {
        answer: oneshot::Sender<bool>,
    },
}

#[derive(Clone)]
pub struct HttpState {
    pub clock: Clock,
    pub counters: Counters,
    pub classes: Arc<[String]>,
    /// Whether a repeat of the request class's is known by the client's key.
    pub keyed_idempotency: Arc<[bool]>,
    pub shards: u32,
    pub events: UnboundedSender<HttpEvent>,
    pub shutdown_requested: ShutdownRequest,
    /// A query that comes after the end was called is answered within this of that at the latest.
    pub last_answer: TimeSpan,
    pub tickets: Arc<AtomicU64>,
    pub stall_detector: Arc<StallDetector>,
}

/// What a client asks.
#[derive(Deserialize)]
struct QueryBody<'a> {
    #[serde(borrow)]
    shards: Vec<ShardBody<'a>>,
    q: String,
}

#[derive(Deserialize)]
struct ShardBody<'a> {
    shard: u32,
    weight: f64,
    /// Microseconds.
    cost: Option<f64>,
    /// Checked, and nothing more: no decision reads it.
    #[serde(borrow)]
    key: Option<Cow<'a, str>>,
}

#[derive(Serialize)]
struct Answer<'a> {
    complete: bool,
    hits: Vec<Hit<'a>>,
}

#[derive(Serialize)]
struct Hit<'a> {
    shard: u32,
    doc: &'a str,
}

pub fn router(state: HttpState) -> Router {
    Router::new().route("/up", get(up)).route("/counters", get(counters)).fallback(query).with_state(state)
}

/// Only clients whose queries are sound keep their connections. Guards against places held by connections that
/// asked for `/up` once, or for what is refused, by hundreds: idle, they may not be closed for 2 s.
fn last_on_connection(mut response: Response) -> Response {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

async fn up(State(state): State<HttpState>) -> Response {
    let (tell, told) = oneshot::channel();
    let asked = state.events.send(HttpEvent::CanServe { answer: tell }).is_ok();
    let able = asked && told.await.unwrap_or(false) && state.shutdown_requested.borrow().is_none();
    let status = if able { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    last_on_connection(status.into_response())
}

async fn counters(State(state): State<HttpState>) -> Response {
    last_on_connection(state.counters.show().into_response())
}

/// Says to the exchange that the client is gone, unless the answer came first.
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
    let (parts, body) = request.into_parts();
    let word = parts.uri.path().trim_start_matches('/').split('/').next().unwrap_or("");
    let Some(class) = state.classes.iter().position(|v| v == word) else {
        return bad(&state, "unknown_path", StatusCode::NOT_FOUND, "no such vertical");
    };
    if parts.method != Method::POST {
        let mut refused = bad(&state, "method", StatusCode::METHOD_NOT_ALLOWED, "queries are posted");
        refused.headers_mut().insert(ALLOW, HeaderValue::from_static("POST"));
        return refused;
    }
    let arrival = parts.extensions.get::<Arrival>().cloned();
    let asked = match read(&state, RequestClassId(class as u16), &parts.headers, arrival, body).await {
        Ok(asked) => asked,
        Err((status, what)) => {
            let kind = if status == StatusCode::PAYLOAD_TOO_LARGE { "too_large" } else { "malformed" };
            return bad(&state, kind, status, what);
        }
    };
    // Guards against a wave of queries whose clients have long gone, after this process stood still: all replicas were
    // asked for them at once, and nobody was served for ten seconds.
    let now = state.clock.now();
    if asked.deadline <= now && state.stall_detector.unread_for(now) > TimeSpan::ZERO {
        state.counters.add("queries", "unread_too_long");
        return encode(QueryResponse::Rejected { retry_after: TimeSpan::ZERO });
    }
    let ticket = state.tickets.fetch_add(1, Ordering::Relaxed);
    let (answer, answered) = oneshot::channel();
    if state.events.send(HttpEvent::Query { ticket, request: asked, response: answer }).is_err() {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let mut waiting = DisconnectGuard { ticket, events: state.events.clone(), answered: false };
    let last = answered.await;
    waiting.answered = true;
    match last {
        Ok(last) => encode(last),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn bad(state: &HttpState, kind: &'static str, status: StatusCode, what: &'static str) -> Response {
    state.counters.add("bad_requests", kind);
    last_on_connection((status, what).into_response())
}

type Wrong = (StatusCode, &'static str);

/// One request, read whole.
async fn read(
    state: &HttpState,
    class: RequestClassId,
    headers: &HeaderMap,
    arrival: Option<Arrival>,
    body: Body,
) -> Result<QueryRequest, Wrong> {
    let received = state.clock.now();
    state.stall_detector.tick(received);
    let in_queue =
        arrival.as_ref().map_or(TimeSpan::ZERO, |a| TimeSpan::from_secs_f64(a.unread.as_secs_f64()));
    let unread = state.stall_detector.unread_for(received).max(if in_queue > SOON_ACCEPTED {
        in_queue
    } else {
        TimeSpan::ZERO
    });
    let wrong = |what: &'static str| (StatusCode::BAD_REQUEST, what);
    // Guards against a request hidden in the body of another: neither is taken.
    if arrival.as_ref().is_some_and(|a| a.mixed) {
        return Err(wrong("it has both Content-Length and Transfer-Encoding"));
    }
    // A header that stands there twice says nothing: two readers may not take the same one.
    let header = |name: &str| {
        let mut all = headers.get_all(name).iter();
        all.next().filter(|_| all.next().is_none()).and_then(|v| v.to_str().ok())
    };
    let id = header("Req-Id").ok_or(wrong("Req-Id is missing, or there are several"))?;
    if id.is_empty() || id.len() > LONGEST_ID || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(wrong("Req-Id is no id"));
    }
    if headers.contains_key("Req-Key") && !header("Req-Key").is_some_and(is_key) {
        return Err(wrong("Req-Key is no key"));
    }
    let key = header("Idempotency-Key");
    // Guards against a repeat that replicas could not know, and against one that they would read as something else.
    if headers.contains_key("Idempotency-Key") && !key.is_some_and(is_idempotency_key) {
        return Err(wrong("Idempotency-Key is no key, or there are several"));
    }
    if key.is_none() && state.keyed_idempotency[class.0 as usize] {
        return Err(wrong("Idempotency-Key is missing"));
    }
    let left = header("Req-Deadline-Ms").filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    let left = left.and_then(|v| v.parse().ok()).filter(|&ms: &i64| ms <= LONGEST_WAIT);
    let left = TimeSpan::from_millis(left.ok_or(wrong("Req-Deadline-Ms is not a number of milliseconds"))?);
    // Guards against places held by clients whose body never comes, whatever time they claim to wait.
    let own = Instant::now() + duration(left);
    let whole_by = arrival.as_ref().map_or(own, |a| a.whole_by.min(own));
    let body = tokio::select! {
        biased;
        body = to_bytes(body, MOST_BODY) => body,
        () = overdue(state, whole_by) => {
            return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time"));
        }
    };
    let body = body.map_err(|e| too_large_or_broken(&e))?;
    if let Some(arrival) = arrival {
        arrival.whole.set();
    }
    let ends = ends(received + left - unread, *state.shutdown_requested.borrow(), state.last_answer);
    let asked = decode(&body, id, class, ends, state.shards).map_err(wrong)?;
    Ok(QueryRequest { idempotency_key: key.map(Into::into), ..asked })
}

/// Guards against an answer that would come when this process has been killed.
fn ends(own: Timestamp, shutdown_requested: Option<Timestamp>, last_answer: TimeSpan) -> Timestamp {
    shutdown_requested.map_or(own, |at| own.min(at + last_answer))
}

/// Ends when a request that is not whole has to be answered without more of it: then, or before this process ends.
async fn overdue(state: &HttpState, whole_by: Instant) {
    let mut shutdown_requested = state.shutdown_requested.clone();
    loop {
        let last =
            shutdown_requested.borrow_and_update().map(|at| state.clock.instant(at + state.last_answer));
        tokio::select! {
            () = tokio::time::sleep_until(last.map_or(whole_by, |last| whole_by.min(last))) => return,
            Ok(()) = shutdown_requested.changed() => {}
        }
    }
}

fn too_large_or_broken(error: &axum::Error) -> Wrong {
    let mut cause: Option<&dyn std::error::Error> = Some(error);
    while let Some(e) = cause {
        if e.is::<http_body_util::LengthLimitError>() {
            return (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        cause = e.source();
    }
    (StatusCode::BAD_REQUEST, "the body did not come whole")
}

fn decode(
    body: &Bytes,
    id: &str,
    class: RequestClassId,
    ends: Timestamp,
    shards: u32,
) -> Result<QueryRequest, &'static str> {
    let QueryBody { shards: pieces, q } =
        serde_json::from_slice(body).map_err(|_| "the body is not the JSON expected")?;
    if pieces.is_empty() {
        return Err("it asks for no shard");
    }
    let mut seen: Vec<u32> = pieces.iter().map(|p| p.shard).collect();
    seen.sort_unstable();
    if seen.windows(2).any(|w| w[0] == w[1]) || seen.last().is_some_and(|&last| last >= shards) {
        return Err("it asks for a shard twice, or for one that there is not");
    }
    let off = (pieces.iter().map(|p| p.weight).sum::<f64>() - 1.0).abs();
    if !(off <= WEIGHTS_OFF && pieces.iter().all(|p| (0.0..=1.0).contains(&p.weight))) {
        return Err("the weights are not shares that sum to 1");
    }
    if pieces.iter().any(|p| p.cost.is_some_and(|c| !c.is_finite() || c < 0.0)) {
        return Err("a cost is below 0");
    }
    if pieces.iter().any(|p| p.key.as_deref().is_some_and(|k| !is_key(k))) {
        return Err("a part's key is no key");
    }
    let parts = pieces.into_iter().map(|p| QueryPart {
        shard: p.shard,
        weight: p.weight,
        work: p.cost.map(|us| us / 1e6),
    });
    let (id, parts) = (id.to_string(), parts.collect());
    Ok(QueryRequest { id, class, deadline: ends, parts, idempotency_key: None, text: q.into() })
}

/// Leaves read it behind `k=` in a list that commas and blanks divide.
pub fn is_idempotency_key(key: &str) -> bool {
    (1..=LONGEST_ID).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic() && b != b',')
}

fn is_key(key: &str) -> bool {
    key.len() == 16 && key.bytes().all(|b| b.is_ascii_hexdigit())
}

fn encode(last: QueryResponse) -> Response {
    match last {
        QueryResponse::Answered { complete, hits } => {
            let hits = hits.iter().map(|(shard, doc)| Hit { shard: *shard, doc }).collect();
            axum::Json(Answer { complete, hits }).into_response()
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

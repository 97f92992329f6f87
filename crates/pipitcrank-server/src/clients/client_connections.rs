//! Tracks the phase of each client connection and its time limits, and selects the connections to close when permits run
//! short. A connection whose request has been received completely is never closed before its response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::arrival::ReceiveProgress;
use super::http::ResponseMemory;
use crate::runtime::memory_budget::{MemoryAccount, MemoryBudget, Reservation};

/// Time to receive a whole request, from its first byte, or from the accept for the first request on a connection. An
/// incomplete request must get an error or a close within 3 s, of which half a second may pass waiting for the CPU.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle timeout that applies even while permits are free.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// Idle time after which a connection may be closed to free its permit, as clients expect.
const IDLE_GRACE: Duration = Duration::from_secs(2);
/// Time for the first byte on a new connection before it may be closed to free its permit. Clients connect only to send a
/// request, and the limit is many times their network delay.
const NEW_GRACE: Duration = Duration::from_millis(100);
/// Least time to read from a new connection, however long it waited in the accept queue.
const MIN_READ_TIME: Duration = Duration::from_millis(250);
/// Time after the accept within which bytes received before the accept are read.
const BACKLOG_READ: Duration = Duration::from_millis(20);
/// Time after which a connection with an incomplete request may be closed to free its permit; clients send without pauses.
const READING_GRACE: Duration = Duration::from_millis(1000);
/// Time without a byte of an incomplete request after which its connection may be closed while no permit is free.
const STALLED_GRACE: Duration = Duration::from_millis(200);
/// Time for a client to read its last response before the connection may be closed to free its permit.
const LINGERING_GRACE: Duration = Duration::from_millis(250);

/// Memory of a head that is longer than what a connection includes: the HTTP library's buffer doubles up to it.
const LONG_HEAD_BYTES: usize = 16 * 1024;

/// The phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No byte has been received yet.
    New,
    /// A part of a request's head has been received.
    Reading,
    /// The body of a request is being read, or the request is being answered.
    Answering,
    /// The last request was answered.
    Idle,
    /// The last response was sent, and the client has some time to read it.
    Lingering,
}

impl ConnectionPhase {
    /// Name of the phase in `/counters`.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionPhase::New => "new",
            ConnectionPhase::Reading => "reading",
            ConnectionPhase::Answering => "answering",
            ConnectionPhase::Idle => "idle",
            ConnectionPhase::Lingering => "lingering",
        }
    }
}

/// One client connection.
pub struct ClientConnection {
    accepted: Instant,
    phase: Cell<(ConnectionPhase, Instant)>,
    /// Deadline for receiving the whole current request.
    request_deadline: Cell<Instant>,
    closing: Cell<bool>,
    close: Notify,
    /// The phase when the close was requested.
    phase_at_close: Cell<(ConnectionPhase, Instant)>,
    /// Whether the last response has been written to the socket completely.
    flushed: Cell<bool>,
    /// Whether the current response carries `Connection: close`.
    last_answer: Cell<bool>,
    phase_changed: Notify,
    /// How far the current request has been received, once its head is complete.
    progress: RefCell<Option<Arc<ReceiveProgress>>>,
    /// When bytes behind the current request were read before its head was passed on.
    early_tail: Cell<Option<Instant>>,
    /// Memory of a long head, until the request is answered.
    head_memory: RefCell<Option<Reservation>>,
    /// Memory of a long response, until it is written.
    response_memory: RefCell<Option<ResponseMemory>>,
    /// Whether the connection is closed for lack of memory for its request.
    is_shed: Cell<bool>,
    client_left: Notify,
    /// When bytes of a request were last read.
    last_read: Cell<Instant>,
    /// The same, if its body is chunked.
    chunked_body: RefCell<Option<Arc<ReceiveProgress>>>,
    chunked_body_begun: Notify,
    /// Upper bound of the first request's time in the accept queue.
    accept_wait: Cell<Duration>,
}

impl ClientConnection {
    fn new(now: Instant) -> ClientConnection {
        let phase = Cell::new((ConnectionPhase::New, now));
        ClientConnection {
            accepted: now,
            phase_at_close: phase.clone(),
            phase,
            request_deadline: Cell::new(now + REQUEST_TIMEOUT),
            closing: Cell::default(),
            close: Notify::new(),
            flushed: Cell::new(true),
            last_answer: Cell::default(),
            phase_changed: Notify::new(),
            progress: RefCell::default(),
            early_tail: Cell::default(),
            head_memory: RefCell::default(),
            response_memory: RefCell::default(),
            is_shed: Cell::default(),
            client_left: Notify::new(),
            last_read: Cell::new(now),
            chunked_body: RefCell::default(),
            chunked_body_begun: Notify::new(),
            accept_wait: Cell::default(),
        }
    }

    /// Resumes a connection received from another process: between two requests if `request_timeout` is `None`, else with a
    /// partial request that has to be received completely within `request_timeout`.
    pub fn resume(&self, now: Instant, request_timeout: Option<Duration>) {
        let phase = if request_timeout.is_some() { ConnectionPhase::Reading } else { ConnectionPhase::Idle };
        self.phase.set((phase, now));
        let timeout = request_timeout.unwrap_or(REQUEST_TIMEOUT).min(REQUEST_TIMEOUT);
        self.request_deadline.set(now + timeout);
    }

    /// Sets the upper bound of the first request's time in the accept queue, and shortens its deadline accordingly.
    pub fn set_accept_wait(&self, wait: Duration) {
        self.accept_wait.set(wait);
        let left = REQUEST_TIMEOUT.saturating_sub(wait).max(MIN_READ_TIME);
        self.request_deadline.set(self.accepted + left);
    }

    /// Upper bound of the current request's time in the accept queue.
    pub fn accept_wait(&self) -> Duration {
        self.accept_wait.get()
    }

    /// Returns the upper bound of the current request's time in the accept queue; zero for a request received after the accept.
    pub fn take_accept_wait(&self) -> Duration {
        self.accept_wait.take()
    }

    /// Registers a request whose body may be incomplete; the reader of the body marks the returned progress.
    pub fn expect_body(&self, is_chunked: bool) -> Arc<ReceiveProgress> {
        let progress = Arc::new(ReceiveProgress::new(is_chunked));
        self.early_tail.take().into_iter().for_each(|at| progress.record_tail(at));
        *self.progress.borrow_mut() = Some(progress.clone());
        if is_chunked {
            *self.chunked_body.borrow_mut() = Some(progress.clone());
            self.chunked_body_begun.notify_one();
        }
        progress
    }

    /// Records that bytes of a request were read.
    pub fn record_read(&self, now: Instant) {
        self.last_read.set(now);
    }

    /// Records that bytes behind the current request were read, or that there may be unread ones.
    pub fn record_tail(&self, now: Instant) {
        match &*self.progress.borrow() {
            Some(progress) => progress.record_tail(now),
            None => self.early_tail.set(Some(now)),
        }
    }

    /// Whether the body of a request is being received. No work has begun for such a request.
    pub fn is_receiving_body(&self) -> bool {
        let is_incomplete = self.progress.borrow().as_ref().is_some_and(|progress| !progress.is_complete());
        self.phase() == ConnectionPhase::Answering && is_incomplete
    }

    /// Reserves memory for a long head, once for each request. Returns false if there is none.
    pub fn hold_head_memory(&self, budget: &MemoryBudget) -> bool {
        let mut held = self.head_memory.borrow_mut();
        if held.is_none() {
            *held = budget.reserve(MemoryAccount::Requests, LONG_HEAD_BYTES);
        }
        held.is_some()
    }

    /// Holds the memory of the current response until it is written.
    pub fn hold_response_memory(&self, memory: ResponseMemory) {
        *self.response_memory.borrow_mut() = Some(memory);
    }

    /// Records that the client has closed the connection while a response was pending.
    pub fn set_client_left(&self) {
        self.client_left.notify_one();
    }

    /// Completes once the client has closed the connection while a response was pending.
    pub async fn client_left(&self) {
        self.client_left.notified().await;
    }

    /// Requests the close of the connection for lack of memory for its request.
    pub fn shed(&self) {
        self.is_shed.set(true);
        self.request_close();
    }

    /// Whether the connection is closed for lack of memory for its request.
    pub fn is_shed(&self) -> bool {
        self.is_shed.get()
    }

    /// Completes once the chunked body of a request has been read completely.
    pub async fn chunked_body_complete(&self) {
        loop {
            let body = self.chunked_body.borrow().clone();
            match body {
                Some(body) => return body.wait_until_complete().await,
                None => self.chunked_body_begun.notified().await,
            }
        }
    }

    /// Marks the current response as the last one on the connection.
    pub fn set_last_answer(&self) {
        self.last_answer.set(true);
    }

    /// Time left to receive the first request or one that has begun; `None` in any other phase.
    pub fn request_time_left(&self, now: Instant) -> Option<Duration> {
        let is_request_due = matches!(self.phase(), ConnectionPhase::New | ConnectionPhase::Reading);
        is_request_due.then(|| self.request_deadline() - now)
    }

    /// Marks the last response as written to the socket completely.
    pub fn set_flushed(&self) {
        if self.phase() == ConnectionPhase::Idle && !self.flushed.replace(true) {
            *self.response_memory.borrow_mut() = None;
            self.phase_changed.notify_one();
        }
    }

    /// Whether the last response has been written to the socket completely.
    pub fn is_flushed(&self) -> bool {
        self.flushed.get()
    }

    /// Completes when the connection can be transferred or closed without loss: no request is open on it and its last
    /// response is written. A partial request is no obstacle if `with_partial_request` is set; otherwise the connection
    /// must have been idle for `idle`, or without a first byte for `NEW_GRACE`.
    pub async fn wait_closable(&self, with_partial_request: bool, idle: Duration) {
        loop {
            let (phase, since) = self.phase.get();
            let closable_at = match phase {
                _ if self.last_answer.get() => None,
                ConnectionPhase::Idle if self.flushed.get() && with_partial_request => return,
                // A request may be in transit when the connection closes; a connection in use is closed after its next
                // response.
                ConnectionPhase::Idle if self.flushed.get() => Some(since + idle),
                ConnectionPhase::New | ConnectionPhase::Reading if with_partial_request => return,
                // A client that has just connected is about to send a request.
                ConnectionPhase::New => Some(since + NEW_GRACE),
                _ => None,
            };
            match closable_at {
                Some(at) => tokio::select! {
                    () = self.phase_changed.notified() => {}
                    () = tokio::time::sleep_until(at) => return,
                },
                None => self.phase_changed.notified().await,
            }
        }
    }

    /// The current phase.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase.get().0
    }

    /// Enters a phase.
    pub fn set_phase(&self, phase: ConnectionPhase, now: Instant) {
        if self.phase() == ConnectionPhase::New && now - self.accepted > BACKLOG_READ {
            self.accept_wait.set(Duration::ZERO);
        }
        if self.phase() == ConnectionPhase::Idle {
            self.request_deadline.set(now + REQUEST_TIMEOUT);
        }
        if self.phase() == ConnectionPhase::Answering {
            self.flushed.set(false);
            *self.progress.borrow_mut() = None;
            self.early_tail.set(None);
            *self.head_memory.borrow_mut() = None;
        }
        self.phase.set((phase, now));
        self.phase_changed.notify_one();
    }

    /// Deadline for receiving the whole current request.
    pub fn request_deadline(&self) -> Instant {
        self.request_deadline.get()
    }

    /// Completes when the connection has to be closed. If the phase has changed since the close was requested, as by a
    /// request that was unread at that moment, the close is cancelled.
    pub async fn close_requested(&self) {
        loop {
            self.close.notified().await;
            let is_begun = self.phase() == ConnectionPhase::Answering && !self.is_receiving_body();
            if self.phase.get() == self.phase_at_close.get() && !is_begun {
                return;
            }
            self.closing.set(false);
        }
    }

    fn is_overdue(&self, now: Instant) -> bool {
        match self.phase.get() {
            (ConnectionPhase::New | ConnectionPhase::Reading, _) => now >= self.request_deadline(),
            (ConnectionPhase::Idle, since) => now >= since + MAX_IDLE,
            // Both phases have time limits of their own.
            (ConnectionPhase::Answering | ConnectionPhase::Lingering, _) => false,
        }
    }

    /// Time from which the connection may be closed to free its permit; `None` if it must stay open. `is_exhausted`:
    /// whether no permit is free.
    fn evictable_at(&self, is_exhausted: bool) -> Option<Instant> {
        let (phase, since) = self.phase.get();
        let is_incomplete = phase == ConnectionPhase::Reading || self.is_receiving_body();
        let wait = match phase {
            ConnectionPhase::New => NEW_GRACE,
            _ if is_incomplete && is_exhausted => {
                return Some((since + READING_GRACE).min(self.last_read.get() + STALLED_GRACE));
            }
            ConnectionPhase::Reading => READING_GRACE,
            ConnectionPhase::Answering if is_incomplete => READING_GRACE,
            // A slow client is still reading its response.
            ConnectionPhase::Idle if !self.flushed.get() => return None,
            ConnectionPhase::Idle => IDLE_GRACE,
            ConnectionPhase::Lingering => LINGERING_GRACE,
            ConnectionPhase::Answering => return None,
        };
        Some(since + wait)
    }

    fn request_close(&self) {
        self.closing.set(true);
        self.phase_at_close.set(self.phase.get());
        self.close.notify_one();
    }
}

/// All open client connections.
#[derive(Default)]
pub struct ClientConnections(RefCell<Vec<Rc<ClientConnection>>>);

impl ClientConnections {
    /// Adds a connection accepted at `now`.
    pub fn add(&self, now: Instant) -> Rc<ClientConnection> {
        let connection = Rc::new(ClientConnection::new(now));
        self.0.borrow_mut().push(connection.clone());
        connection
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, connection: &Rc<ClientConnection>) {
        self.0.borrow_mut().retain(|other| !Rc::ptr_eq(other, connection));
    }

    /// Closes all connections except those with a pending response and those whose client is still reading a response; the
    /// latter last until the process is killed.
    pub fn close_inactive(&self) {
        let is_active = |connection: &ClientConnection| match connection.phase() {
            ConnectionPhase::Answering => true,
            ConnectionPhase::Idle => !connection.is_flushed(),
            _ => false,
        };
        let connections = self.0.borrow();
        let inactive = connections.iter().filter(|other| !other.closing.get() && !is_active(other));
        inactive.for_each(|connection| connection.request_close());
    }

    /// Closes connections whose request has been incomplete for longer than clients need to send one; returns their number.
    pub fn close_slow_requests(&self, now: Instant) -> usize {
        let connections = self.0.borrow();
        let is_slow = |connection: &ClientConnection| {
            let is_incomplete =
                connection.phase() == ConnectionPhase::Reading || connection.is_receiving_body();
            is_incomplete && connection.evictable_at(false).is_some_and(|at| at <= now)
        };
        let slow = connections.iter().filter(|other| !other.closing.get() && is_slow(other));
        slow.map(|connection| connection.request_close()).count()
    }

    /// Closes connections that exceed the time limit of their phase, then evictable ones, earliest evictable first, until
    /// `shortage` permits are about to be released. `is_exhausted`: whether no permit is free.
    pub fn close_overdue(&self, now: Instant, shortage: usize, is_exhausted: bool) {
        let connections = self.0.borrow();
        let overdue = connections.iter().filter(|other| !other.closing.get() && other.is_overdue(now));
        overdue.for_each(|connection| connection.request_close());
        let closing = connections.iter().filter(|other| other.closing.get()).count();
        let mut evictable: Vec<(Instant, Instant, &Rc<ClientConnection>)> = connections
            .iter()
            .filter(|other| !other.closing.get())
            .filter_map(|other| {
                let at = other.evictable_at(is_exhausted).filter(|&at| at <= now)?;
                Some((at, other.accepted, other))
            })
            .collect();
        evictable.sort_by_key(|&(at, accepted, _)| (at, accepted));
        let chosen = evictable.iter().take(shortage.saturating_sub(closing));
        chosen.for_each(|(.., connection)| connection.request_close());
    }
}

#[cfg(test)]
mod tests;

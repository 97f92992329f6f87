//! Client connections: what phase each is in, how long it may last, and which are closed when permits run short. A connection
//! with a query being answered never is.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::arrival::BodyCompletion;

/// A request has to be whole this long after it began, the first on a connection after connecting: a client that does not
/// get so far is owed an error or a close within 3 s, of which half a second may pass waiting for the processor.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection idle for longer is closed in any case.
const MAX_IDLE: Duration = Duration::from_secs(60);
/// Clients expect that a connection idle for so long may be closed.
const IDLE_YIELDS: Duration = Duration::from_secs(2);
/// Time for the first byte of a client that connected, which has a request to send: many times the way from it.
const NEW_YIELDS: Duration = Duration::from_millis(100);
/// However long a connection waited to be accepted, what lies on it is read first, within this.
const MIN_READ_TIME: Duration = Duration::from_millis(250);
/// What lay on a connection as it was accepted is read within this.
const BACKLOG_READ: Duration = Duration::from_millis(20);
/// A request comes in one go: one that stops half way for so long is broken off.
const READING_YIELDS: Duration = Duration::from_millis(1000);
/// Time for a last answer to be read when others wait for the permit.
const LINGERING_YIELDS: Duration = Duration::from_millis(250);

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing has come on it yet.
    New,
    /// Some of a request's head has come.
    Reading,
    /// A request's body is read, or the request is answered.
    Answering,
    /// The last request was answered.
    Idle,
    /// Its last answer is given, and the client is left time to read it.
    Lingering,
}

/// One client's connection.
pub struct ClientConnection {
    accepted: Instant,
    phase: Cell<(ConnectionPhase, Instant)>,
    /// When a request that has begun has to be whole.
    request_deadline: Cell<Instant>,
    closing: Cell<bool>,
    close: Notify,
    /// Its phase when it was asked to close.
    phase_at_close: Cell<(ConnectionPhase, Instant)>,
    /// The last answer has been handed to the system whole.
    flushed: Cell<bool>,
    /// Its last answer says that the connection ends with it.
    last_answer: Cell<bool>,
    phase_changed: Notify,
    /// Of a request whose body comes in chunks: whether that is whole.
    chunked_body: RefCell<Option<Arc<BodyCompletion>>>,
    chunked_body_begun: Notify,
    /// For how long what is read first may have waited for the connection to be accepted.
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
            chunked_body: RefCell::default(),
            chunked_body_begun: Notify::new(),
            accept_wait: Cell::default(),
        }
    }

    /// Continues where another process had it: between two requests, or with some of one read, which has to be whole within
    /// `request_timeout`.
    pub fn resume(&self, now: Instant, request_timeout: Option<Duration>) {
        let phase = if request_timeout.is_some() { ConnectionPhase::Reading } else { ConnectionPhase::Idle };
        self.phase.set((phase, now));
        let timeout = request_timeout.unwrap_or(REQUEST_TIMEOUT).min(REQUEST_TIMEOUT);
        self.request_deadline.set(now + timeout);
    }

    /// It may have waited so long to be accepted, with its first request.
    pub fn set_accept_wait(&self, wait: Duration) {
        self.accept_wait.set(wait);
        let left = REQUEST_TIMEOUT.saturating_sub(wait).max(MIN_READ_TIME);
        self.request_deadline.set(self.accepted + left);
    }

    /// For how long the present request may have waited for the connection to be accepted.
    pub fn take_accept_wait(&self) -> Duration {
        self.accept_wait.take()
    }

    /// A request's body comes in chunks; whoever reads it signals when it is whole.
    pub fn expect_chunked_body(&self) -> Arc<BodyCompletion> {
        let body = Arc::<BodyCompletion>::default();
        *self.chunked_body.borrow_mut() = Some(body.clone());
        self.chunked_body_begun.notify_one();
        body
    }

    /// Ends when the body of a request that came in chunks is whole.
    pub async fn chunked_body_complete(&self) {
        loop {
            let body = self.chunked_body.borrow().clone();
            match body {
                Some(body) => return body.wait().await,
                None => self.chunked_body_begun.notified().await,
            }
        }
    }

    /// The present answer ends the connection.
    pub fn set_last_answer(&self) {
        self.last_answer.set(true);
    }

    /// Time left for a request that has begun, or for the first one; none otherwise.
    pub fn request_time_left(&self, now: Instant) -> Option<Duration> {
        let is_waited_for = matches!(self.phase(), ConnectionPhase::New | ConnectionPhase::Reading);
        is_waited_for.then(|| self.request_deadline() - now)
    }

    /// All that was to be written is with the system.
    pub fn set_flushed(&self) {
        if self.phase() == ConnectionPhase::Idle && !self.flushed.replace(true) {
            self.phase_changed.notify_one();
        }
    }

    /// Whether the last answer has been handed to the system whole.
    pub fn is_flushed(&self) -> bool {
        self.flushed.get()
    }

    /// Ends when it can be transferred or closed without any loss: no request is open on it and its last answer is written.
    /// `with_partial_request`: half a request may be there. `idle`: of a process that shuts down, a connection on which nothing
    /// came for so long is closed.
    pub async fn rest(&self, with_partial_request: bool, idle: Duration) {
        loop {
            let (phase, since) = self.phase.get();
            let rests_at = match phase {
                _ if self.last_answer.get() => None,
                ConnectionPhase::Idle if self.flushed.get() && with_partial_request => return,
                // A request may be on its way when the connection closes: one in use is closed with its next answer.
                ConnectionPhase::Idle if self.flushed.get() => Some(since + idle),
                ConnectionPhase::New | ConnectionPhase::Reading if with_partial_request => return,
                // A client that has just connected has a request to send.
                ConnectionPhase::New => Some(since + NEW_YIELDS),
                _ => None,
            };
            match rests_at {
                Some(at) => tokio::select! {
                    () = self.phase_changed.notified() => {}
                    () = tokio::time::sleep_until(at) => return,
                },
                None => self.phase_changed.notified().await,
            }
        }
    }

    /// What it is at.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase.get().0
    }

    /// From now on it is at something else.
    pub fn set_phase(&self, phase: ConnectionPhase, now: Instant) {
        if self.phase() == ConnectionPhase::New && now - self.accepted > BACKLOG_READ {
            self.accept_wait.set(Duration::ZERO);
        }
        if self.phase() == ConnectionPhase::Idle {
            self.request_deadline.set(now + REQUEST_TIMEOUT);
        }
        if self.phase() == ConnectionPhase::Answering {
            self.flushed.set(false);
        }
        self.phase.set((phase, now));
        self.phase_changed.notify_one();
    }

    /// When a request that has begun has to be whole.
    pub fn request_deadline(&self) -> Instant {
        self.request_deadline.get()
    }

    /// Ends when the connection has to be closed. A request may lie unread as an idle connection is asked to close; once it is
    /// read the connection is at something else, and stays.
    pub async fn close_requested(&self) {
        loop {
            self.close.notified().await;
            if self.phase.get() == self.phase_at_close.get() {
                return;
            }
            self.closing.set(false);
        }
    }

    fn is_overdue(&self, now: Instant) -> bool {
        match self.phase.get() {
            (ConnectionPhase::New | ConnectionPhase::Reading, _) => now >= self.request_deadline(),
            (ConnectionPhase::Idle, since) => now >= since + MAX_IDLE,
            // The HTTP service and lingering have time limits of their own.
            (ConnectionPhase::Answering | ConnectionPhase::Lingering, _) => false,
        }
    }

    /// From when it may be closed in favour of another; none while it may not.
    fn yields_at(&self) -> Option<Instant> {
        let (phase, since) = self.phase.get();
        let wait = match phase {
            ConnectionPhase::New => NEW_YIELDS,
            ConnectionPhase::Reading => READING_YIELDS,
            // A slow client still reads its answer.
            ConnectionPhase::Idle if !self.flushed.get() => return None,
            ConnectionPhase::Idle => IDLE_YIELDS,
            ConnectionPhase::Lingering => LINGERING_YIELDS,
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

/// All client connections; each is removed as it ends.
#[derive(Default)]
pub struct ClientConnections(RefCell<Vec<Rc<ClientConnection>>>);

impl ClientConnections {
    /// Adds a connection that was accepted now.
    pub fn add(&self, now: Instant) -> Rc<ClientConnection> {
        let connection = Rc::new(ClientConnection::new(now));
        self.0.borrow_mut().push(connection.clone());
        connection
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, connection: &Rc<ClientConnection>) {
        self.0.borrow_mut().retain(|other| !Rc::ptr_eq(other, connection));
    }

    /// Closes all but those that are answered or whose answer a slow client still reads: that is left to the kill.
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

    /// Closes connections that have been in a phase for too long; then those that may be closed in favour of others, the
    /// longest ready first, until `short` permits more are on their way to be released.
    pub fn close_overdue(&self, now: Instant, short: usize) {
        let connections = self.0.borrow();
        let overdue = connections.iter().filter(|other| !other.closing.get() && other.is_overdue(now));
        overdue.for_each(|connection| connection.request_close());
        let closing = connections.iter().filter(|other| other.closing.get()).count();
        let mut ready: Vec<(Instant, Instant, &Rc<ClientConnection>)> = connections
            .iter()
            .filter(|other| !other.closing.get())
            .filter_map(|other| Some((other.yields_at().filter(|&at| at <= now)?, other.accepted, other)))
            .collect();
        ready.sort_by_key(|&(at, accepted, _)| (at, accepted));
        let chosen = ready.iter().take(short.saturating_sub(closing));
        chosen.for_each(|(.., connection)| connection.request_close());
    }
}

#[cfg(test)]
mod tests;

//! Clients' connections: what each is at, how long it may be at that, and which give way to others when places
//! run short. A connection with an open request never does.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clients::http::BodyCompletion;

/// A request has to be whole this long after it began, the first on a connection after connecting: who does not
/// get so far is owed an error or a close within 3 s, and half a second of that may pass waiting for the processor.
const WHOLE_WITHIN: Duration = Duration::from_millis(2500);
/// Idle for longer than this a connection is closed in any case: most clients are back sooner.
const LONGEST_IDLE: Duration = Duration::from_secs(60);
/// Clients reckon with a close of a connection that has been idle for so long.
const IDLE_GIVES_WAY: Duration = Duration::from_secs(2);
/// A client that connects has a request to send: many times the way from it is time enough for the first byte.
const SILENT_GIVES_WAY: Duration = Duration::from_millis(100);
/// However long a connection waited to be accepted, what lies on it is read first.
const READ_WITHIN: Duration = Duration::from_millis(250);
/// What lay on a connection as it was accepted is read within this.
const LAY_UNREAD: Duration = Duration::from_millis(20);
/// A request comes in one go, so what stops half way for so long is broken off or a bad client's.
const BEGUN_GIVES_WAY: Duration = Duration::from_millis(1000);
/// Time for a last answer to be read when others wait for the place.
const PARTING_GIVES_WAY: Duration = Duration::from_millis(250);

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing has come on it yet.
    Silent,
    /// Some of a request's head has come.
    Begun,
    /// A request is read or answered.
    Open,
    /// The last request was answered.
    Idle,
    /// Its last answer is given, and the client is left time to read it.
    Parting,
}

pub struct ClientConnection {
    came: Instant,
    doing: Cell<(ConnectionPhase, Instant)>,
    /// Until when a request begun has to be whole.
    whole_by: Cell<Instant>,
    leaving: Cell<bool>,
    leave: Notify,
    /// What it was at, and since when, as it was called to leave.
    called_from: Cell<(ConnectionPhase, Instant)>,
    /// The last answer has been handed to the system whole.
    flushed: Cell<bool>,
    /// Its last answer says that the connection ends with it.
    last: Cell<bool>,
    moved_on: Notify,
    /// Of a request whose body comes in chunks: whether that is whole.
    body: RefCell<Option<Arc<BodyCompletion>>>,
    body_begun: Notify,
    /// How long what is read first may have waited for the connection to be accepted.
    waited: Cell<Duration>,
}

impl ClientConnection {
    fn new(now: Instant) -> ClientConnection {
        let (doing, whole_by) = (Cell::new((ConnectionPhase::Silent, now)), Cell::new(now + WHOLE_WITHIN));
        let called_from = doing.clone();
        let (leaving, flushed) = (Cell::default(), Cell::new(true));
        let (leave, last, moved_on) = (Notify::new(), Cell::default(), Notify::new());
        let (body, body_begun) = (RefCell::default(), Notify::new());
        ClientConnection {
            came: now,
            doing,
            whole_by,
            leaving,
            leave,
            called_from,
            flushed,
            last,
            moved_on,
            body,
            body_begun,
            waited: Cell::default(),
        }
    }

    /// Goes on from where another process had it: between two requests, or with some of one read, which has to be
    /// whole within that.
    pub fn goes_on(&self, now: Instant, whole_within: Option<Duration>) {
        let doing = if whole_within.is_some() { ConnectionPhase::Begun } else { ConnectionPhase::Idle };
        self.doing.set((doing, now));
        self.whole_by.set(now + whole_within.unwrap_or(WHOLE_WITHIN).min(WHOLE_WITHIN));
    }

    /// It may have waited so long to be accepted, with its first request.
    pub fn waited(&self, waited: Duration) {
        self.waited.set(waited);
        let left = WHOLE_WITHIN.saturating_sub(waited).max(READ_WITHIN);
        self.whole_by.set(self.came + left);
    }

    /// How long the request at hand may have waited to be accepted.
    pub fn take_waited(&self) -> Duration {
        self.waited.take()
    }

    /// A request's body comes in chunks; whoever reads it says when it is whole.
    pub fn body_comes(&self) -> Arc<BodyCompletion> {
        let body = Arc::<BodyCompletion>::default();
        *self.body.borrow_mut() = Some(body.clone());
        self.body_begun.notify_one();
        body
    }

    /// Ends when the body of a request that came in chunks is whole.
    pub async fn body_is_whole(&self) {
        loop {
            let body = self.body.borrow().clone();
            match body {
                Some(body) => return body.wait().await,
                None => self.body_begun.notified().await,
            }
        }
    }

    /// The answer at hand ends the connection.
    pub fn ends(&self) {
        self.last.set(true);
    }

    /// Until when a request begun has to be whole, from now on.
    pub fn whole_within(&self, now: Instant) -> Option<Duration> {
        matches!(self.doing(), ConnectionPhase::Silent | ConnectionPhase::Begun)
            .then(|| self.whole_by() - now)
    }

    /// All of the answer is with the system.
    pub fn flushed(&self) {
        if self.doing() == ConnectionPhase::Idle && !self.flushed.replace(true) {
            self.moved_on.notify_one();
        }
    }

    pub fn is_flushed(&self) -> bool {
        self.flushed.get()
    }

    /// Ends when no request is open on it and its last answer has gone: a moment in which it can pass or end without
    /// any loss. `begun`: half a request read may be at hand. `idle`: of a process that ends, a connection leaves when
    /// nothing came on it for so long.
    pub async fn rests(&self, begun: bool, idle: Duration) {
        loop {
            match self.doing() {
                _ if self.last.get() => self.moved_on.notified().await,
                ConnectionPhase::Idle if self.flushed.get() && begun => return,
                // Guards against a request that is on its way when the connection closes: one in use is ended with its
                // next answer.
                ConnectionPhase::Idle if self.flushed.get() => {
                    let (_, since) = self.doing.get();
                    tokio::select! {
                        () = self.moved_on.notified() => {}
                        () = tokio::time::sleep_until(since + idle) => return,
                    }
                }
                ConnectionPhase::Silent | ConnectionPhase::Begun if begun => return,
                // Guards against a request lost on its way: who has just connected has one to send.
                ConnectionPhase::Silent => {
                    let (_, since) = self.doing.get();
                    tokio::select! {
                        () = self.moved_on.notified() => {}
                        () = tokio::time::sleep_until(since + SILENT_GIVES_WAY) => return,
                    }
                }
                _ => self.moved_on.notified().await,
            }
        }
    }

    pub fn doing(&self) -> ConnectionPhase {
        self.doing.get().0
    }

    /// From now on it is at something else.
    pub fn turns_to(&self, doing: ConnectionPhase, now: Instant) {
        if self.doing() == ConnectionPhase::Silent && now - self.came > LAY_UNREAD {
            self.waited.set(Duration::ZERO);
        }
        if self.doing() == ConnectionPhase::Idle {
            self.whole_by.set(now + WHOLE_WITHIN);
        }
        if self.doing() == ConnectionPhase::Open {
            self.flushed.set(false);
        }
        self.doing.set((doing, now));
        self.moved_on.notify_one();
    }

    pub fn whole_by(&self) -> Instant {
        self.whole_by.get()
    }

    /// Ends when the connection has to be closed. Guards against a request that lay unread as an idle connection was called
    /// to leave: once read it was taken, and then closed upon without an answer. Who is at something else by now stays.
    pub async fn called_to_leave(&self) {
        loop {
            self.leave.notified().await;
            if self.doing.get() == self.called_from.get() {
                return;
            }
            self.leaving.set(false);
        }
    }

    fn overdue(&self, now: Instant) -> bool {
        match self.doing.get() {
            (ConnectionPhase::Silent | ConnectionPhase::Begun, _) => now >= self.whole_by(),
            (ConnectionPhase::Idle, since) => now >= since + LONGEST_IDLE,
            // The front and whoever sees it off have limits of their own.
            (ConnectionPhase::Open | ConnectionPhase::Parting, _) => false,
        }
    }

    /// Since when it could give way.
    fn gives_way(&self) -> Option<Instant> {
        let (doing, since) = self.doing.get();
        let wait = match doing {
            ConnectionPhase::Silent => SILENT_GIVES_WAY,
            ConnectionPhase::Begun => BEGUN_GIVES_WAY,
            // Guards against an answer cut by us that a slow client still reads.
            ConnectionPhase::Idle if !self.flushed.get() => return None,
            ConnectionPhase::Idle => IDLE_GIVES_WAY,
            ConnectionPhase::Parting => PARTING_GIVES_WAY,
            ConnectionPhase::Open => return None,
        };
        Some(since + wait)
    }

    fn call_to_leave(&self) {
        self.leaving.set(true);
        self.called_from.set(self.doing.get());
        self.leave.notify_one();
    }
}

/// All of them; each leaves the list as its connection ends.
#[derive(Default)]
pub struct ClientConnections(RefCell<Vec<Rc<ClientConnection>>>);

impl ClientConnections {
    pub fn enter(&self, now: Instant) -> Rc<ClientConnection> {
        let connection = Rc::new(ClientConnection::new(now));
        self.0.borrow_mut().push(connection.clone());
        connection
    }

    pub fn none(&self) -> bool {
        self.0.borrow().is_empty()
    }

    pub fn leave(&self, connection: &Rc<ClientConnection>) {
        self.0.borrow_mut().retain(|v| !Rc::ptr_eq(v, connection));
    }

    /// Closes all that have no request open. Guards against an answer cut by us that a slow client still reads: that is
    /// left to the kill.
    pub fn end(&self) {
        let connections = self.0.borrow();
        let reads = |v: &ClientConnection| {
            v.doing() == ConnectionPhase::Open || v.doing() == ConnectionPhase::Idle && !v.is_flushed()
        };
        connections.iter().filter(|v| !v.leaving.get() && !reads(v)).for_each(|v| v.call_to_leave());
    }

    /// Closes what has been at something for too long; then those that may give way, the longest ready first,
    /// until `short` places more are on their way to be free. Guards against clients kept out by connections that
    /// asked once and stay, or that never say anything.
    pub fn look(&self, now: Instant, short: usize) {
        let connections = self.0.borrow();
        connections.iter().filter(|v| !v.leaving.get() && v.overdue(now)).for_each(|v| v.call_to_leave());
        let on_their_way = connections.iter().filter(|v| v.leaving.get()).count();
        let mut ready: Vec<(Instant, Instant, &Rc<ClientConnection>)> = connections
            .iter()
            .filter(|v| !v.leaving.get())
            .filter_map(|v| Some((v.gives_way().filter(|&at| at <= now)?, v.came, v)))
            .collect();
        ready.sort_by_key(|&(at, came, _)| (at, came));
        ready.iter().take(short.saturating_sub(on_their_way)).for_each(|(.., v)| v.call_to_leave());
    }
}

#[cfg(test)]
mod tests;

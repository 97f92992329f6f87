//! Requests of a soak test as observed by their clients.

use std::time::{Duration, Instant};

/// Behaviour of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// Sends one request, on an idle connection if there is one, and waits for the answer.
    Plain,
    /// Closes or resets the connection before the answer.
    Disconnects,
    /// Sends extra bytes after the request, then closes or resets the connection before the answer.
    DisconnectsAfterExtraBytes,
    /// Sends extra bytes after a chunked request, then closes or resets the connection before the answer.
    DisconnectsAfterExtraChunks,
    /// Sends only the first part of a request and keeps the connection open.
    PartialRequest,
    /// Writes the request in small pieces with pauses.
    SlowWriter,
    /// Sends several requests on one connection without waiting for answers.
    Pipelines,
    /// Sets a deadline of less than 40 ms.
    ShortDeadline,
}

/// End of a request as observed by its client.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEnd {
    /// The request has not ended.
    Open,
    /// An answer was received.
    Answered { status: u16, at: Instant },
    /// The client closed the connection.
    Disconnected { at: Instant },
    /// A new connection could not be opened, at the first attempt or after an idle connection had ended.
    NotAccepted,
    /// The connection ended without an answer; `reused` if it had carried an earlier request.
    Interrupted { at: Instant, reused: bool },
    /// No answer was received in time, and the connection stayed open.
    NoResponse,
    /// A partial request was answered or its connection closed.
    Refused { at: Instant },
}

/// A request as observed by its client.
pub struct Request {
    pub id: String,
    pub node: usize,
    pub behavior: ClientBehavior,
    /// When the last byte of the request was written.
    pub sent_at: Instant,
    pub wait: Duration,
    pub end: RequestEnd,
    /// Whether the answer differs from what the replicas sent.
    pub corrupted: bool,
}

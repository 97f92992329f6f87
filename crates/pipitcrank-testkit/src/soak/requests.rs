//! Requests of a soak test as their clients saw them.

use std::time::{Duration, Instant};

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    Plain,
    /// Closes or resets the connection before its answer.
    Disconnects,
    /// The same with bytes behind its request.
    DisconnectsAfterExtraBytes,
    /// The same behind a chunked body.
    DisconnectsAfterExtraChunks,
    /// Sends half a request and keeps the connection open.
    PartialRequest,
    /// Writes in pieces.
    SlowWriter,
    /// Sends several requests at once.
    Pipelines,
    /// Has very little time.
    ShortDeadline,
}

/// How it ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEnd {
    Open,
    Answered {
        status: u16,
        at: Instant,
    },
    /// The client closed.
    Disconnected {
        at: Instant,
    },
    /// Nobody listened, or a kept connection was found closed and the request went nowhere else.
    NotAccepted,
    /// A connection ended without an answer.
    Interrupted {
        at: Instant,
        kept: bool,
    },
    /// Nothing arrived.
    NoResponse,
    /// Half a request: answered or closed.
    Refused {
        at: Instant,
    },
}

/// A request as its client saw it.
pub struct Request {
    pub id: String,
    pub node: usize,
    pub behavior: ClientBehavior,
    /// When its last byte was written.
    pub sent_at: Instant,
    pub wait: Duration,
    pub end: RequestEnd,
    /// The answer is not what the replicas gave.
    pub corrupted: bool,
}

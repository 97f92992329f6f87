//! Messages of an upgrade: between the supervisor and a worker, and between predecessor and successor.
//!
//! All messages are encoded with postcard, by position: the order and types of variants and fields must not change.

use pipitcrank_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::upgrade_event::UpgradeCounts;

/// Protocol version, incremented with each change of a message. Both sides send it in their first message.
pub const PROTOCOL_VERSION: u16 = 1;

/// Messages from the supervisor to a worker.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToWorker {
    /// First message on the link, with the protocol version.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u16,
    },
    /// Request to serve. Carries the descriptor of the listener.
    Serve,
    /// Request to take over from the predecessor. Carries the descriptor of a socket connected to the predecessor.
    TakeOver,
    /// Request to hand over to the successor. Carries the descriptor of a socket connected to the successor.
    HandOver,
    /// The other worker takes no further part in the upgrade, and this worker continues alone.
    ContinueAlone,
    /// The trial has passed: the worker transfers the listener and the connections, and exits.
    TransferConnections,
    /// Numbers of requested, completed and rolled back upgrades.
    UpgradeCounts(UpgradeCounts),
}

/// Messages from a worker to the supervisor.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum ToSupervisor {
    /// First message on the link, with the protocol version.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u16,
    },
    /// The configuration is valid, and the worker is able to serve.
    Ready,
    /// The predecessor's state is loaded or was rejected as unusable, and the worker accepts queries.
    StateLoaded,
    /// Heartbeat of a worker on trial, sent at regular intervals.
    Heartbeat,
    /// The worker has no open queries of its own.
    Drained,
    /// The listener and all connections are transferred.
    HandedOver,
}

/// Messages from the predecessor to the successor.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToSuccessor {
    /// First message on the link, with the protocol version.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u16,
    },
    /// Encoded snapshot; empty if the encoding failed.
    Snapshot(Vec<u8>),
    /// Query to be answered for a client of the predecessor.
    Query(RelayedQuery),
    /// The client of the query has disconnected.
    CancelQuery {
        /// Ticket of the query, as in [`RelayedQuery::ticket`].
        ticket: u64,
    },
    /// Resources that the predecessor still holds, which count against the limits shared with the successor.
    HeldResources {
        /// Number of the predecessor's open connections to replicas.
        replica_connections: u32,
        /// Number of the predecessor's open client connections.
        client_connections: u32,
        /// Number of the predecessor's open queries and parts.
        open_queries: u32,
    },
    /// Client connection. Carries the descriptor of its socket.
    ClientConnection {
        /// Bytes already read from the socket.
        buffered: Vec<u8>,
        /// Time left for the client to complete the request whose start is buffered.
        request_timeout: Option<TimeSpan>,
    },
    /// Last message of the predecessor.
    Finished {
        /// Number of delegated retries that the predecessor has used.
        delegated_retries_used: u32,
        /// Counters of the predecessor.
        counters: Vec<CounterValue>,
    },
    /// Like `Query`, with an idempotency key. New variants come last, so that older ones keep their encoding.
    QueryWithKey {
        /// Query to be answered for a client of the predecessor.
        query: RelayedQuery,
        /// Idempotency key of the query.
        idempotency_key: String,
    },
}

/// Messages from the successor to the predecessor.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToPredecessor {
    /// First message on the link, with the protocol version.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u16,
    },
    /// Final answer to a relayed query.
    Response {
        /// Ticket of the query, as in [`RelayedQuery::ticket`].
        ticket: u64,
        /// Response for the client.
        response: RelayedResponse,
    },
}

/// Value of a counter in `/counters`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterValue {
    /// Group of the counter.
    pub group: String,
    /// Name of the counter within its group.
    pub name: String,
    /// Value of the counter.
    pub value: u64,
}

/// A query whose client is connected to the predecessor while the successor answers it.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayedQuery {
    /// Number that the predecessor has assigned to the query.
    pub ticket: u64,
    /// Id that the client has assigned to the query.
    pub id: String,
    /// Index of the query's request class.
    pub class: u16,
    /// Time left until the query's deadline.
    pub time_left: TimeSpan,
    /// Parts of the query, one for each shard.
    pub parts: Vec<RelayedPart>,
    /// Text of the query.
    pub text: String,
}

/// A part of a relayed query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedPart {
    /// Index of the shard.
    pub shard: u32,
    /// Weight of the part in the answer.
    pub weight: f64,
    /// Expected work of the part, if the client states it.
    pub work: Option<f64>,
}

/// Final answer to a relayed query.
#[derive(Debug, Serialize, Deserialize)]
pub enum RelayedResponse {
    /// The query was answered in full or in part.
    Answered {
        /// Whether all parts were answered.
        complete: bool,
        /// Answers of the shards.
        hits: Vec<RelayedHit>,
    },
    /// The query was rejected before any work was done.
    Rejected {
        /// Time after which the client may retry.
        retry_after: TimeSpan,
    },
    /// The query was aborted, possibly after some work was done.
    Aborted,
    /// Another query with the same id is open.
    DuplicateId,
}

/// Answer of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedHit {
    /// Index of the shard.
    pub shard: u32,
    /// Answer of the replica.
    pub value: String,
}

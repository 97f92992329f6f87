//! Messages of an upgrade: between the supervisor and a worker, and between predecessor and successor.
//!
//! All travel in postcard's form, which encodes by position: variants and fields keep their order and types.

use pipitcrank_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::upgrade_event::UpgradeCounts;

/// Protocol version, raised with each change of a message's form. Each side sends it first.
pub const PROTOCOL_VERSION: u16 = 1;

/// From the supervisor to a worker.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToWorker {
    /// The first message.
    Hello {
        /// The sender's [`PROTOCOL_VERSION`].
        version: u16,
    },
    /// Serve. Carries the listener's descriptor.
    Serve,
    /// Take over from the process at the other end of the socket whose descriptor this carries.
    TakeOver,
    /// Hand over to the process at the other end of the socket whose descriptor this carries.
    HandOver,
    /// The other worker is out of the upgrade: continue alone.
    ContinueAlone,
    /// The trial has passed: transfer the listener and the connections, then exit.
    TransferConnections,
    /// How many upgrades were requested, and what became of them.
    UpgradeCounts(UpgradeCounts),
}

/// From a worker to the supervisor.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum ToSupervisor {
    /// The first message.
    Hello {
        /// The sender's [`PROTOCOL_VERSION`].
        version: u16,
    },
    /// The configuration is validated; the worker could serve.
    Ready,
    /// The predecessor's state is loaded, or found unusable; the worker accepts queries.
    StateLoaded,
    /// Sent regularly by a worker on trial.
    Heartbeat,
    /// None of the worker's own queries is open.
    Drained,
    /// All is transferred.
    HandedOver,
}

/// From the predecessor to the successor.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToSuccessor {
    /// The first message.
    Hello {
        /// The sender's [`PROTOCOL_VERSION`].
        version: u16,
    },
    /// An encoded snapshot; empty where none could be made.
    Snapshot(Vec<u8>),
    /// A query to answer on the predecessor's behalf.
    Query(RelayedQuery),
    /// The client of this query has disconnected.
    CancelQuery {
        /// The predecessor's ticket.
        ticket: u64,
    },
    /// What the predecessor still holds, to be counted against the common limits.
    HeldResources {
        /// Open connections to replicas.
        replica_connections: u32,
        /// Open connections of clients.
        client_connections: u32,
        /// Open queries and parts.
        open_queries: u32,
    },
    /// A client's connection. Carries its descriptor.
    ClientConnection {
        /// Bytes already read from it.
        buffered: Vec<u8>,
        /// Time left for the request that these bytes begin.
        request_timeout: Option<TimeSpan>,
    },
    /// The predecessor's last message.
    Finished {
        /// How many of the delegated retries it has used.
        delegated_retries_used: u32,
        /// Its counters.
        counters: Vec<CounterValue>,
    },
    /// A query with an idempotency key. The last variant, so that the older ones keep their form.
    QueryWithKey {
        /// The query.
        query: RelayedQuery,
        /// Its idempotency key.
        idempotency_key: String,
    },
}

/// From the successor to the predecessor.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToPredecessor {
    /// The first message.
    Hello {
        /// The sender's [`PROTOCOL_VERSION`].
        version: u16,
    },
    /// The final answer to a relayed query.
    Response {
        /// The predecessor's ticket.
        ticket: u64,
        /// The answer.
        response: RelayedResponse,
    },
}

/// A counter as `/counters` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterValue {
    /// What is counted.
    pub group: String,
    /// Which of the group.
    pub name: String,
    /// The count.
    pub value: u64,
}

/// A query whose client is connected to the predecessor while the successor answers it.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayedQuery {
    /// The predecessor's number of it.
    pub ticket: u64,
    /// The client's id of it.
    pub id: String,
    /// Index of its request class.
    pub class: u16,
    /// Time left until its deadline.
    pub time_left: TimeSpan,
    /// Its parts, one for each shard.
    pub parts: Vec<RelayedPart>,
    /// The query's text.
    pub text: String,
}

/// A part of a relayed query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedPart {
    /// Index of the shard.
    pub shard: u32,
    /// The part's share of the answer.
    pub weight: f64,
    /// The work that the client expects, if stated.
    pub work: Option<f64>,
}

/// The final answer to a relayed query.
#[derive(Debug, Serialize, Deserialize)]
pub enum RelayedResponse {
    /// Answered.
    Answered {
        /// Whether all parts are answered.
        complete: bool,
        /// The answered parts.
        hits: Vec<RelayedHit>,
    },
    /// Rejected before any work was done.
    Rejected {
        /// When the client may try again.
        retry_after: TimeSpan,
    },
    /// Given up after work may have been done.
    Aborted,
    /// A query with that id is open already.
    DuplicateId,
}

/// One shard's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedHit {
    /// Index of the shard.
    pub shard: u32,
    /// The replica's answer.
    pub value: String,
}

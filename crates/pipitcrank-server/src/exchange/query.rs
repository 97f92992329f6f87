//! Queries and their responses.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::sync::oneshot;

/// Target of the request log, which has one line for each step of a request with the id of the request or part.
pub const REQUEST_LOG_TARGET: &str = "pipitcrank::requests";

/// A client's query.
pub struct QueryRequest {
    /// The client's id of the query, unique among the open queries.
    pub id: String,
    /// Its request class.
    pub class: RequestClassId,
    /// Time at which the client stops waiting.
    pub deadline: Timestamp,
    /// Parts of the query, one for each shard.
    pub parts: Vec<QueryPart>,
    /// The client's idempotency key, by which replicas detect a repeat of a request that is idempotent by key.
    pub idempotency_key: Option<Arc<str>>,
    /// Query text for the replicas.
    pub text: Arc<str>,
}

/// The part of a query that one shard answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryPart {
    /// Number of the shard.
    pub shard: u32,
    /// Fraction of the complete answer, from 0 to 1.
    pub weight: f64,
    /// The client's estimate of the work, in seconds.
    pub work: Option<f64>,
}

/// The final answer to a query. Each query gets exactly one.
#[derive(Debug, PartialEq)]
pub enum QueryResponse {
    /// Parts of sufficient total weight were answered.
    Answered {
        /// Whether the answer counts as complete.
        complete: bool,
        /// Shards and values, in the order of the request.
        hits: Vec<(u32, String)>,
    },
    /// No part has run, so that a repeat is harmless.
    Rejected {
        /// Time after which the client may retry; zero if no time is given.
        retry_after: TimeSpan,
    },
    /// A part may have run.
    Aborted,
    /// An open query has the same id.
    DuplicateId,
}

/// Receives the final answer to one query.
///
/// It is called within a batch and must not call back into the exchange.
pub trait ResponseSink {
    /// Receives the final answer to the query.
    fn respond(self: Box<Self>, response: QueryResponse);

    /// Whether nobody waits for the answer any more. It may be true before the client's disconnect is reported.
    fn is_abandoned(&self) -> bool {
        false
    }
}

impl<F: FnOnce(QueryResponse)> ResponseSink for F {
    fn respond(self: Box<Self>, response: QueryResponse) {
        self(response);
    }
}

impl ResponseSink for oneshot::Sender<QueryResponse> {
    fn respond(self: Box<Self>, response: QueryResponse) {
        // The receiver has been dropped if the client has just disconnected.
        let _ = self.send(response);
    }

    fn is_abandoned(&self) -> bool {
        self.is_closed()
    }
}

/// Receives the answers to the parts of one forwarded query as they arrive.
///
/// It is called within a batch and must not call back into the exchange.
pub trait PartSink {
    /// Receives the value with which `shard` answered.
    fn part_answered(&mut self, shard: u32, value: &str);
}

impl<F: FnMut(u32, &str)> PartSink for F {
    fn part_answered(&mut self, shard: u32, value: &str) {
        self(shard, value);
    }
}

/// Data that accompanies a query forwarded by another site.
pub struct DelegatedRequest {
    /// Number of retries and hedged requests delegated by the other site.
    pub retries: u32,
    /// Number of the delegated retries and hedged requests used so far.
    pub retries_used: Rc<Cell<u32>>,
    /// Receives the answers to parts as they arrive.
    pub on_part: Box<dyn PartSink>,
}

//! Queries, their responses, and what travels with them.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::sync::oneshot;

/// Log target of one line per step of a request, with its id: admitted, sent, not sent, ended, answered.
pub const REQUEST_LOG_TARGET: &str = "pipitcrank::requests";

/// A query as a client asked it.
pub struct QueryRequest {
    /// The client's id of the query; unique among the open ones.
    pub id: String,
    /// Its request class.
    pub class: RequestClassId,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// Its parts, one shard each.
    pub parts: Vec<QueryPart>,
    /// The client's key, by which replicas recognize a repeat of a request that is idempotent by key.
    pub idempotency_key: Option<Arc<str>>,
    /// What replicas are asked.
    pub text: Arc<str>,
}

/// One part of a query: what it asks of one shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryPart {
    /// The shard asked.
    pub shard: u32,
    /// Fraction of the complete answer, 0 to 1.
    pub weight: f64,
    /// The client's estimate of the work, in seconds.
    pub work: Option<f64>,
}

/// The one final response to a query.
#[derive(Debug, PartialEq)]
pub enum QueryResponse {
    /// Values came in for enough of its weight.
    Answered {
        /// Whether the answer counts as complete.
        complete: bool,
        /// Shard and value, in the order asked.
        hits: Vec<(u32, String)>,
    },
    /// Nothing has run: a repeat is harmless.
    Rejected {
        /// When to come back; zero where no time is given.
        retry_after: TimeSpan,
    },
    /// Something may have run.
    Aborted,
    /// An open query has the same id.
    DuplicateId,
}

/// Receives the final response of one query.
///
/// It is called within a batch and must not call back into the exchange.
pub trait ResponseSink {
    /// The query has ended with this response.
    fn respond(self: Box<Self>, response: QueryResponse);
}

impl<F: FnOnce(QueryResponse)> ResponseSink for F {
    fn respond(self: Box<Self>, response: QueryResponse) {
        self(response);
    }
}

impl ResponseSink for oneshot::Sender<QueryResponse> {
    fn respond(self: Box<Self>, response: QueryResponse) {
        // The receiver is dropped where the client disconnected in this very moment.
        let _ = self.send(response);
    }
}

/// Receives the answers to the parts of one forwarded query as they come in.
///
/// It is called within a batch and must not call back into the exchange.
pub trait PartSink {
    /// A shard's part was answered with this value.
    fn part_answered(&mut self, shard: u32, value: &str);
}

impl<F: FnMut(u32, &str)> PartSink for F {
    fn part_answered(&mut self, shard: u32, value: &str) {
        self(shard, value);
    }
}

/// What comes with a query that another site forwards.
pub struct DelegatedRequest {
    /// Retries and hedged requests that the other site delegates.
    pub retries: u32,
    /// How many of them were used.
    pub retries_used: Rc<Cell<u32>>,
    /// Where answers go as they come in.
    pub on_part: Box<dyn PartSink>,
}

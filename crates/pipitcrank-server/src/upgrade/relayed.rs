//! Conversion of queries and responses to and from the messages between two processes.

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::messages::{RelayedHit, RelayedPart, RelayedQuery, RelayedResponse};

use super::class_mapping::{ClassMapping, ClassMappingError};
use crate::exchange::{QueryPart, QueryRequest, QueryResponse};

/// Encodes a query for the successor.
pub(super) fn encode_query(ticket: u64, time_left: TimeSpan, request: QueryRequest) -> RelayedQuery {
    let part = |part: &QueryPart| {
        let QueryPart { shard, weight, work } = *part;
        RelayedPart { shard, weight, work }
    };
    let parts = request.parts.iter().map(part).collect();
    let (id, class, text) = (request.id, request.class.0, request.text.to_string());
    RelayedQuery { ticket, id, class, time_left, parts, text }
}

/// The request classes and shards of this process, and their counterparts at the predecessor.
pub(super) struct KnownDomain<'a> {
    pub(super) classes: &'a ClassMapping,
    pub(super) keyed_idempotency: &'a [bool],
    pub(super) shards: u32,
}

/// Reason for which this process does not accept a relayed query.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum RelayedQueryError {
    /// The class of the query is not one of this process.
    #[error("unknown request class: {0}")]
    UnknownClass(#[from] ClassMappingError),
    /// The query has no parts.
    #[error("expected at least one part, got none")]
    NoParts,
    /// A part is for a shard that does not exist.
    #[error("expected a shard below {shards}, got {shard}")]
    UnknownShard {
        /// The part's shard.
        shard: u32,
        /// Number of shards.
        shards: u32,
    },
    /// The class needs an idempotency key, and the query has none.
    #[error("expected an idempotency key for a request class that is idempotent by key, got none")]
    MissingKey,
}

/// Decodes a query of the predecessor.
pub(super) fn decode_query(
    now: Timestamp,
    domain: &KnownDomain,
    query: RelayedQuery,
    idempotency_key: Option<String>,
) -> Result<QueryRequest, RelayedQueryError> {
    let RelayedQuery { id, class, time_left, parts, text, .. } = query;
    let (class, shards) = (domain.classes.own_class(class)?, domain.shards);
    if parts.is_empty() {
        return Err(RelayedQueryError::NoParts);
    }
    if let Some(RelayedPart { shard, .. }) = parts.iter().find(|part| part.shard >= shards) {
        return Err(RelayedQueryError::UnknownShard { shard: *shard, shards });
    }
    if idempotency_key.is_none() && domain.keyed_idempotency[usize::from(class.0)] {
        return Err(RelayedQueryError::MissingKey);
    }
    let part = |RelayedPart { shard, weight, work }| QueryPart { shard, weight, work };
    Ok(QueryRequest {
        id,
        class,
        deadline: now + time_left,
        parts: parts.into_iter().map(part).collect(),
        idempotency_key: idempotency_key.map(Into::into),
        text: text.into(),
    })
}

pub(super) fn encode_response(response: QueryResponse) -> RelayedResponse {
    match response {
        QueryResponse::Answered { complete, hits } => {
            let hits = hits.into_iter().map(|(shard, value)| RelayedHit { shard, value }).collect();
            RelayedResponse::Answered { complete, hits }
        }
        QueryResponse::Rejected { retry_after } => RelayedResponse::Rejected { retry_after },
        QueryResponse::Aborted => RelayedResponse::Aborted,
        QueryResponse::DuplicateId => RelayedResponse::DuplicateId,
    }
}

pub(super) fn decode_response(response: RelayedResponse) -> QueryResponse {
    match response {
        RelayedResponse::Answered { complete, hits } => {
            let hits = hits.into_iter().map(|hit| (hit.shard, hit.value)).collect();
            QueryResponse::Answered { complete, hits }
        }
        RelayedResponse::Rejected { retry_after } => QueryResponse::Rejected { retry_after },
        RelayedResponse::Aborted => QueryResponse::Aborted,
        RelayedResponse::DuplicateId => QueryResponse::DuplicateId,
    }
}

//! Conversion of queries and responses to and from the messages between two processes.

use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::messages::{RelayedHit, RelayedPart, RelayedQuery, RelayedResponse};

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

/// The request classes and shards in this process's configuration.
pub(super) struct KnownDomain {
    pub(super) class_count: usize,
    pub(super) shards: u32,
}

/// Decodes a query of the predecessor; `None` if its request class or a shard is unknown to this process.
pub(super) fn decode_query(
    now: Timestamp,
    domain: KnownDomain,
    query: RelayedQuery,
    idempotency_key: Option<String>,
) -> Option<QueryRequest> {
    let RelayedQuery { id, class, time_left, parts, text, .. } = query;
    let is_known = usize::from(class) < domain.class_count
        && !parts.is_empty()
        && parts.iter().all(|part| part.shard < domain.shards);
    let part = |RelayedPart { shard, weight, work }| QueryPart { shard, weight, work };
    is_known.then(|| QueryRequest {
        id,
        class: RequestClassId(class),
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

//! The JSON bodies of queries and answers.

use std::borrow::Cow;

use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::request_error::RequestError;
use crate::exchange::{QueryPart, QueryRequest};

/// Longest accepted id and idempotency key; both are sent with each part.
pub const MAX_ID_BYTES: usize = 256;
/// Accepted difference between the sum of weights and 1; clients round each weight for the wire.
const WEIGHT_TOLERANCE: f64 = 0.01;
/// Hexadecimal digits of a key.
const KEY_DIGITS: usize = 16;
const MICROS_PER_SECOND: f64 = 1e6;

#[derive(Deserialize)]
struct QueryBody<'a> {
    #[serde(borrow)]
    shards: Vec<ShardBody<'a>>,
    #[serde(rename = "q")]
    text: String,
}

#[derive(Deserialize)]
struct ShardBody<'a> {
    shard: u32,
    weight: f64,
    #[serde(rename = "cost")]
    cost_us: Option<f64>,
    /// Validated only; no decision uses it.
    #[serde(borrow)]
    key: Option<Cow<'a, str>>,
}

/// The body of an answer.
#[derive(Serialize)]
pub struct AnswerBody<'a> {
    /// Whether the answer is marked as complete.
    pub complete: bool,
    /// One entry for each part in the answer.
    pub hits: Vec<HitBody<'a>>,
}

/// One part's value.
#[derive(Serialize)]
pub struct HitBody<'a> {
    /// The shard.
    pub shard: u32,
    /// The value.
    #[serde(rename = "doc")]
    pub value: &'a str,
}

/// The properties of a query that come from the request's path and headers.
pub struct QueryHead<'a> {
    /// The id that the client gave the query.
    pub id: &'a str,
    /// The request class.
    pub class: RequestClassId,
    /// Time at which the client stops waiting.
    pub deadline: Timestamp,
    /// The client's key, by which replicas detect duplicates.
    pub idempotency_key: Option<&'a str>,
}

/// Decodes a query's body, which may name the shards below `shard_count`.
pub fn decode_query(
    body: &[u8],
    head: QueryHead<'_>,
    shard_count: u32,
) -> Result<QueryRequest, RequestError> {
    let QueryBody { shards, text } = serde_json::from_slice(body).map_err(|_| RequestError::Json)?;
    check_shards(&shards, shard_count)?;
    let parts = shards.into_iter().map(|body| QueryPart {
        shard: body.shard,
        weight: body.weight,
        work: body.cost_us.map(|us| us / MICROS_PER_SECOND),
    });
    Ok(QueryRequest {
        id: head.id.to_string(),
        class: head.class,
        deadline: head.deadline,
        parts: parts.collect(),
        idempotency_key: head.idempotency_key.map(Into::into),
        text: text.into(),
    })
}

fn check_shards(shards: &[ShardBody<'_>], shard_count: u32) -> Result<(), RequestError> {
    if shards.is_empty() {
        return Err(RequestError::NoShard);
    }
    let mut sorted: Vec<u32> = shards.iter().map(|body| body.shard).collect();
    sorted.sort_unstable();
    let has_duplicate = sorted.windows(2).any(|pair| pair[0] == pair[1]);
    if has_duplicate || sorted.last().is_some_and(|&last| last >= shard_count) {
        return Err(RequestError::Shards);
    }
    let error = (shards.iter().map(|body| body.weight).sum::<f64>() - 1.0).abs();
    let are_fractions = shards.iter().all(|body| (0.0..=1.0).contains(&body.weight));
    if !(error <= WEIGHT_TOLERANCE && are_fractions) {
        return Err(RequestError::Weights);
    }
    if shards.iter().any(|body| body.cost_us.is_some_and(|cost| !cost.is_finite() || cost < 0.0)) {
        return Err(RequestError::Cost);
    }
    if shards.iter().any(|body| body.key.as_deref().is_some_and(|key| !is_hex_key(key))) {
        return Err(RequestError::PartKey);
    }
    Ok(())
}

/// Whether the key can be sent to replicas, which parse it after `k=` in a list separated by commas and spaces.
pub fn is_valid_idempotency_key(key: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',')
}

/// Whether the key has the form that clients compute: 16 hexadecimal digits.
pub fn is_hex_key(key: &str) -> bool {
    key.len() == KEY_DIGITS && key.bytes().all(|byte| byte.is_ascii_hexdigit())
}

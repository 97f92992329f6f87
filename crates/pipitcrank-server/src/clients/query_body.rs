//! The JSON bodies of queries and answers.

use std::borrow::Cow;

use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::request_error::RequestError;
use crate::exchange::{QueryPart, QueryRequest};

/// Longest id and idempotency key taken, in bytes: they are sent with each part.
pub const MAX_ID: usize = 256;
/// By how much the sum of weights may differ from 1: each is rounded for the wire.
const WEIGHT_TOLERANCE: f64 = 0.01;
/// Digits of a key that clients compute.
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
    /// Checked, and nothing more: no decision reads it.
    #[serde(borrow)]
    key: Option<Cow<'a, str>>,
}

/// The body of an answer.
#[derive(Serialize)]
pub struct AnswerBody<'a> {
    /// Whether the answer counts as complete.
    pub complete: bool,
    /// One entry for each part in it.
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

/// What is known of a query before its body is read.
pub struct QueryHead<'a> {
    /// The client's id of it.
    pub id: &'a str,
    /// Its request class.
    pub class: RequestClassId,
    /// When the client stops waiting.
    pub deadline: Timestamp,
    /// The client's key, by which replicas recognize a repeat.
    pub idempotency_key: Option<&'a str>,
}

/// Decodes a query that may name shards below `shard_count`.
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

/// Whether replicas can be sent the key: they read it behind `k=` in a list that commas and blanks separate.
pub fn is_valid_idempotency_key(key: &str) -> bool {
    (1..=MAX_ID).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',')
}

/// Whether it is a key as clients compute it.
pub fn is_hex_key(key: &str) -> bool {
    key.len() == KEY_DIGITS && key.bytes().all(|byte| byte.is_ascii_hexdigit())
}

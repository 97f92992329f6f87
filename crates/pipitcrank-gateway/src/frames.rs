//! The link protocol, version 1. A frame is a length of four bytes, most significant first, and a message in postcard's
//! wire format (postcard.jamesmunns.com/wire-format: varints, length-prefixed strings, enum variants by number). Fields
//! are encoded by position: renaming a field is compatible, changing its order or type is not. `docs/gateway.md`
//! describes each message field by field.

use bytes::{Buf, BytesMut};
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::clients::http::is_valid_idempotency_key;
use serde::{Deserialize, Serialize};

/// Protocol version; increased with each change of a message's encoding.
pub const PROTOCOL_VERSION: u16 = 1;
/// Length of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum length of a message, in bytes: enough for the longest answer to a part with its other fields, and for a
/// query of 200 parts with the longest body.
pub const MAX_MESSAGE_LENGTH: usize = 160 * 1024;
/// Maximum length of a site name, in bytes.
pub const MAX_SITE_NAME_LENGTH: usize = 64;
/// Maximum number of forwards in one status request.
const MAX_STATUS_NUMBERS: usize = 10_000;
/// Maximum time that a forward may have left until its deadline.
const MAX_TIME_LEFT: TimeSpan = TimeSpan::from_millis(24 * 3600 * 1000);
/// Maximum weight of a part, and maximum estimated work of a part in seconds.
const MAX_PART_NUMBER: f64 = 1e6;

/// Bit set of the optional features that this side supports in addition to its protocol version; none exist yet.
pub const CAPABILITIES: u32 = 0;

/// A message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// The handshake: the first message on each connection, sent by both sides.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u16,
        /// Name of the sender's site.
        site: String,
        /// Distinguishes the sending process from all other processes of its site.
        incarnation: u64,
        /// Number of the stream among the streams between the two sites.
        stream: u16,
        /// Initial flow-control credit of the receiver of this message, in bytes.
        credit: u32,
        /// The sender's optional features; see [`CAPABILITIES`].
        capabilities: u32,
    },
    /// A forward whose query has no idempotency key.
    Forward(Forward),
    /// The sender no longer needs answers to the forward.
    Cancel {
        /// The forward's number.
        number: u64,
    },
    /// The answer to one part of a forward.
    PartAnswer {
        /// The forward's number.
        number: u64,
        /// The part's shard.
        shard: u32,
        /// The answer, as the replica returned it.
        value: String,
    },
    /// The last message about a forward.
    End {
        /// The forward's number.
        number: u64,
        /// Outcome of the forward, which applies to its unanswered parts.
        outcome: ForwardOutcome,
        /// Number of delegated retries that were made.
        retries_made: u32,
    },
    /// Sent after a reconnection: requests the status of forwards that were in doubt.
    StatusRequest {
        /// The forwards' numbers.
        numbers: Vec<u64>,
    },
    /// Returns credit to the receiver of this message.
    Credit {
        /// Additional credit, in bytes.
        bytes: u32,
    },
    /// A heartbeat request.
    Ping {
        /// The sender's clock, in microseconds.
        sent_us: i64,
    },
    /// The reply to a [`LinkMessage::Ping`].
    Pong {
        /// `sent_us` of the ping.
        sent_us: i64,
        /// The replying side's clock, in microseconds.
        answered_us: i64,
    },
    /// A forward whose query has an idempotency key. This variant was added last, so that the encoding of the older
    /// messages did not change; a peer that does not support it closes the link.
    ForwardWithKey(Forward, String),
}

impl LinkMessage {
    /// Whether the message uses credit. Forwards, answers and ends of forwards do. All other messages are small, and
    /// the credit limits their number indirectly.
    pub fn is_flow_controlled(&self) -> bool {
        matches!(
            self,
            LinkMessage::Forward(_)
                | LinkMessage::ForwardWithKey(..)
                | LinkMessage::PartAnswer { .. }
                | LinkMessage::End { .. }
        )
    }
}

/// Parts of one query, sent to another site to be run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// Number of the forward on its stream; counts from 1 in each incarnation and is never reused.
    pub number: u64,
    /// Id of the query at its origin site.
    pub query_id: String,
    /// Name of the request class.
    pub class: String,
    /// Time left until the deadline when the forward was encoded, less the round trip.
    pub time_left: TimeSpan,
    /// Maximum number of retries that the receiving site may make for the forward.
    pub delegated_retries: u32,
    /// Names of the sites that the forward has crossed, origin first.
    pub sites_crossed: Vec<String>,
    /// The parts to run.
    pub parts: Vec<ForwardPart>,
    /// Text of the query.
    pub text: String,
}

/// One part of a forward.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardPart {
    /// The part's shard.
    pub shard: u32,
    /// Weight of the part in the query.
    pub weight: f64,
    /// The client's estimate of the part's work, in seconds.
    pub estimated_work: Option<f64>,
}

/// How a forward ended at the receiving site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardOutcome {
    /// All parts were answered.
    Complete,
    /// The unanswered parts did not run, or can safely run again.
    Rejected {
        /// Time during which the sender should send no further forward.
        retry_after: TimeSpan,
    },
    /// The unanswered parts may have run.
    Aborted,
    /// No part was started: too little time was left, or the receiving site is draining.
    TooLate,
    /// No part was started: the list of crossed sites is not acceptable, the request class or a shard is unknown, or
    /// the query id is already in use.
    NotServed,
    /// The forward had not been received when its status was requested; it is not started if it arrives later.
    Unknown,
}

/// Reason why received bytes are not a valid frame.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is zero or above [`MAX_MESSAGE_LENGTH`].
    #[error("message length of {0} bytes is not within 1 to {MAX_MESSAGE_LENGTH} bytes")]
    Length(usize),
    /// The bytes are not exactly one message.
    #[error("frame is not exactly one message of protocol version {PROTOCOL_VERSION}")]
    Malformed,
    /// The message has a value that is out of bounds.
    #[error("link message has a value outside its allowed range")]
    Invalid,
}

/// Encodes the message as a frame.
pub fn encode(message: &LinkMessage) -> Vec<u8> {
    let mut frame = vec![0; LENGTH_BYTES];
    frame.extend(postcard::to_allocvec(message).unwrap_or_default());
    let length = (frame.len() - LENGTH_BYTES) as u32;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Removes the first frame from the buffer and returns its message and its length in bytes, or `None` while the frame
/// is incomplete.
///
/// # Errors
/// The buffer does not begin with a valid frame; the link must be closed.
pub fn take_frame(buffer: &mut BytesMut) -> Result<Option<(LinkMessage, usize)>, FrameError> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length == 0 || length > MAX_MESSAGE_LENGTH {
        return Err(FrameError::Length(length));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    let (message, rest): (LinkMessage, _) =
        postcard::take_from_bytes(&body).map_err(|_| FrameError::Malformed)?;
    if !rest.is_empty() {
        return Err(FrameError::Malformed);
    }
    if is_valid(&message) { Ok(Some((message, LENGTH_BYTES + length))) } else { Err(FrameError::Invalid) }
}

/// Whether all values are within bounds; a weight of NaN, for example, would distort routing decisions.
fn is_valid(message: &LinkMessage) -> bool {
    match message {
        LinkMessage::Hello { site, .. } => !site.is_empty() && site.len() <= MAX_SITE_NAME_LENGTH,
        // The key becomes part of a list that replicas parse, so list syntax in it is rejected.
        LinkMessage::ForwardWithKey(_, key) if !is_valid_idempotency_key(key) => false,
        LinkMessage::Forward(forward) | LinkMessage::ForwardWithKey(forward, _) => is_valid_forward(forward),
        LinkMessage::End { outcome: ForwardOutcome::Rejected { retry_after }, .. } => {
            *retry_after >= TimeSpan::ZERO
        }
        LinkMessage::StatusRequest { numbers } => numbers.len() <= MAX_STATUS_NUMBERS,
        _ => true,
    }
}

fn is_valid_forward(forward: &Forward) -> bool {
    let in_bounds = |x: f64| x.is_finite() && (0.0..=MAX_PART_NUMBER).contains(&x);
    let part_is_valid =
        |part: &ForwardPart| in_bounds(part.weight) && part.estimated_work.is_none_or(in_bounds);
    let mut shards: Vec<u32> = forward.parts.iter().map(|part| part.shard).collect();
    shards.sort_unstable();
    shards.dedup();
    forward.number > 0
        && !forward.parts.is_empty()
        && shards.len() == forward.parts.len()
        && forward.parts.iter().all(part_is_valid)
        && forward.time_left <= MAX_TIME_LEFT
        && forward.sites_crossed.iter().all(|site| site.len() <= MAX_SITE_NAME_LENGTH)
}

#[cfg(test)]
mod tests;

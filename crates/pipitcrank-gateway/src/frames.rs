//! The link's protocol, version 1. A frame is four bytes of length, most significant first, and a message in postcard's
//! wire format (postcard.jamesmunns.com/wire-format: varints, strings with their length, an enum's variant by number).
//! Fields are encoded by position, so their names here are free and their order and types are not. `docs/gateway.md` has
//! each message field by field.

use bytes::{Buf, BytesMut};
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::clients::http::is_valid_idempotency_key;
use serde::{Deserialize, Serialize};

/// Raised with each change of a message's form.
pub const PROTOCOL_VERSION: u16 = 1;
/// Bytes of the length in front of each message.
const LENGTH_BYTES: usize = 4;
/// Longest message, in bytes: the longest value of a part with what goes round it, or a query of 200 parts with the
/// longest body.
pub const MAX_MESSAGE_LENGTH: usize = 160 * 1024;
/// Longest name of a site, in bytes.
pub const MAX_SITE_NAME_LENGTH: usize = 64;
/// Most numbers in one status request.
const MAX_STATUS_NUMBERS: usize = 10_000;
/// Longest time that a forward can have left.
const MAX_TIME_LEFT: TimeSpan = TimeSpan::from_millis(24 * 3600 * 1000);
/// Largest weight or estimated work of a part.
const MAX_PART_NUMBER: f64 = 1e6;

/// What one side can do beyond the messages of its version, as bits; none yet.
pub const CAPABILITIES: u32 = 0;

/// A message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// First on each connection, from both sides.
    Hello {
        /// [`PROTOCOL_VERSION`] of the sender.
        version: u16,
        /// The sender's site.
        site: String,
        /// Tells the sending process from any other of its site.
        incarnation: u64,
        /// Number of the stream among those between the two sites.
        stream: u16,
        /// Credit given to the receiver, in bytes.
        credit: u32,
        /// What the sender can do beyond the version's messages.
        capabilities: u32,
    },
    /// Parts of one query.
    Forward(Forward),
    /// Nobody waits for the forward any more.
    Cancel {
        /// The forward's number.
        number: u64,
    },
    /// The answer to one part.
    PartAnswer {
        /// The forward's number.
        number: u64,
        /// The part's shard.
        shard: u32,
        /// The answer.
        value: String,
    },
    /// The last message on a forward.
    End {
        /// The forward's number.
        number: u64,
        /// What becomes of the parts that were not answered.
        outcome: ForwardOutcome,
        /// Retries made of those delegated with the forward.
        retries_made: u32,
    },
    /// After a new connection: asks what became of these forwards.
    StatusRequest {
        /// The forwards' numbers.
        numbers: Vec<u64>,
    },
    /// Credit returned.
    Credit {
        /// Bytes that may be sent in addition.
        bytes: u32,
    },
    /// A heartbeat.
    Ping {
        /// The sender's own time, in microseconds.
        sent_us: i64,
    },
    /// The answer to a heartbeat.
    Pong {
        /// The time of the ping, as sent.
        sent_us: i64,
        /// The answering side's own time, in microseconds.
        answered_us: i64,
    },
    /// A forward whose query came with an idempotency key. Last, so that the older messages keep their form; a peer that
    /// does not know it ends the link.
    ForwardWithKey(Forward, String),
}

impl LinkMessage {
    /// What carries queries and answers is sent on credit; the rest is small, and bounded by that.
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

/// Parts of one query that another site is to answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// Counts from 1 on each stream of an incarnation, and is never used again.
    pub number: u64,
    /// The query's name at its origin.
    pub query_id: String,
    /// Name of the request class.
    pub class: String,
    /// Time left when it was written, less the round trip.
    pub time_left: TimeSpan,
    /// Retries that may be made for it.
    pub delegated_retries: u32,
    /// Sites crossed, the origin first.
    pub sites_crossed: Vec<String>,
    /// Its parts.
    pub parts: Vec<ForwardPart>,
    /// The query's text.
    pub text: String,
}

/// One part of a forward.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardPart {
    /// Its shard.
    pub shard: u32,
    /// Its weight in the query.
    pub weight: f64,
    /// The client's estimate of the work, in seconds.
    pub estimated_work: Option<f64>,
}

/// How a forward ended at the site that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardOutcome {
    /// All its parts were answered.
    Complete,
    /// Those not answered never ran, or may run again.
    Rejected {
        /// How long to send nothing more.
        retry_after: TimeSpan,
    },
    /// Those not answered may have run.
    Aborted,
    /// Nothing of it was begun: it could not be back in time.
    TooLate,
    /// Nothing of it was begun: it crossed this site, or too many, or names what is not known here.
    NotServed,
    /// Never received, in answer to a status request; it will not be begun either.
    Unknown,
}

/// Why bytes are no frame.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is empty or longer than [`MAX_MESSAGE_LENGTH`].
    #[error("a frame of {0} bytes")]
    Length(usize),
    /// The bytes are no message.
    #[error("a frame that can't be read")]
    Malformed,
    /// A message with a value that is out of bounds.
    #[error("a message with an invalid value")]
    Invalid,
}

/// The message as a frame.
pub fn encode(message: &LinkMessage) -> Vec<u8> {
    let mut frame = vec![0; LENGTH_BYTES];
    frame.extend(postcard::to_allocvec(message).unwrap_or_default());
    let length = (frame.len() - LENGTH_BYTES) as u32;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Takes the first whole frame out of the buffer: its message and its length in bytes.
///
/// # Errors
/// The bytes are no frame; the link can't be read any further.
pub fn take_frame(buffer: &mut BytesMut) -> Result<Option<(LinkMessage, usize)>, FrameError> {
    let Some(head) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
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

/// Whether all values are within bounds: numbers such as NaN would go into the decisions.
fn is_valid(message: &LinkMessage) -> bool {
    match message {
        LinkMessage::Hello { site, .. } => !site.is_empty() && site.len() <= MAX_SITE_NAME_LENGTH,
        // The key goes into a list that replicas read.
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

//! The link's protocol, version 1. A frame is four bytes of length, most significant first, and a message in postcard's
//! wire format (postcard.jamesmunns.com/wire-format: varints, strings with their length, an enum's variant by number).
//! `docs/gateway.md` has each message field by field.

use bytes::{Buf, BytesMut};
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::clients::http::is_idempotency_key;
use serde::{Deserialize, Serialize};

/// Raised with each change of a message's form.
pub const VERSION: u16 = 1;
/// Longest frame: the longest value of a part with what goes round it, or a query of 200 parts with the longest body.
pub const LONGEST: usize = 160 * 1024;
/// Longest name of a site.
pub const LONGEST_NAME: usize = 64;

/// What one side can do beyond the messages of its version; none yet.
pub const CAN: u32 = 0;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Said {
    /// First on each connection, from both sides.
    Hello {
        version: u16,
        site: String,
        instance: u64,
        lane: u16,
        credit: u32,
        can: u32,
    },
    /// Parts of one query.
    Forward(Forward),
    /// Nobody waits for it any more.
    GiveUp {
        number: u64,
    },
    /// One part's answer.
    Part {
        number: u64,
        shard: u32,
        value: String,
    },
    /// The last word on a forward: what becomes of parts that were not answered, and further calls made for it.
    End {
        number: u64,
        how: How,
        made: u32,
    },
    /// After a new connection: what became of these?
    Ask {
        numbers: Vec<u64>,
    },
    Credit {
        bytes: u32,
    },
    /// A heartbeat; times are each side's own, in microseconds.
    Ping {
        sent_us: i64,
    },
    Pong {
        sent_us: i64,
        mine_us: i64,
    },
    /// A forward whose query came with a key by which leaves know a repeat. Last, so that the older messages keep their
    /// form; a peer that does not know it ends the link.
    ForwardWithKey(Forward, String),
}

impl Said {
    /// What carries queries and answers is sent on credit; the rest is small, and bounded by that.
    pub fn costs_credit(&self) -> bool {
        matches!(self, Said::Forward(_) | Said::ForwardWithKey(..) | Said::Part { .. } | Said::End { .. })
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// Counts from 1 on each lane of an instance, and is never used again.
    pub number: u64,
    /// The query's name at its origin.
    pub id: String,
    pub class: String,
    /// Time left when it was written, less the way there and back.
    pub left: TimeSpan,
    /// Further calls that may be made for it.
    pub further: u32,
    /// Sites crossed, the origin first.
    pub crossed: Vec<String>,
    /// Shard, weight in the query, the client's guess at the work in seconds.
    pub parts: Vec<(u32, f64, Option<f64>)>,
    pub text: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    /// All its parts were answered.
    Done,
    /// Those not answered never ran, or may run again; stay away for so long.
    Rejected { stay_away: TimeSpan },
    /// Those not answered may have run.
    Aborted,
    /// Nothing of it was begun: it could not be back in time.
    Late,
    /// Nothing of it was begun: it crossed this site, or too many, or names what is not known here.
    NotHere,
    /// Never came here, in answer to `Ask`; it will not be begun either.
    Unknown,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    #[error("a frame of {0} bytes")]
    Length(usize),
    #[error("a frame that can't be read")]
    Garbled,
    #[error("a message with what can't be in it")]
    Unsound,
}

pub fn encode(said: &Said) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend(postcard::to_allocvec(said).unwrap_or_default());
    let length = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// Takes the first whole frame, with its length.
pub fn take(buffer: &mut BytesMut) -> Result<Option<(Said, usize)>, Bad> {
    let Some(head) = buffer.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length == 0 || length > LONGEST {
        return Err(Bad::Length(length));
    }
    if buffer.len() < 4 + length {
        return Ok(None);
    }
    buffer.advance(4);
    let body = buffer.split_to(length);
    let (said, rest): (Said, _) = postcard::take_from_bytes(&body).map_err(|_| Bad::Garbled)?;
    if !rest.is_empty() {
        return Err(Bad::Garbled);
    }
    if sound(&said) { Ok(Some((said, 4 + length))) } else { Err(Bad::Unsound) }
}

/// Guards against numbers that are none: they would go into the decisions.
fn sound(said: &Said) -> bool {
    match said {
        Said::Hello { site, .. } => !site.is_empty() && site.len() <= LONGEST_NAME,
        // It goes into a list that replicas read.
        Said::ForwardWithKey(_, key) if !is_idempotency_key(key) => false,
        Said::Forward(f) | Said::ForwardWithKey(f, _) => {
            let good = |x: f64| x.is_finite() && (0.0..=1e6).contains(&x);
            let mut shards: Vec<u32> = f.parts.iter().map(|p| p.0).collect();
            shards.sort_unstable();
            shards.dedup();
            f.number > 0
                && !f.parts.is_empty()
                && shards.len() == f.parts.len()
                && f.parts.iter().all(|(_, weight, work)| good(*weight) && work.is_none_or(good))
                && f.left <= TimeSpan::from_millis(24 * 3600 * 1000)
                && f.crossed.iter().all(|s| s.len() <= LONGEST_NAME)
        }
        Said::End { how: How::Rejected { stay_away }, .. } => *stay_away >= TimeSpan::ZERO,
        Said::Ask { numbers } => numbers.len() <= 10_000,
        _ => true,
    }
}

#[cfg(test)]
mod tests;

//! How a datagram between copies is sealed: version, what it holds, who sent it to whom, a number, and a tag over all of
//! it under the secret that the operators' file names (BLAKE3 keyed, cut to 16 bytes). What is forged, cut, replayed, too
//! long or of another version is counted under its reason and changes nothing.
//!
//! ```text
//! "pm" version:u8 kind:u8 | from: postcard(SocketAddr) | instance: varint | number: varint | body | tag: 16 bytes
//! ```
//! The tag also covers the address it is meant for, which does not travel.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Raised with each change of any message's form.
pub const PROTOCOL_VERSION: u8 = 1;
/// Longest datagram: it travels whole through any network met.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// What is left for the body, whatever the head takes.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - 4 - 20 - 10 - 10 - TAG;
const MAGIC: [u8; 2] = *b"pm";
const TAG: usize = 16;
/// Senders remembered, and processes of one that are over: above any fleet's size; the longest silent goes first.
const MOST_SENDERS: usize = 8192;
const MOST_OVER: usize = 4;
/// Numbers behind the newest that are told apart: datagrams overtake each other by a few.
const WINDOW: u64 = 128;

/// What the body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum DatagramKind {
    /// foca's own bytes.
    Gossip = 1,
    /// The agreement's library's own bytes.
    Consensus = 2,
    /// A message of ours in postcard's form.
    Message = 3,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.name())]
pub enum DatagramRejection {
    TooLong,
    Truncated,
    UnsupportedVersion,
    Forged,
    Replayed,
}

impl DatagramRejection {
    /// The name of its counter.
    pub fn name(self) -> &'static str {
        match self {
            DatagramRejection::TooLong => "too_long",
            DatagramRejection::Truncated => "cut",
            DatagramRejection::UnsupportedVersion => "other_version",
            DatagramRejection::Forged => "forged",
            DatagramRejection::Replayed => "replayed",
        }
    }
}

/// A datagram that is ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Where it goes.
    pub to: SocketAddr,
    /// What it holds.
    pub bytes: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct Head {
    from: SocketAddr,
    instance: u64,
    number: u64,
}

/// Seals what this process sends.
pub struct Sealer {
    key: [u8; 32],
    from: SocketAddr,
    instance: u64,
    number: u64,
}

/// The key that a secret of the operators' file stands for.
pub fn derive_key(secret: &str) -> [u8; 32] {
    blake3::derive_key("pipitcrank 2026-12 between copies", secret.as_bytes())
}

fn tag(key: &[u8; 32], to: SocketAddr, sealed: &[u8]) -> [u8; TAG] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(to.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(sealed);
    let mut tag = [0; TAG];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG]);
    tag
}

impl Sealer {
    pub fn new(key: [u8; 32], from: SocketAddr, instance: u64) -> Sealer {
        Sealer { key, from, instance, number: 0 }
    }

    /// None where the body is too long to travel.
    pub fn seal(&mut self, to: SocketAddr, kind: DatagramKind, body: &[u8]) -> Option<Vec<u8>> {
        if body.len() > MAX_BODY_BYTES {
            return None;
        }
        self.number += 1;
        let mut out = vec![MAGIC[0], MAGIC[1], PROTOCOL_VERSION, kind as u8];
        let head = Head { from: self.from, instance: self.instance, number: self.number };
        out.extend(postcard::to_allocvec(&head).ok()?);
        out.extend_from_slice(body);
        out.extend_from_slice(&tag(&self.key, to, &out));
        Some(out)
    }
}

/// One sender's numbers.
struct Numbers {
    instance: u64,
    newest: u64,
    /// Bit `n`: the number `newest - n` has come.
    seen: u128,
    /// Processes of it that are over.
    over: VecDeque<u64>,
    /// When it was last heard, as a count of datagrams opened.
    heard: u64,
}

/// Opens what comes to this process.
pub struct Opener {
    key: [u8; 32],
    own: SocketAddr,
    senders: BTreeMap<SocketAddr, Numbers>,
    opened: u64,
}

/// What was in a datagram.
#[derive(Debug, PartialEq)]
pub struct OpenedDatagram<'a> {
    pub kind: DatagramKind,
    pub from: SocketAddr,
    pub instance: u64,
    pub body: &'a [u8],
}

impl Opener {
    pub fn new(key: [u8; 32], own: SocketAddr) -> Opener {
        Opener { key, own, senders: BTreeMap::new(), opened: 0 }
    }

    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, DatagramRejection> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramRejection::TooLong);
        }
        let (sealed, found) = datagram.split_last_chunk::<TAG>().ok_or(DatagramRejection::Truncated)?;
        let (&[a, b, version, kind], rest) =
            sealed.split_first_chunk::<4>().ok_or(DatagramRejection::Truncated)?;
        if [a, b] != MAGIC {
            return Err(DatagramRejection::Forged);
        }
        if version != PROTOCOL_VERSION {
            return Err(DatagramRejection::UnsupportedVersion);
        }
        // blake3's own comparison takes the same time whatever differs.
        let (ours, theirs) = (tag(&self.key, self.own, sealed), *found);
        if widened(ours) != widened(theirs) {
            return Err(DatagramRejection::Forged);
        }
        let kind = match kind {
            1 => DatagramKind::Gossip,
            2 => DatagramKind::Consensus,
            3 => DatagramKind::Message,
            _ => return Err(DatagramRejection::UnsupportedVersion),
        };
        let (head, body): (Head, _) =
            postcard::take_from_bytes(rest).map_err(|_| DatagramRejection::Truncated)?;
        self.opened += 1;
        if !self.is_new(&head) {
            return Err(DatagramRejection::Replayed);
        }
        Ok(OpenedDatagram { kind, from: head.from, instance: head.instance, body })
    }

    fn is_new(&mut self, head: &Head) -> bool {
        let heard = self.opened;
        if !self.senders.contains_key(&head.from) && self.senders.len() >= MOST_SENDERS {
            let quietest = self.senders.iter().min_by_key(|(_, n)| n.heard).map(|(a, _)| *a);
            quietest.map(|a| self.senders.remove(&a));
        }
        let numbers = self.senders.entry(head.from).or_insert_with(|| Numbers {
            instance: head.instance,
            newest: 0,
            seen: 0,
            over: VecDeque::new(),
            heard,
        });
        if numbers.instance != head.instance {
            // Guards against what a process said that is over: it comes late, or again.
            if numbers.over.contains(&head.instance) {
                return false;
            }
            numbers.over.push_back(numbers.instance);
            if numbers.over.len() > MOST_OVER {
                numbers.over.pop_front();
            }
            (numbers.instance, numbers.newest, numbers.seen) = (head.instance, 0, 0);
        }
        numbers.heard = heard;
        if head.number > numbers.newest {
            let by = head.number - numbers.newest;
            numbers.seen = if by < WINDOW { numbers.seen << by | 1 } else { 1 };
            numbers.newest = head.number;
            return true;
        }
        let behind = numbers.newest - head.number;
        let bit = 1u128.checked_shl(behind as u32).unwrap_or(0);
        let new = behind < WINDOW && numbers.seen & bit == 0;
        numbers.seen |= bit;
        new
    }
}

/// As blake3's hash type, whose comparison is in constant time.
fn widened(tag: [u8; TAG]) -> blake3::Hash {
    let mut wide = [0; 32];
    wide[..TAG].copy_from_slice(&tag);
    blake3::Hash::from_bytes(wide)
}

#[cfg(test)]
mod tests;

//! Sealing of datagrams between nodes. A datagram carries a version, its kind, the sender and a sequence
//! number. An authentication tag (keyed BLAKE3, truncated to 16 bytes) covers all of it and the receiver's
//! address, under the secret of the operators' file. A datagram that is forged, truncated, replayed, too long
//! or of another version is rejected with its reason and has no other effect.
//!
//! ```text
//! "pm" version:u8 kind:u8 | from: postcard(SocketAddr) | instance: varint | number: varint | body | tag: 16 bytes
//! ```
//! The receiver's address is not transmitted.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::replay_filter::ReplayFilter;

/// Version of all message formats; raised with each change to any of them.
pub const PROTOCOL_VERSION: u8 = 1;
/// Longest datagram in bytes: common networks carry it unfragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Longest body in bytes, for any length of the header.
pub const MAX_BODY_BYTES: usize =
    MAX_DATAGRAM_BYTES - PREFIX_BYTES - MAX_ADDRESS_BYTES - 2 * MAX_VARINT_BYTES - TAG_BYTES;
const MAGIC: [u8; 2] = *b"pm";
/// Length of magic, version and kind.
const PREFIX_BYTES: usize = 4;
const MAX_ADDRESS_BYTES: usize = 20;
const MAX_VARINT_BYTES: usize = 10;
const TAG_BYTES: usize = 16;
/// Key derivation context: separates these keys from others derived from the same secret.
const KEY_CONTEXT: &str = "pipitcrank 2026-12 between copies";

/// Kind of a datagram's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum DatagramKind {
    /// Message of `foca`.
    Gossip = 1,
    /// Message of the consensus library.
    Consensus = 2,
    /// Message between nodes, encoded by postcard.
    Message = 3,
}

impl DatagramKind {
    fn from_byte(byte: u8) -> Option<DatagramKind> {
        match byte {
            1 => Some(DatagramKind::Gossip),
            2 => Some(DatagramKind::Consensus),
            3 => Some(DatagramKind::Message),
            _ => None,
        }
    }
}

/// Reason for rejecting a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.name())]
pub enum DatagramRejection {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// The datagram is shorter than its header and tag.
    Truncated,
    /// The datagram has another protocol version or an unknown kind.
    UnsupportedVersion,
    /// The tag does not match: another key, another receiver, or changed bytes.
    Forged,
    /// The datagram was received before, is too old to be checked, or comes from an earlier process.
    Replayed,
}

impl DatagramRejection {
    /// Name of the counter for this reason.
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
    /// Receiver of the datagram.
    pub to: SocketAddr,
    /// Sealed bytes.
    pub bytes: Vec<u8>,
}

/// Contents of an opened datagram.
#[derive(Debug, PartialEq)]
pub struct OpenedDatagram<'a> {
    /// Kind of the body.
    pub kind: DatagramKind,
    /// Address under which others reach the sender.
    pub from: SocketAddr,
    /// Process of the sender.
    pub instance: u64,
    /// Body of the datagram.
    pub body: &'a [u8],
}

#[derive(Serialize, Deserialize)]
struct Header {
    from: SocketAddr,
    instance: u64,
    number: u64,
}

/// Derives the key from the secret of the operators' file.
pub fn derive_key(secret: &str) -> [u8; 32] {
    blake3::derive_key(KEY_CONTEXT, secret.as_bytes())
}

fn authentication_tag(key: &[u8; 32], to: SocketAddr, sealed: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(to.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(sealed);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
    tag
}

/// Converts a tag to BLAKE3's hash type, whose comparison takes constant time.
fn as_hash(tag: [u8; TAG_BYTES]) -> blake3::Hash {
    let mut bytes = [0; 32];
    bytes[..TAG_BYTES].copy_from_slice(&tag);
    blake3::Hash::from_bytes(bytes)
}

/// Seals the datagrams that this process sends.
pub struct Sealer {
    key: [u8; 32],
    from: SocketAddr,
    instance: u64,
    number: u64,
}

impl Sealer {
    /// Creates a sealer. `from` is the address under which others reach this node; `instance` identifies this
    /// process.
    pub fn new(key: [u8; 32], from: SocketAddr, instance: u64) -> Sealer {
        Sealer { key, from, instance, number: 0 }
    }

    /// Seals a datagram for `to`; returns `None` if the body is longer than [`MAX_BODY_BYTES`].
    pub fn seal(&mut self, to: SocketAddr, kind: DatagramKind, body: &[u8]) -> Option<Vec<u8>> {
        if body.len() > MAX_BODY_BYTES {
            return None;
        }
        self.number += 1;
        let mut datagram = vec![MAGIC[0], MAGIC[1], PROTOCOL_VERSION, kind as u8];
        let header = Header { from: self.from, instance: self.instance, number: self.number };
        datagram.extend(postcard::to_allocvec(&header).ok()?);
        datagram.extend_from_slice(body);
        datagram.extend_from_slice(&authentication_tag(&self.key, to, &datagram));
        Some(datagram)
    }
}

/// Opens the datagrams that this process receives.
pub struct Opener {
    key: [u8; 32],
    own: SocketAddr,
    replay_filter: ReplayFilter,
}

impl Opener {
    /// Creates an opener. `own` is the address under which others reach this node.
    pub fn new(key: [u8; 32], own: SocketAddr) -> Opener {
        Opener { key, own, replay_filter: ReplayFilter::default() }
    }

    /// Verifies a datagram and returns its contents.
    ///
    /// # Errors
    /// Returns the [`DatagramRejection`] if the datagram is not acceptable.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, DatagramRejection> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramRejection::TooLong);
        }
        let (sealed, tag) = datagram.split_last_chunk::<TAG_BYTES>().ok_or(DatagramRejection::Truncated)?;
        let (&[first, second, version, kind], rest) =
            sealed.split_first_chunk::<PREFIX_BYTES>().ok_or(DatagramRejection::Truncated)?;
        if [first, second] != MAGIC {
            return Err(DatagramRejection::Forged);
        }
        if version != PROTOCOL_VERSION {
            return Err(DatagramRejection::UnsupportedVersion);
        }
        if as_hash(authentication_tag(&self.key, self.own, sealed)) != as_hash(*tag) {
            return Err(DatagramRejection::Forged);
        }
        let kind = DatagramKind::from_byte(kind).ok_or(DatagramRejection::UnsupportedVersion)?;
        let (header, body): (Header, _) =
            postcard::take_from_bytes(rest).map_err(|_| DatagramRejection::Truncated)?;
        if !self.replay_filter.accept(header.from, header.instance, header.number) {
            return Err(DatagramRejection::Replayed);
        }
        Ok(OpenedDatagram { kind, from: header.from, instance: header.instance, body })
    }
}

#[cfg(test)]
mod tests;

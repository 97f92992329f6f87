//! Snapshot of the learned state, for a successor process or for storage on disk. A snapshot consists of a header with
//! version, length and checksum, and of a body in postcard encoding. It is used as a whole or not at all.

use std::net::SocketAddr;

use pipitcrank_core::coordinator::learned_state::LearnedState;
use pipitcrank_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::exact_decode::{DecodeError, decode_exact};
use crate::resource_split::DelegatedRetries;

const MAGIC: [u8; 4] = *b"pckn";
/// Version of the body's format, incremented with each change.
pub const FORMAT_VERSION: u16 = 2;
/// Longest body, in bytes: about 20,000 replicas.
pub const MAX_BODY_LENGTH: usize = 4 << 20;
const VERSION_OFFSET: usize = 4;
const LENGTH_OFFSET: usize = 6;
const CHECKSUM_OFFSET: usize = 10;
const HEADER_LENGTH: usize = 14;
/// Maximum number of entries of each list; all limits in the configuration are far lower.
const MAX_ENTRIES: usize = 1 << 18;

/// Learned state of a process. Points in time are stored as ages at `taken_us`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Time of the snapshot, in microseconds of the machine's monotonic clock.
    pub taken_us: i64,
    /// Revision of the endpoint list from discovery, if there is one.
    pub revision: Option<u64>,
    /// Replicas of the endpoint list.
    pub replicas: Vec<ReplicaRecord>,
    /// Learned state of the `Coordinator`. It identifies replicas by [`ReplicaRecord::index`].
    pub learned: LearnedState,
    /// Retries that are delegated to the process that took the snapshot.
    pub delegated_retries: DelegatedRetries,
}

/// A snapshot and its age.
#[derive(Clone, Debug, PartialEq)]
pub struct AgedSnapshot {
    /// Time since the snapshot was taken.
    pub age: TimeSpan,
    /// The snapshot.
    pub snapshot: Snapshot,
}

/// A replica of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Index of the replica in [`Snapshot::learned`].
    pub index: u32,
    /// Unique id of the replica in discovery.
    pub uid: String,
    /// Address at which the replica listens, if known.
    pub address: Option<SocketAddr>,
    /// Cell of the replica in the ring.
    pub cell: u32,
    /// Name of the replica's zone, if discovery provides one.
    pub zone: Option<String>,
    /// Time since the start of the replica, if known.
    pub uptime: Option<TimeSpan>,
    /// Time since the replica was removed from the list or began to drain.
    pub draining_for: Option<TimeSpan>,
}

/// Error of encoding or decoding a snapshot.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum SnapshotError {
    /// The header does not start with the magic bytes.
    #[error("the header does not start with the magic bytes of a snapshot")]
    BadMagic,
    /// The snapshot has the given format version, which is not supported.
    #[error("the snapshot has format version {0}, expected {FORMAT_VERSION}")]
    UnsupportedVersion(u16),
    /// The header is truncated, or the body differs from the stated length or exceeds [`MAX_BODY_LENGTH`].
    #[error("the snapshot is truncated, differs from its stated length, or exceeds {MAX_BODY_LENGTH} bytes")]
    BadLength,
    /// The body does not match the checksum in the header.
    #[error("the snapshot body does not match the checksum in its header")]
    BadChecksum,
    /// The body can't be encoded or decoded.
    #[error("the snapshot body can't be encoded or decoded")]
    Malformed,
    /// The body holds values out of range, or further bytes after the snapshot.
    #[error("the snapshot body holds values out of range or trailing bytes")]
    Invalid,
}

impl Snapshot {
    /// Encodes the snapshot with its header.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let body = postcard::to_allocvec(self).map_err(|_| SnapshotError::Malformed)?;
        if body.len() > MAX_BODY_LENGTH {
            return Err(SnapshotError::BadLength);
        }
        let mut out = Vec::with_capacity(HEADER_LENGTH + body.len());
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
        out.extend_from_slice(&(body.len() as u32).to_be_bytes());
        out.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        out.extend_from_slice(&body);
        Ok(out)
    }

    /// Decodes a snapshot. Fails unless the snapshot is complete and valid.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        let snapshot: Snapshot = decode_exact(checked_body(bytes)?).map_err(|error| match error {
            DecodeError::Malformed => SnapshotError::Malformed,
            DecodeError::TrailingBytes => SnapshotError::Invalid,
        })?;
        if snapshot.is_valid() { Ok(snapshot) } else { Err(SnapshotError::Invalid) }
    }

    fn is_valid(&self) -> bool {
        let learned = &self.learned;
        let entries = self.replicas.len().max(learned.admitted.len()).max(learned.retries.len());
        let replica_is_valid = |replica: &ReplicaRecord| {
            !replica.uid.is_empty() && replica.draining_for.is_none_or(|age| age >= TimeSpan::ZERO)
        };
        entries <= MAX_ENTRIES && self.replicas.iter().all(replica_is_valid) && learned.is_valid()
    }
}

/// Returns the body, if it matches the header.
fn checked_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    let (header, body) = bytes.split_first_chunk::<HEADER_LENGTH>().ok_or(SnapshotError::BadLength)?;
    if header[..VERSION_OFFSET] != MAGIC {
        return Err(SnapshotError::BadMagic);
    }
    let version = u16::from_be_bytes([header[VERSION_OFFSET], header[VERSION_OFFSET + 1]]);
    if version != FORMAT_VERSION {
        return Err(SnapshotError::UnsupportedVersion(version));
    }
    if body.len() != u32_at(header, LENGTH_OFFSET) as usize || body.len() > MAX_BODY_LENGTH {
        return Err(SnapshotError::BadLength);
    }
    if crc32fast::hash(body) != u32_at(header, CHECKSUM_OFFSET) {
        return Err(SnapshotError::BadChecksum);
    }
    Ok(body)
}

fn u32_at(header: &[u8; HEADER_LENGTH], offset: usize) -> u32 {
    u32::from_be_bytes([header[offset], header[offset + 1], header[offset + 2], header[offset + 3]])
}

#[cfg(test)]
mod tests;

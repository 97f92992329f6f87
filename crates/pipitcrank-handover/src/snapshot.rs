//! Learned state as it passes from one process to another, or to disk: a header with version, length and checksum, and a
//! body in postcard's form. It is used whole or not at all.

use std::net::SocketAddr;

use pipitcrank_core::coordinator::learned_state::LearnedState;
use pipitcrank_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::exact_decode::{DecodeError, decode_exact};
use crate::resource_split::DelegatedRetries;

const MAGIC: [u8; 4] = *b"pckn";
/// Version of the body's form, raised with each change of it.
pub const FORMAT_VERSION: u16 = 2;
/// Longest body, in bytes: some twenty thousand replicas.
pub const MAX_BODY_LENGTH: usize = 4 << 20;
const VERSION_OFFSET: usize = 4;
const LENGTH_OFFSET: usize = 6;
const CHECKSUM_OFFSET: usize = 10;
const HEADER_LENGTH: usize = 14;
/// Most entries of each list: far above what any configured limit allows.
const MAX_ENTRIES: usize = 1 << 18;

/// What a process has learned. Points in time are stored as ages at `taken_us`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When it was taken, in microseconds of the machine's monotonic clock.
    pub taken_us: i64,
    /// Revision of discovery's endpoint list, where one is held.
    pub revision: Option<u64>,
    /// The replicas listed.
    pub replicas: Vec<ReplicaRecord>,
    /// What the coordinator has learned; it names replicas by [`ReplicaRecord::index`].
    pub learned: LearnedState,
    /// Retries that stay with the process that took the snapshot.
    pub delegated_retries: DelegatedRetries,
}

/// A snapshot, and how long ago it was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct AgedSnapshot {
    /// Time since it was taken.
    pub age: TimeSpan,
    /// The snapshot.
    pub snapshot: Snapshot,
}

/// One replica of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Index by which [`Snapshot::learned`] names it.
    pub index: u32,
    /// Discovery's unique id of it.
    pub uid: String,
    /// Where it listens, if known.
    pub address: Option<SocketAddr>,
    /// Its cell of the ring.
    pub cell: u32,
    /// Name of its zone, where discovery states one.
    pub zone: Option<String>,
    /// How long ago it started.
    pub uptime: Option<TimeSpan>,
    /// How long ago it was removed from the list, or began to drain.
    pub draining_for: Option<TimeSpan>,
}

/// Why bytes are not used as a snapshot, or a snapshot can't be encoded.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum SnapshotError {
    /// The magic number differs.
    #[error("it is no snapshot")]
    BadMagic,
    /// It is of another version.
    #[error("its version is {0}, not {FORMAT_VERSION}")]
    UnsupportedVersion(u16),
    /// The length differs from the header's, or is over [`MAX_BODY_LENGTH`].
    #[error("its length is not the stated one, or too large")]
    BadLength,
    /// The checksum differs from the header's.
    #[error("its checksum does not match")]
    BadChecksum,
    /// The body can't be decoded or encoded.
    #[error("its body is malformed")]
    Malformed,
    /// The body holds values that can't be.
    #[error("it holds invalid values")]
    Invalid,
}

impl Snapshot {
    /// The snapshot with its header.
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

    /// Reads a snapshot, which has to be whole and valid.
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

/// The body behind a header that fits it.
fn checked_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    let (header, body) = bytes.split_first_chunk::<HEADER_LENGTH>().ok_or(SnapshotError::BadLength)?;
    if header[..VERSION_OFFSET] != MAGIC {
        return Err(SnapshotError::BadMagic);
    }
    let version = u16::from_be_bytes([header[VERSION_OFFSET], header[VERSION_OFFSET + 1]]);
    if version != FORMAT_VERSION {
        return Err(SnapshotError::UnsupportedVersion(version));
    }
    if body.len() != word_at(header, LENGTH_OFFSET) as usize || body.len() > MAX_BODY_LENGTH {
        return Err(SnapshotError::BadLength);
    }
    if crc32fast::hash(body) != word_at(header, CHECKSUM_OFFSET) {
        return Err(SnapshotError::BadChecksum);
    }
    Ok(body)
}

fn word_at(header: &[u8; HEADER_LENGTH], offset: usize) -> u32 {
    u32::from_be_bytes([header[offset], header[offset + 1], header[offset + 2], header[offset + 3]])
}

#[cfg(test)]
mod tests;

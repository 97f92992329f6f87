//! What is known, as it passes from one process to another: a head with its version, length and sum, and a body in
//! postcard's form. Refused whole or taken whole.

use std::net::SocketAddr;

use pipitcrank_core::coordinator::learned_state::LearnedState;
use pipitcrank_core::time::TimeSpan;
use serde::{Deserialize, Serialize};

const MAGIC: [u8; 4] = *b"pckn";
/// Raised with each change of the body's form.
pub const VERSION: u16 = 2;
/// Longest body: some twenty thousand replicas.
pub const LONGEST: usize = 4 << 20;
const HEAD: usize = 4 + 2 + 4 + 4;
/// Most of each kind taken: far above what any told limit lets be held.
const MOST: usize = 1 << 18;

/// All moments stand as ages before `taken_us`, on the machine's monotonic clock, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub taken_us: i64,
    /// Version of discovery's list, where one is held.
    pub rev: Option<u64>,
    pub replicas: Vec<ReplicaRecord>,
    pub known: LearnedState,
    /// Further calls that stay with the giver, and for how long.
    pub lent: (u32, TimeSpan),
}

/// One replica of the list; its place is the index by which `known` names it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    pub index: u32,
    pub uid: String,
    pub address: Option<SocketAddr>,
    pub cell: u32,
    /// Name of its zone, where discovery says.
    pub zone: Option<String>,
    pub started: Option<TimeSpan>,
    /// How long ago it was told to drain or be gone.
    pub off: Option<TimeSpan>,
}

#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Refused {
    #[error("it is no snapshot")]
    Foreign,
    #[error("its version is {0}, not {VERSION}")]
    Version(u16),
    #[error("it is cut or has more than its length")]
    Length,
    #[error("its sum is off")]
    Sum,
    #[error("its body can't be read")]
    Body,
    #[error("it holds what can't be")]
    Unsound,
}

impl Snapshot {
    pub fn encode(&self) -> Result<Vec<u8>, Refused> {
        let body = postcard::to_allocvec(self).map_err(|_| Refused::Body)?;
        if body.len() > LONGEST {
            return Err(Refused::Length);
        }
        let mut out = Vec::with_capacity(HEAD + body.len());
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&VERSION.to_be_bytes());
        out.extend_from_slice(&(body.len() as u32).to_be_bytes());
        out.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        out.extend_from_slice(&body);
        Ok(out)
    }

    pub fn decode(bytes: &[u8]) -> Result<Snapshot, Refused> {
        let (head, body) = bytes.split_at_checked(HEAD).ok_or(Refused::Length)?;
        let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        if head[..4] != MAGIC {
            return Err(Refused::Foreign);
        }
        let version = u16::from_be_bytes([head[4], head[5]]);
        if version != VERSION {
            return Err(Refused::Version(version));
        }
        if body.len() != word(6) as usize || body.len() > LONGEST {
            return Err(Refused::Length);
        }
        if crc32fast::hash(body) != word(10) {
            return Err(Refused::Sum);
        }
        let (snapshot, rest): (Snapshot, _) = postcard::take_from_bytes(body).map_err(|_| Refused::Body)?;
        let few =
            snapshot.replicas.len().max(snapshot.known.admitted.len()).max(snapshot.known.retries.len())
                <= MOST;
        let past = |s: &Option<TimeSpan>| s.is_none_or(|s| s >= TimeSpan::ZERO);
        let replicas = snapshot.replicas.iter().all(|l| past(&l.off) && !l.uid.is_empty());
        if rest.is_empty() && few && replicas && snapshot.known.sound() {
            Ok(snapshot)
        } else {
            Err(Refused::Unsound)
        }
    }
}

#[cfg(test)]
mod tests;

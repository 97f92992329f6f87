//! What voters send each other.

use serde::{Deserialize, Serialize};

use super::identity::{Incarnation, KnownIncarnation};
use crate::decision::Decision;

/// A message between voters, beside those of the Raft library.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum VoterMessage {
    /// Sent to all others at short intervals.
    Heartbeat(VoterHeartbeat),
    /// Asks for a promise to join a new generation.
    RequestPromise {
        /// The new generation.
        generation: u64,
    },
    /// The sender has left its group and will join the new generation.
    Promise(Promise),
    /// All have promised: the new generation begins.
    StartGroup(NewGroup),
}

/// What a voter tells all others at short intervals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterHeartbeat {
    /// The sender's id.
    pub id: u64,
    /// The generation of its group; 0 without one.
    pub generation: u64,
    /// Whether it knows of a leader.
    pub has_leader: bool,
    /// The highest generation it ever heard of.
    pub highest_generation: u64,
    /// Which process in turn goes by its id.
    pub incarnation: Incarnation,
    /// By slot: what it has recorded of all voters.
    pub known_incarnations: Vec<KnownIncarnation>,
}

/// A voter's promise to join a new generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Promise {
    /// The new generation.
    pub generation: u64,
    /// The id under which it joins.
    pub id: u64,
    /// The newest decision it knows.
    pub known_decision: Option<Decision>,
}

/// A group that all participants have promised to join.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NewGroup {
    /// Its generation.
    pub generation: u64,
    /// Its voters, in the order of their slots.
    pub voter_ids: Vec<u64>,
    /// Its first decision.
    pub initial_decision: Decision,
}

/// What a voter sends.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterOutput {
    /// A message of the Raft library.
    Raft {
        /// The generation it belongs to.
        generation: u64,
        /// The library's encoding.
        bytes: Vec<u8>,
    },
    /// A message of this package.
    Message(VoterMessage),
}

/// What a voter sends, and to whom.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedOutput {
    /// The receiver's slot.
    pub slot: usize,
    /// What is sent.
    pub output: VoterOutput,
}

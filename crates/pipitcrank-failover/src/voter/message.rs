//! Messages between voters.

use serde::{Deserialize, Serialize};

use super::identity::{Incarnation, KnownIncarnation};
use crate::decision::Decision;

/// Message between voters, in addition to those of the Raft library.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum VoterMessage {
    /// Heartbeat, sent periodically to all other voters.
    Heartbeat(VoterHeartbeat),
    /// Requests a promise to join a new generation.
    RequestPromise {
        /// Number of the new generation.
        generation: u64,
    },
    /// Promise to join the new generation; the sender has left its group.
    Promise(Promise),
    /// All participants have promised: the new group starts.
    StartGroup(NewGroup),
}

/// State of a voter, sent periodically to all other voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterHeartbeat {
    /// Id of the sender.
    pub id: u64,
    /// Generation of the sender's group; 0 without a group.
    pub generation: u64,
    /// Whether the sender's group has a leader.
    pub has_leader: bool,
    /// Highest generation that the sender has recorded.
    pub highest_generation: u64,
    /// Incarnation of the sender's id.
    pub incarnation: Incarnation,
    /// Incarnations that the sender has recorded for all voters, by slot.
    pub known_incarnations: Vec<KnownIncarnation>,
}

/// A voter's promise to join a new generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Promise {
    /// Number of the new generation.
    pub generation: u64,
    /// Id under which the sender joins.
    pub id: u64,
    /// Newest decision that the sender has recorded.
    pub known_decision: Option<Decision>,
}

/// A new group that all participants have promised to join.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NewGroup {
    /// Generation of the group.
    pub generation: u64,
    /// Ids of the voters, in the order of their slots.
    pub voter_ids: Vec<u64>,
    /// First decision of the group.
    pub initial_decision: Decision,
}

/// Output of a voter.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterOutput {
    /// Message of the Raft library.
    Raft {
        /// Generation of the group that the message belongs to.
        generation: u64,
        /// Message in the library's encoding.
        bytes: Vec<u8>,
    },
    /// Message defined in this package.
    Message(VoterMessage),
}

/// Output of a voter with its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedOutput {
    /// Slot of the receiver.
    pub slot: usize,
    /// Message to send.
    pub output: VoterOutput,
}

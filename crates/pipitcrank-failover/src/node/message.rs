//! Messages between nodes, and between nodes and operators.

use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::{EvidenceMatrix, EvidenceReport};
use pipitcrank_membership::peer::Peer;
use serde::{Deserialize, Serialize};

use crate::decision::{Decision, OperatorOrder};
use crate::follower::{DecisionFollower, LeaderHeartbeat};
use crate::routing_table::ZoneFraction;
use crate::voter::VoterMessage;

/// Largest number of members in one answer, so that it fits into a datagram.
const MEMBERS_PER_PAGE: usize = 40;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// Message between voters.
    Voter(VoterMessage),
    /// Evidence report, sent to the voters.
    Evidence(EvidenceReport),
    /// Query for the current decision; the answer repeats the nonce.
    DecisionQuery(u64),
    /// Current decision according to the sender.
    CurrentDecision {
        nonce: u64,
        decision: Option<Decision>,
        heartbeat: LeaderHeartbeat,
        /// Time since the heartbeat was first received.
        heartbeat_age: TimeSpan,
    },
    /// An operator's order or, without one, a request for the status.
    OperatorRequest { ticket: u64, order: Option<OperatorOrder> },
    /// Answer to an operator.
    Answer { ticket: u64, answer: OperatorAnswer },
    /// An operator's order to exclude the voters of these slots for good; an empty list ends the exclusion.
    ExcludeVoters { ticket: u64, slots: Vec<u8> },
    /// An operator's request for the members with higher addresses than `after`, in ascending order.
    MembersRequest { ticket: u64, after: Option<SocketAddr> },
}

impl Message {
    /// Builds the answer to a decision query from a follower's state.
    pub(super) fn current_decision(now: Timestamp, nonce: u64, follower: &DecisionFollower) -> Message {
        Message::CurrentDecision {
            nonce,
            decision: follower.decision().cloned(),
            heartbeat: follower.heartbeat(),
            heartbeat_age: follower.heartbeat_age(now),
        }
    }
}

/// Answer to an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorAnswer {
    /// Status of the node.
    Status(StatusReport),
    /// The voters accepted the order as the decision with this number.
    Decided(u64),
    /// The order was rejected for this reason.
    Rejected(String),
    /// This node does not lead the voters; the slot of the leader is included if it is known.
    NotLeader(Option<u8>),
    /// One page of the list of live members.
    Members {
        /// Members in ascending order of their addresses.
        members: Vec<Peer>,
        /// Whether more members follow.
        more: bool,
    },
}

impl OperatorAnswer {
    /// Builds the first page of these members after an address.
    pub(super) fn members_page(mut members: Vec<Peer>, after: Option<SocketAddr>) -> OperatorAnswer {
        members.sort_by_key(|peer| peer.address);
        members.retain(|peer| after.is_none_or(|after| peer.address > after));
        let more = members.len() > MEMBERS_PER_PAGE;
        members.truncate(MEMBERS_PER_PAGE);
        OperatorAnswer::Members { members, more }
    }
}

/// View of the zones from one node, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Decision that the node acts on.
    pub decision: Option<Decision>,
    /// `DecisionStatus::name` of the node.
    pub status: String,
    /// Routing of the node's queries.
    pub fractions: Vec<ZoneFraction>,
    /// Evidence on each zone if the node is a voter; otherwise empty.
    pub evidence: Vec<ZoneEvidence>,
    /// Slot of the leader, if known.
    pub leader: Option<u8>,
    /// Number of voters with a recent heartbeat, this one included; 0 if the node is not a voter.
    pub reachable_voters: u8,
    /// Number of live members, this node included.
    pub members: u16,
}

/// Evidence on one zone, as combined by a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneEvidence {
    /// `ZoneHealth::name` of the zone.
    pub health: String,
    /// Number of reporters of the zone.
    pub reporters: u16,
    /// Number of healthy replicas of the zone.
    pub healthy_replicas: u16,
}

impl ZoneEvidence {
    pub(super) fn of_zones(matrix: &EvidenceMatrix) -> Vec<ZoneEvidence> {
        let of_zone = |zone: usize| ZoneEvidence {
            health: matrix.zone_health(zone).name().to_string(),
            reporters: matrix.reporters(zone) as u16,
            healthy_replicas: matrix.healthy_replicas(zone).round() as u16,
        };
        (0..matrix.zone_count()).map(of_zone).collect()
    }
}

/// Reason for rejecting an operator's request before it reaches the voters; shown to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    #[error("this copy is no voter")]
    NotAVoter,
    #[error("it names this voter itself, or a seat that there is not")]
    InvalidSlot,
    #[error("the voters have a leader: nothing needs to begin anew")]
    HasLeader,
    #[error("too many orders wait for the voters")]
    TooManyOrders,
    #[error("the voters did not agree in time")]
    NotDecidedInTime,
}

//! Messages between nodes, and from and to operators.

use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::{EvidenceMatrix, EvidenceReport};
use pipitcrank_membership::peer::Peer;
use serde::{Deserialize, Serialize};

use crate::decision::{Decision, OperatorOrder};
use crate::follower::{DecisionFollower, LeaderHeartbeat};
use crate::routing_table::ZoneFraction;
use crate::voter::VoterMessage;

/// Members named in one answer, so that it fits a datagram.
const MEMBERS_PER_PAGE: usize = 40;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// Between voters.
    Voter(VoterMessage),
    /// To a voter.
    Evidence(EvidenceReport),
    /// Asks for the current decision; the nonce comes back with the answer.
    DecisionQuery(u64),
    /// The current decision as the sender knows it.
    CurrentDecision {
        nonce: u64,
        decision: Option<Decision>,
        heartbeat: LeaderHeartbeat,
        /// How long ago the heartbeat was first heard.
        heartbeat_age: TimeSpan,
    },
    /// An operator's order, or, without one, a request for the status.
    OperatorRequest { ticket: u64, order: Option<OperatorOrder> },
    /// Answers an operator.
    Answer { ticket: u64, answer: OperatorAnswer },
    /// An operator excludes the voters of these slots for good; an empty list ends that.
    ExcludeVoters { ticket: u64, slots: Vec<u8> },
    /// An operator asks for the members with higher addresses than `after`, in their order.
    MembersRequest { ticket: u64, after: Option<SocketAddr> },
}

impl Message {
    /// The current decision as that follower knows it.
    pub(super) fn current_decision(now: Timestamp, nonce: u64, follower: &DecisionFollower) -> Message {
        Message::CurrentDecision {
            nonce,
            decision: follower.decision().cloned(),
            heartbeat: follower.heartbeat(),
            heartbeat_age: follower.heartbeat_age(now),
        }
    }
}

/// The answer to an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorAnswer {
    /// The node's status.
    Status(StatusReport),
    /// The order was decided under this number.
    Decided(u64),
    /// The order was rejected, and why.
    Rejected(String),
    /// This node does not lead the voters; the slot of the voter that does, where it is known.
    NotLeader(Option<u8>),
    /// Live members, one page of the list.
    Members {
        /// In the order of their addresses.
        members: Vec<Peer>,
        /// Whether more follow.
        more: bool,
    },
}

impl OperatorAnswer {
    /// The first page of these members after an address.
    pub(super) fn members_page(mut members: Vec<Peer>, after: Option<SocketAddr>) -> OperatorAnswer {
        members.sort_by_key(|peer| peer.address);
        members.retain(|peer| after.is_none_or(|after| peer.address > after));
        let more = members.len() > MEMBERS_PER_PAGE;
        members.truncate(MEMBERS_PER_PAGE);
        OperatorAnswer::Members { members, more }
    }
}

/// A node's view of zones, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The decision that it acts on.
    pub decision: Option<Decision>,
    /// `DecisionStatus::name` of the node.
    pub status: String,
    /// How this node's queries are routed.
    pub fractions: Vec<ZoneFraction>,
    /// By zone, where this node is a voter.
    pub evidence: Vec<ZoneEvidence>,
    /// The slot of the leader, where it is known.
    pub leader: Option<u8>,
    /// Voters heard lately, this one included; 0 where this node is no voter.
    pub reachable_voters: u8,
    /// Live members, this node included.
    pub members: u16,
}

/// The evidence on one zone, as a voter has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneEvidence {
    /// `ZoneHealth::name` of the zone.
    pub health: String,
    /// Nodes of the zone whose reports count.
    pub reporters: u16,
    /// Replicas of the zone that were observed to be healthy.
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

/// Why an operator's request is rejected before the voters are asked; shown to the operator.
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

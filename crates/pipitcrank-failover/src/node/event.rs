//! What a node's driver logs and counts.

use pipitcrank_membership::envelope::DatagramRejection;
use pipitcrank_membership::evidence::ZoneHealth;
use pipitcrank_membership::members::MembershipEvent;

use super::message::OperatorAnswer;
use crate::decision::{Decision, DecisionCause, OperatorOrder};
use crate::follower::DecisionStatus;

/// What is worth a log line, or a count.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// This decision is acted on from now on.
    Decided(Decision),
    /// This node, leading, proposed a decision to the voters.
    Proposed {
        /// Why it should be made.
        cause: DecisionCause,
        /// The zone that it is about.
        zone: u16,
        /// The evidence on that zone.
        health: ZoneHealth,
        /// Nodes of that zone whose reports count.
        reporters: usize,
        /// Voters heard lately, this one included.
        voters: usize,
    },
    /// Membership changed.
    Membership(MembershipEvent),
    /// The node's status changed.
    StatusChanged(DecisionStatus),
    /// The node began or ceased to lead the voters.
    LeadershipChanged(bool),
    /// A datagram was rejected.
    DatagramRejected(DatagramRejection),
    /// A member's message could not be decoded, or the member may not send it.
    Undecodable,
    /// An operator's order was answered.
    OrderAnswered(OperatorOrder, OperatorAnswer),
}

//! Events of a node, which its driver logs and counts.

use pipitcrank_membership::envelope::DatagramRejection;
use pipitcrank_membership::evidence::ZoneHealth;
use pipitcrank_membership::members::MembershipEvent;

use super::message::OperatorAnswer;
use crate::decision::{Decision, DecisionCause, OperatorOrder};
use crate::follower::DecisionStatus;

/// An event to be logged or counted.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// The node acts on this decision from now on.
    Decided(Decision),
    /// The node, as leader, proposed a decision to the voters.
    Proposed {
        /// Reason for the decision.
        cause: DecisionCause,
        /// Zone that the decision concerns, as an index into the operators' list.
        zone: u16,
        /// Health of that zone according to the evidence.
        health: ZoneHealth,
        /// Number of reporters of that zone.
        reporters: usize,
        /// Number of voters with a recent heartbeat, this one included.
        voters: usize,
    },
    /// Membership changed.
    Membership(MembershipEvent),
    /// The node's status changed.
    StatusChanged(DecisionStatus),
    /// The node became leader of the voters, or lost the leadership.
    LeadershipChanged(bool),
    /// A datagram was rejected.
    DatagramRejected(DatagramRejection),
    /// A message could not be decoded, or its sender is not allowed to send it.
    Undecodable,
    /// An operator's order was answered.
    OrderAnswered(OperatorOrder, OperatorAnswer),
}

//! Duties of the voter that leads: heartbeats and proposals.

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::EvidenceMatrix;

use super::event::NodeEvent;
use super::order_queue::{Leader, OrderQueue, PendingOrder};
use crate::controller::{FailoverController, OrderError};
use crate::decision::Decision;
use crate::follower::{HeartbeatRank, LeaderHeartbeat};
use crate::voter::Voter;

/// Interval between heartbeats of the leader.
const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Interval between reviews of the evidence; reports arrive every quarter of a second.
const REVIEW_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
/// Time after which a proposal without an outcome is made again.
const PROPOSAL_TIMEOUT: TimeSpan = TimeSpan::from_millis(600);
/// Number of bits of the Raft term in a heartbeat's term; the generation of voters is stored above them.
const RAFT_TERM_BITS: u32 = 32;

struct PendingProposal {
    /// Number of the decision that the proposal succeeds.
    base: u64,
    at: Timestamp,
}

/// The decision to propose, if any, and the order that was rejected while it was computed.
#[derive(Default)]
pub(super) struct NextProposal {
    pub(super) rejected: Option<RejectedOrder>,
    pub(super) next: Option<Decision>,
}

/// An operator's order that was rejected, with the reason.
pub(super) struct RejectedOrder {
    pub(super) order: PendingOrder,
    pub(super) error: OrderError,
}

/// State of the leader's duties; unused on all other nodes.
pub(super) struct Leadership {
    controller: FailoverController,
    leads: bool,
    /// Number of heartbeats that this process has sent.
    heartbeats: u64,
    heartbeat_at: Timestamp,
    reviewed_at: Timestamp,
    proposal: Option<PendingProposal>,
}

impl Leadership {
    pub(super) fn new(distant_past: Timestamp, controller: FailoverController) -> Leadership {
        Leadership {
            controller,
            leads: false,
            heartbeats: 0,
            heartbeat_at: distant_past,
            reviewed_at: distant_past,
            proposal: None,
        }
    }

    pub(super) fn leads(&self) -> bool {
        self.leads
    }

    /// Returns which voter leads; `other` is the slot of another leading voter, if known.
    pub(super) fn leader(&self, other: Option<u8>) -> Leader {
        if self.leads { Leader::ThisNode } else { Leader::Other(other) }
    }

    /// Records whether this node leads; returns an event if that changed.
    pub(super) fn set_leading(&mut self, now: Timestamp, leads: bool) -> Option<NodeEvent> {
        if leads == self.leads {
            return None;
        }
        self.leads = leads;
        self.proposal = None;
        if leads {
            self.controller.leadership_gained(now);
        }
        Some(NodeEvent::LeadershipChanged(leads))
    }

    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.leads.then(|| self.reviewed_at + REVIEW_INTERVAL)
    }

    pub(super) fn begin_review_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.reviewed_at >= REVIEW_INTERVAL;
        if is_due {
            self.reviewed_at = now;
        }
        is_due
    }

    /// Returns the next heartbeat if it is due; it then counts as sent.
    pub(super) fn take_due_heartbeat(
        &mut self,
        now: Timestamp,
        voter: &Voter,
        decision_number: u64,
    ) -> Option<LeaderHeartbeat> {
        if now - self.heartbeat_at < HEARTBEAT_INTERVAL {
            return None;
        }
        self.heartbeat_at = now;
        self.heartbeats += 1;
        let term = voter.generation() << RAFT_TERM_BITS | voter.term();
        let rank = HeartbeatRank { term, count: self.heartbeats };
        Some(LeaderHeartbeat { rank, decision_number })
    }

    /// Whether a proposal to succeed decision `current` may still be accepted.
    pub(super) fn awaits_decision(&self, now: Timestamp, current: u64) -> bool {
        let pending = self.proposal.as_ref();
        pending.is_some_and(|proposal| proposal.base == current && now - proposal.at < PROPOSAL_TIMEOUT)
    }

    /// Computes the next proposal from the first pending order or, without one, from the evidence.
    pub(super) fn next_proposal(
        &mut self,
        now: Timestamp,
        matrix: &EvidenceMatrix,
        current: &Decision,
        orders: &mut OrderQueue,
    ) -> NextProposal {
        let mut proposal = NextProposal::default();
        if let Some(order) = orders.first() {
            match self.controller.apply_order(matrix, current, order.order) {
                Ok(decision) => {
                    orders.mark_first_proposed(&decision);
                    proposal.next = Some(decision);
                }
                Err(error) => proposal.rejected = Some(RejectedOrder { order, error }),
            }
        }
        if proposal.next.is_none() {
            proposal.next = self.controller.next_decision(now, matrix, current);
        }
        proposal
    }

    /// Proposes a decision to the voters.
    pub(super) fn propose(
        &mut self,
        now: Timestamp,
        matrix: &EvidenceMatrix,
        voter: &mut Voter,
        base: u64,
        next: Decision,
    ) -> NodeEvent {
        let zone = usize::from(next.zone);
        let event = NodeEvent::Proposed {
            cause: next.cause,
            zone: next.zone,
            health: matrix.zone_health(zone),
            reporters: matrix.reporters(zone),
            voters: voter.reachable_voters(now),
        };
        self.proposal = Some(PendingProposal { base, at: now });
        voter.propose(base, next);
        event
    }
}

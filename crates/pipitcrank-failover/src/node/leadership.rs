//! What the voter that leads does: sends heartbeats and proposes decisions.

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::EvidenceMatrix;

use super::event::NodeEvent;
use super::order_queue::{Leader, OrderQueue, PendingOrder};
use crate::controller::{FailoverController, OrderError};
use crate::decision::Decision;
use crate::follower::{HeartbeatRank, LeaderHeartbeat};
use crate::voter::Voter;

/// Time between two heartbeats of the leader.
const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Time between two reviews of the evidence; reports come each quarter of a second.
const REVIEW_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
/// A proposal that came to nothing for so long is made again.
const PROPOSAL_TIMEOUT: TimeSpan = TimeSpan::from_millis(600);
/// In a heartbeat's term the generation of voters stands above Raft's term.
const RAFT_TERM_BITS: u32 = 32;

struct PendingProposal {
    /// Number of the decision that it succeeds.
    base: u64,
    at: Timestamp,
}

/// A decision to propose, and an order that was rejected while looking for one.
#[derive(Default)]
pub(super) struct Choice {
    pub(super) rejected: Option<RejectedOrder>,
    pub(super) next: Option<Decision>,
}

/// An operator's order that no decision can be made from.
pub(super) struct RejectedOrder {
    pub(super) order: PendingOrder,
    pub(super) error: OrderError,
}

/// What the leader has done when; idle at all other nodes.
pub(super) struct Leadership {
    controller: FailoverController,
    leads: bool,
    /// Heartbeats of this process so far.
    heartbeats: u64,
    heartbeat_at: Timestamp,
    reviewed_at: Timestamp,
    proposal: Option<PendingProposal>,
}

impl Leadership {
    pub(super) fn new(long_ago: Timestamp, controller: FailoverController) -> Leadership {
        Leadership {
            controller,
            leads: false,
            heartbeats: 0,
            heartbeat_at: long_ago,
            reviewed_at: long_ago,
            proposal: None,
        }
    }

    pub(super) fn leads(&self) -> bool {
        self.leads
    }

    /// Who leads the voters; `other`: the slot of another voter, where it is known.
    pub(super) fn leader(&self, other: Option<u8>) -> Leader {
        if self.leads { Leader::ThisNode } else { Leader::Other(other) }
    }

    /// The event, if that changed.
    pub(super) fn set_leads(&mut self, now: Timestamp, leads: bool) -> Option<NodeEvent> {
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

    /// The next heartbeat, if it is due; it counts as sent.
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

    /// Whether a proposal to succeed that decision may still be accepted.
    pub(super) fn awaits_voters(&self, now: Timestamp, current: u64) -> bool {
        let pending = self.proposal.as_ref();
        pending.is_some_and(|proposal| proposal.base == current && now - proposal.at < PROPOSAL_TIMEOUT)
    }

    /// What to propose: the first order, or else what follows from the evidence.
    pub(super) fn choose(
        &mut self,
        now: Timestamp,
        matrix: &EvidenceMatrix,
        current: &Decision,
        orders: &mut OrderQueue,
    ) -> Choice {
        let mut choice = Choice::default();
        if let Some(order) = orders.first() {
            match self.controller.apply_order(matrix, current, order.order) {
                Ok(decision) => {
                    orders.first_proposed(&decision);
                    choice.next = Some(decision);
                }
                Err(error) => choice.rejected = Some(RejectedOrder { order, error }),
            }
        }
        if choice.next.is_none() {
            choice.next = self.controller.next_decision(now, matrix, current);
        }
        choice
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

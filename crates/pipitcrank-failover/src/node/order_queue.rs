//! Queue of operators' orders, and the answers already sent.

use std::collections::VecDeque;
use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::message::{OperatorAnswer, RequestError};
use crate::decision::{Decision, DecisionCause, OperatorOrder};

/// Largest number of pending orders, and of answers kept for repeated requests.
const MAX_ORDERS: usize = 16;
/// Time that an order may wait for a decision of the voters.
const ORDER_TIMEOUT: TimeSpan = TimeSpan::from_millis(3000);

/// Properties by which the decision on an order is recognized.
#[derive(Clone, Copy, PartialEq)]
struct ProposedChange {
    cause: DecisionCause,
    zone: u16,
}

impl ProposedChange {
    fn of(decision: &Decision) -> ProposedChange {
        ProposedChange { cause: decision.cause, zone: decision.zone }
    }
}

/// An order that has no answer yet.
#[derive(Clone, Copy)]
pub(super) struct PendingOrder {
    pub(super) ticket: u64,
    pub(super) from: SocketAddr,
    pub(super) order: OperatorOrder,
    received_at: Timestamp,
    proposed: Option<ProposedChange>,
}

impl PendingOrder {
    pub(super) fn new(now: Timestamp, from: SocketAddr, ticket: u64, order: OperatorOrder) -> PendingOrder {
        PendingOrder { ticket, from, order, received_at: now, proposed: None }
    }
}

/// Leader of the voters.
#[derive(Clone, Copy)]
pub(super) enum Leader {
    ThisNode,
    /// Slot of another voter, if known.
    Other(Option<u8>),
}

struct RecordedAnswer {
    ticket: u64,
    answer: OperatorAnswer,
}

/// Pending orders in order of arrival, and recent answers.
#[derive(Default)]
pub(super) struct OrderQueue {
    pending: VecDeque<PendingOrder>,
    recorded: VecDeque<RecordedAnswer>,
}

impl OrderQueue {
    /// Returns the answer that was already sent to the same request.
    pub(super) fn recorded_answer(&self, ticket: u64) -> Option<OperatorAnswer> {
        self.recorded
            .iter()
            .find(|recorded| recorded.ticket == ticket)
            .map(|recorded| recorded.answer.clone())
    }

    /// Adds an order; returns an answer if the order is rejected at once. Only the leader accepts orders.
    pub(super) fn add(&mut self, order: PendingOrder, leader: Leader) -> Option<OperatorAnswer> {
        if self.pending.iter().any(|pending| pending.ticket == order.ticket) {
            return None;
        }
        if let Leader::Other(slot) = leader {
            return Some(OperatorAnswer::NotLeader(slot));
        }
        if self.pending.len() >= MAX_ORDERS {
            return Some(OperatorAnswer::Rejected(RequestError::TooManyOrders.to_string()));
        }
        self.pending.push_back(order);
        None
    }

    pub(super) fn first(&self) -> Option<PendingOrder> {
        self.pending.front().copied()
    }

    /// Records that the first order was proposed as this decision.
    pub(super) fn mark_first_proposed(&mut self, decision: &Decision) {
        if let Some(first) = self.pending.front_mut() {
            first.proposed = Some(ProposedChange::of(decision));
        }
    }

    /// Returns the order that this decision carries out.
    pub(super) fn completed_by(&self, decision: &Decision) -> Option<PendingOrder> {
        let change = ProposedChange::of(decision);
        self.pending.iter().find(|pending| pending.proposed == Some(change)).copied()
    }

    /// Returns the orders that have waited too long.
    pub(super) fn expired(&self, now: Timestamp) -> Vec<PendingOrder> {
        self.pending.iter().filter(|pending| now - pending.received_at >= ORDER_TIMEOUT).copied().collect()
    }

    /// Removes an order and records its answer.
    pub(super) fn close(&mut self, ticket: u64, answer: OperatorAnswer) {
        self.pending.retain(|pending| pending.ticket != ticket);
        self.recorded.push_back(RecordedAnswer { ticket, answer });
        if self.recorded.len() > MAX_ORDERS {
            self.recorded.pop_front();
        }
    }
}

//! Operators' orders that wait for the voters, and the answers that were given.

use std::collections::VecDeque;
use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};

use super::message::{OperatorAnswer, RequestError};
use crate::decision::{Decision, DecisionCause, OperatorOrder};

/// Orders that wait, and answers remembered for repeated requests.
const MAX_ORDERS: usize = 16;
/// For how long an order may wait for the voters.
const ORDER_TIMEOUT: TimeSpan = TimeSpan::from_millis(3000);

/// By what the decision on an order is recognized.
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

/// An order that is not answered yet.
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

/// Who leads the voters.
#[derive(Clone, Copy)]
pub(super) enum Leader {
    ThisNode,
    /// The slot of another voter, where it is known.
    Other(Option<u8>),
}

struct GivenAnswer {
    ticket: u64,
    answer: OperatorAnswer,
}

/// Orders in the order of their arrival.
#[derive(Default)]
pub(super) struct OrderQueue {
    pending: VecDeque<PendingOrder>,
    given: VecDeque<GivenAnswer>,
}

impl OrderQueue {
    /// The answer that a request was given before.
    pub(super) fn given_answer(&self, ticket: u64) -> Option<OperatorAnswer> {
        self.given.iter().find(|given| given.ticket == ticket).map(|given| given.answer.clone())
    }

    /// Enters an order that was not answered before; the answer, if it has to be rejected at once.
    /// Only the leader accepts orders.
    pub(super) fn enter(&mut self, order: PendingOrder, leader: Leader) -> Option<OperatorAnswer> {
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

    /// The first order is proposed as this decision.
    pub(super) fn first_proposed(&mut self, decision: &Decision) {
        if let Some(first) = self.pending.front_mut() {
            first.proposed = Some(ProposedChange::of(decision));
        }
    }

    /// The order that this decision carries out.
    pub(super) fn carried_out_by(&self, decision: &Decision) -> Option<PendingOrder> {
        let change = ProposedChange::of(decision);
        self.pending.iter().find(|pending| pending.proposed == Some(change)).copied()
    }

    /// Orders that have waited for too long.
    pub(super) fn expired(&self, now: Timestamp) -> Vec<PendingOrder> {
        self.pending.iter().filter(|pending| now - pending.received_at >= ORDER_TIMEOUT).copied().collect()
    }

    /// Removes an order, and remembers its answer.
    pub(super) fn close(&mut self, ticket: u64, answer: OperatorAnswer) {
        self.pending.retain(|pending| pending.ticket != ticket);
        self.given.push_back(GivenAnswer { ticket, answer });
        if self.given.len() > MAX_ORDERS {
            self.given.pop_front();
        }
    }
}

//! Relays queries to the successor while their clients are connected to this process. Each query gets one response: that of the
//! successor, or one of this process if the deadline passes or the successor exits first.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::descriptor_passing::LinkSender;
use pipitcrank_handover::messages::{RelayedResponse, ToSuccessor};
use tokio::sync::oneshot;

use super::relayed::{decode_response, encode_query};
use crate::exchange::{QueryRequest, QueryResponse};
use crate::runtime::counter_names::{group, query, upgrade};
use crate::runtime::event_loop::EventLoop;

/// Time before the client's deadline at which this process stops waiting for the successor, which may hang. It covers the
/// delay of the link and of this thread.
const RESPONSE_MARGIN: TimeSpan = TimeSpan::from_millis(5);

struct PendingQuery {
    class: RequestClassId,
    response: oneshot::Sender<QueryResponse>,
}

/// A query that was not relayed and has to be answered by this process.
pub struct NotRelayed {
    /// The query.
    pub request: QueryRequest,
    /// Receives the response.
    pub response: oneshot::Sender<QueryResponse>,
}

/// Relays queries to the successor, if there is one. Clones share the same state.
#[derive(Clone)]
pub struct Relay {
    event_loop: Rc<EventLoop>,
    successor: Rc<RefCell<Option<LinkSender>>>,
    /// Relayed queries by ticket, until the response or the client's disconnect.
    pending: Rc<RefCell<BTreeMap<u64, PendingQuery>>>,
}

impl Relay {
    /// Creates a relay without a successor.
    pub fn new(event_loop: Rc<EventLoop>) -> Relay {
        Relay { event_loop, successor: Rc::default(), pending: Rc::default() }
    }

    /// Starts relaying queries to the successor.
    pub fn start(&self, successor: LinkSender) {
        *self.successor.borrow_mut() = Some(successor);
    }

    /// Whether no relayed query is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.borrow().is_empty()
    }

    /// Relays a query; returns it if there is no successor, or if a query with its id is open in this process.
    pub fn relay(
        &self,
        ticket: u64,
        request: QueryRequest,
        response: oneshot::Sender<QueryResponse>,
    ) -> Result<(), NotRelayed> {
        let successor = self.successor.borrow();
        let is_open_here = || self.event_loop.read(|e| e.has_query(&request.id));
        let Some(successor) = successor.as_ref().filter(|_| !is_open_here()) else {
            return Err(NotRelayed { request, response });
        };
        let time_left = request.deadline - self.event_loop.clock.now();
        self.pending.borrow_mut().insert(ticket, PendingQuery { class: request.class, response });
        let relay = self.clone();
        let latest = self.event_loop.clock.instant(request.deadline - RESPONSE_MARGIN);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(latest).await;
            if relay.respond_as_lost(ticket) {
                relay.event_loop.counters.add(group::UPGRADES, upgrade::NOT_ANSWERED_IN_TIME);
            }
        });
        let idempotency_key = request.idempotency_key.clone();
        let query = encode_query(ticket, time_left - RESPONSE_MARGIN, request);
        let message = match idempotency_key {
            None => ToSuccessor::Query(query),
            Some(key) => ToSuccessor::QueryWithKey { query, idempotency_key: key.to_string() },
        };
        successor.send(&message, None);
        Ok(())
    }

    /// Cancels the query of a client that has disconnected; returns whether the query was pending.
    pub fn client_disconnected(&self, ticket: u64) -> bool {
        let was_pending = self.pending.borrow_mut().remove(&ticket).is_some();
        if let Some(successor) = self.successor.borrow().as_ref().filter(|_| was_pending) {
            successor.send(&ToSuccessor::CancelQuery { ticket }, None);
        }
        was_pending
    }

    /// Passes the successor's response to the client.
    pub fn respond(&self, ticket: u64, response: RelayedResponse) {
        if let Some(query) = self.pending.borrow_mut().remove(&ticket) {
            let _ = query.response.send(decode_response(response));
        }
    }

    /// Responds to a relayed query whose parts may have run; returns whether the query was pending.
    fn respond_as_lost(&self, ticket: u64) -> bool {
        let Some(query) = self.pending.borrow_mut().remove(&ticket) else { return false };
        let response = self.event_loop.read(|e| e.response_if_lost(query.class));
        let kind = if response == QueryResponse::Aborted { query::ABORTED } else { query::REJECTED };
        self.event_loop.counters.add(group::QUERIES, kind);
        let _ = query.response.send(response);
        true
    }

    /// Stops relaying after the successor has exited: responds to all pending queries, and returns their number.
    pub fn stop(&self) -> usize {
        *self.successor.borrow_mut() = None;
        let tickets: Vec<u64> = self.pending.borrow().keys().copied().collect();
        tickets.into_iter().filter(|&ticket| self.respond_as_lost(ticket)).count()
    }
}

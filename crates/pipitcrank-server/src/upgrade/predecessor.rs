//! The successor's side of an upgrade: handles the messages of the predecessor.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::sync::atomic::Ordering;

use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::clock::monotonic_micros;
use pipitcrank_handover::descriptor_passing::LinkSender;
use pipitcrank_handover::messages::{
    PROTOCOL_VERSION, RelayedQuery, RelayedResponse, ToPredecessor, ToSuccessor, ToSupervisor,
};
use pipitcrank_handover::snapshot::Snapshot;
use tokio::net::TcpStream;

use super::class_mapping::ClassMapping;
use super::context::UpgradeContext;
use super::relayed::{KnownDomain, decode_query, encode_response};
use crate::clients::acceptor::AcceptorCommand;
use crate::clients::connection::AdoptedConnection;
use crate::exchange::{QueryResponse, REQUEST_LOG_TARGET, ResponseSink};
use crate::runtime::clock::duration;
use crate::runtime::counter_names::{group, upgrade};

/// This process's tickets, by the predecessor's.
type TicketMap = Rc<RefCell<BTreeMap<u64, u64>>>;

/// The process that hands its work over.
pub(super) struct Predecessor {
    link: LinkSender,
    /// Retries delegated to the predecessor; `None` before its state is loaded and after the settlement.
    delegated_retries: Option<u32>,
    /// The predecessor's request classes; none before its state is loaded.
    classes: ClassMapping,
    tickets: TicketMap,
}

/// Sends the response to a relayed query to the predecessor.
struct RelayedResponder {
    ticket: u64,
    link: LinkSender,
    tickets: TicketMap,
}

impl ResponseSink for RelayedResponder {
    fn respond(self: Box<Self>, response: QueryResponse) {
        self.tickets.borrow_mut().remove(&self.ticket);
        let response = encode_response(response);
        self.link.send(&ToPredecessor::Response { ticket: self.ticket, response }, None);
    }
}

impl Predecessor {
    pub(super) fn new(link: LinkSender) -> Predecessor {
        Predecessor {
            link,
            delegated_retries: None,
            classes: ClassMapping::default(),
            tickets: Rc::default(),
        }
    }

    /// Whether the predecessor's state is loaded and the predecessor has not finished.
    pub(super) fn is_active(&self) -> bool {
        self.delegated_retries.is_some()
    }

    pub(super) fn handle(
        &mut self,
        context: &UpgradeContext,
        supervisor: &LinkSender,
        message: ToSuccessor,
        descriptor: Option<OwnedFd>,
    ) {
        match message {
            ToSuccessor::Hello { version: PROTOCOL_VERSION } => {}
            ToSuccessor::Hello { version } => {
                tracing::error!(
                    "predecessor uses protocol version {version}, not {PROTOCOL_VERSION}; the upgrade will time out"
                );
                // Sends no further heartbeats, so the supervisor's timeout ends this upgrade.
                self.delegated_retries = None;
            }
            ToSuccessor::Snapshot(bytes) => {
                let LoadedState { delegated_retries, classes } = load_state(context, &bytes);
                (self.delegated_retries, self.classes) = (Some(delegated_retries), classes);
                supervisor.send(&ToSupervisor::StateLoaded, None);
            }
            ToSuccessor::Query(query) => self.submit(context, query, None),
            ToSuccessor::QueryWithKey { query, idempotency_key } => {
                self.submit(context, query, Some(idempotency_key));
            }
            ToSuccessor::CancelQuery { ticket } => {
                if let Some(own_ticket) = self.tickets.borrow_mut().remove(&ticket) {
                    context.event_loop.update(|e| e.client_disconnected(own_ticket));
                }
            }
            ToSuccessor::HeldResources { replica_connections, client_connections, open_queries } => {
                context.event_loop.replica_connections.reserve_for_peer(replica_connections as usize);
                context.client_connections.reserve_for_peer(client_connections as usize);
                context.event_loop.update(|e| e.set_open_in_peer(open_queries as usize));
            }
            ToSuccessor::ClientConnection { buffered, request_timeout } => {
                adopt(context, descriptor, buffered, request_timeout);
            }
            ToSuccessor::Finished { delegated_retries_used, counters } => {
                context.event_loop.counters.add_all(counters);
                self.settle(context, Some(delegated_retries_used));
            }
        }
    }

    fn submit(&self, context: &UpgradeContext, query: RelayedQuery, idempotency_key: Option<String>) {
        let (ticket, id) = (query.ticket, query.id.clone());
        let domain = KnownDomain {
            classes: &self.classes,
            keyed_idempotency: &context.keyed_idempotency,
            shards: context.shards,
        };
        let now = context.event_loop.clock.now();
        let request = match decode_query(now, &domain, query, idempotency_key) {
            Ok(request) => request,
            Err(error) => {
                context.event_loop.counters.add(group::UPGRADES, upgrade::QUERIES_REFUSED);
                tracing::debug!(target: REQUEST_LOG_TARGET, request = id, "relayed query rejected: {error}");
                let response = RelayedResponse::Rejected { retry_after: TimeSpan::ZERO };
                return self.link.send(&ToPredecessor::Response { ticket, response }, None);
            }
        };
        let own_ticket = context.tickets.fetch_add(1, Ordering::Relaxed);
        self.tickets.borrow_mut().insert(ticket, own_ticket);
        let responder = RelayedResponder { ticket, link: self.link.clone(), tickets: self.tickets.clone() };
        context.event_loop.update(|e| e.submit(own_ticket, request, Box::new(responder)));
    }

    /// Settles the retry budget with the predecessor, which has used `used` of its delegated retries. `None` means that it
    /// ended without a last message; then all of them count as used.
    pub(super) fn settle(&mut self, context: &UpgradeContext, used: Option<u32>) {
        if let Some(delegated) = self.delegated_retries.take() {
            let used = used.unwrap_or(delegated).min(delegated);
            let now = context.event_loop.clock.now();
            context.event_loop.update(|e| e.settle_with_predecessor(now, used));
        }
        context.event_loop.replica_connections.clear_peer_reservation();
        context.client_connections.clear_peer_reservation();
    }

    /// Continues without the predecessor, which has exited.
    pub(super) fn abandon(mut self, context: &UpgradeContext) {
        // The predecessor may have exited before it sent its state; then only the initial list is available.
        if context.has_initial_list() {
            context.use_initial_list();
            context.resume_without_peer();
        }
        self.settle(context, None);
    }
}

/// What the predecessor's state says of the predecessor itself.
struct LoadedState {
    /// Number of retries delegated to the predecessor.
    delegated_retries: u32,
    classes: ClassMapping,
}

/// Loads the predecessor's state.
fn load_state(context: &UpgradeContext, bytes: &[u8]) -> LoadedState {
    match Snapshot::decode(bytes) {
        Ok(snapshot) => {
            let now = context.event_loop.clock.now();
            let age_us = (monotonic_micros() - snapshot.taken_us).max(0);
            let age = TimeSpan::from_secs_f64(age_us as f64 / 1e6);
            let age_s = age.as_secs_f64();
            tracing::info!(
                replicas = snapshot.replicas.len(),
                age_s,
                "continuing with the predecessor's state"
            );
            context.initial_list.take();
            context.revision.set(snapshot.revision);
            let delegated_retries = snapshot.delegated_retries.count;
            let classes = ClassMapping::new(&snapshot.learned, &context.classes);
            for name in classes.unknown_names() {
                tracing::warn!(
                    "predecessor serves an unknown request class '{name}'; its queries are rejected during the upgrade"
                );
            }
            context.event_loop.update(|e| e.resume_from_predecessor(now, age, snapshot));
            (context.start_discovery)();
            LoadedState { delegated_retries, classes }
        }
        Err(error) => {
            tracing::warn!(
                "predecessor's state rejected ({error}); starting from the node configuration's endpoint list"
            );
            context.event_loop.counters.add(group::UPGRADES, upgrade::SNAPSHOTS_REFUSED);
            context.use_initial_list();
            context.resume_without_peer();
            LoadedState { delegated_retries: 0, classes: ClassMapping::by_position(&context.classes) }
        }
    }
}

/// Serves a client connection received from the predecessor.
fn adopt(
    context: &UpgradeContext,
    descriptor: Option<OwnedFd>,
    buffered: Vec<u8>,
    request_timeout: Option<TimeSpan>,
) {
    let Some(stream) = descriptor.map(std::net::TcpStream::from) else { return };
    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
    if let Ok(stream) = stream {
        let request_timeout = request_timeout.map(duration);
        let connection = AdoptedConnection { stream, buffered: buffered.into(), request_timeout };
        let _ = context.acceptor.send(AcceptorCommand::Adopt(connection));
    }
}

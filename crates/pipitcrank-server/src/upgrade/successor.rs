//! The predecessor's side of an upgrade: hands this process's work over to the successor.

use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::clock::monotonic_micros;
use pipitcrank_handover::descriptor_passing::LinkSender;
use pipitcrank_handover::messages::ToSuccessor;
use pipitcrank_handover::resource_split;

use super::context::UpgradeContext;
use crate::clients::acceptor::AcceptorCommand;
use crate::clients::connection::AdoptedConnection;
use crate::exchange::Exchange;

/// The process that takes the work over.
pub(super) struct Successor {
    link: LinkSender,
    /// Retries delegated to this process at the handover.
    delegated_retries: u32,
    /// Whether the successor uses the same protocol version and was sent the state.
    pub(super) has_state: bool,
    /// Whether client connections are being transferred.
    pub(super) transferring: bool,
    /// Whether this process has reported that it has no open query.
    pub(super) drained: bool,
}

impl Successor {
    pub(super) fn new(link: LinkSender) -> Successor {
        Successor { link, delegated_retries: 0, has_state: false, transferring: false, drained: false }
    }

    /// Sends the state to the successor. From now on this process only finishes its open queries.
    pub(super) fn hand_over(&mut self, context: &UpgradeContext) {
        self.has_state = true;
        let now = context.event_loop.clock.now();
        let revision = context.revision.get();
        let snapshot = context
            .event_loop
            .update(|e| e.begin_handover(now, monotonic_micros(), revision, context.max_deadline));
        self.delegated_retries = snapshot.delegated_retries.count;
        let bytes = snapshot.encode().unwrap_or_else(|error| {
            tracing::error!("state can't be encoded, sending an empty snapshot: {error}");
            Vec::new()
        });
        tracing::info!("sending {} bytes of state to the successor", bytes.len());
        self.link.send(&ToSuccessor::Snapshot(bytes), None);
        self.report_held_resources(context);
        context.relay.start(self.link.clone());
        context.draining.send_replace(true);
    }

    /// Reports the connections and open queries that this process still holds, and lowers its limit of replica connections.
    pub(super) fn report_held_resources(&self, context: &UpgradeContext) {
        let (replicas, clients) = (&context.event_loop.replica_connections, &context.client_connections);
        let split = resource_split::split_connections(replicas.limit(), replicas.open());
        replicas.set_limit(split.predecessor);
        let held = ToSuccessor::HeldResources {
            open_queries: context.event_loop.read(Exchange::open_count) as u32,
            replica_connections: replicas.open() as u32,
            client_connections: clients.open() as u32,
        };
        self.link.send(&held, None);
    }

    /// Transfers a client connection to the successor.
    pub(super) fn transfer(&self, connection: AdoptedConnection) {
        let AdoptedConnection { stream, buffered, request_timeout } = connection;
        if let Ok(stream) = stream.into_std() {
            let request_timeout = request_timeout.map(|time| TimeSpan::from_secs_f64(time.as_secs_f64()));
            let message = ToSuccessor::ClientConnection { buffered: buffered.to_vec(), request_timeout };
            self.link.send(&message, Some(stream.into()));
        }
    }

    /// Sends the last message to the successor.
    pub(super) fn finish(&self, context: &UpgradeContext) {
        let delegated = self.delegated_retries;
        let delegated_retries_used = context.event_loop.read(|e| e.delegated_retries_used(delegated));
        let counters = context.event_loop.counters.all();
        self.link.send(&ToSuccessor::Finished { delegated_retries_used, counters }, None);
    }

    /// Continues without the successor, which has exited.
    pub(super) fn abandon(self, context: &UpgradeContext) {
        let lost = context.relay.stop();
        if self.has_state {
            tracing::warn!("successor exited with {lost} relayed queries pending; continuing alone");
            context.resume_without_peer();
            context.event_loop.replica_connections.clear_peer_reservation();
            context.draining.send_replace(false);
        }
        if self.transferring {
            let _ = context.acceptor.send(AcceptorCommand::StopTransfer);
        }
    }
}

//! The parts of the server that the upgrade worker uses, as predecessor or successor.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use super::relay::Relay;
use crate::clients::acceptor::AcceptorCommand;
use crate::discovery::client::SharedRevision;
use crate::discovery::endpoint_update::EndpointList;
use crate::runtime::connection_limits::ConnectionLimiter;
use crate::runtime::event_loop::EventLoop;

/// The parts of the server that the upgrade worker uses.
pub struct UpgradeContext {
    /// The event loop, with the exchange.
    pub event_loop: Rc<EventLoop>,
    /// Relays queries to the successor.
    pub relay: Relay,
    /// Commands to the acceptor of client connections.
    pub acceptor: UnboundedSender<AcceptorCommand>,
    /// Limits the connections of clients.
    pub client_connections: ConnectionLimiter,
    /// Revision of the current endpoint list.
    pub revision: SharedRevision,
    /// Starts discovery; must be called once the first endpoint list is loaded.
    pub start_discovery: Rc<dyn Fn()>,
    /// The node configuration's endpoint list, until a list is loaded.
    pub initial_list: Cell<Option<EndpointList>>,
    /// The next ticket.
    pub tickets: Arc<AtomicU64>,
    /// Names of the request classes, by id.
    pub classes: Arc<[String]>,
    /// Whether a query needs an idempotency key, by request class.
    pub keyed_idempotency: Arc<[bool]>,
    /// Number of shards.
    pub shards: u32,
    /// Maximum time for which a query may be open.
    pub max_deadline: TimeSpan,
    /// Requests the shutdown of this process.
    pub shutdown: watch::Sender<Option<Timestamp>>,
    /// Whether this process is draining, for subsystems that accept work from other processes.
    pub draining: Rc<watch::Sender<bool>>,
}

impl UpgradeContext {
    /// Loads the node configuration's endpoint list and starts discovery, unless a list is already loaded.
    pub fn use_initial_list(&self) {
        if let Some(EndpointList { revision, endpoints }) = self.initial_list.take() {
            self.revision.set(Some(revision));
            let now = self.event_loop.clock.now();
            self.event_loop.update(|e| e.update_endpoints(now, true, endpoints));
            (self.start_discovery)();
        }
    }

    /// Whether the node configuration's endpoint list is still unused.
    pub fn has_initial_list(&self) -> bool {
        let list = self.initial_list.take();
        let is_there = list.is_some();
        self.initial_list.set(list);
        is_there
    }

    /// Continues without the other process, whose use of the shared limits is unknown and assumed to be the maximum.
    pub fn resume_without_peer(&self) {
        let now = self.event_loop.clock.now();
        self.event_loop.update(|e| e.resume_without_peer(now));
    }

    /// Requests the shutdown of this process; a repeated request has no effect.
    pub fn request_shutdown(&self) {
        self.shutdown.send_if_modified(|requested| {
            let is_first = requested.is_none();
            *requested = requested.or(Some(self.event_loop.clock.now()));
            is_first
        });
    }
}

//! What the upgrade worker works with, in either role.

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

/// The parts of the server that an upgrade concerns.
pub struct UpgradeContext {
    /// The event loop, with the exchange.
    pub event_loop: Rc<EventLoop>,
    /// Queries that a successor answers.
    pub relay: Relay,
    /// Commands to the acceptor of client connections.
    pub acceptor: UnboundedSender<AcceptorCommand>,
    /// Limits client connections.
    pub client_connections: ConnectionLimiter,
    /// Revision of the current endpoint list.
    pub revision: SharedRevision,
    /// To be called once there is an endpoint list, from wherever it came.
    pub start_discovery: Rc<dyn Fn()>,
    /// The node configuration's list, until there is a current list.
    pub initial_list: Cell<Option<EndpointList>>,
    /// The next ticket.
    pub tickets: Arc<AtomicU64>,
    /// Number of request classes.
    pub class_count: usize,
    /// Number of shards.
    pub shards: u32,
    /// For how long a query may be open.
    pub max_deadline: TimeSpan,
    /// Requests the shutdown of this process.
    pub shutdown: watch::Sender<Option<Timestamp>>,
    /// Whether this process drains, for those who take work of others.
    pub draining: Rc<watch::Sender<bool>>,
}

impl UpgradeContext {
    /// Goes by the node configuration's list, unless there is a list already.
    pub fn use_initial_list(&self) {
        if let Some(EndpointList { revision, endpoints }) = self.initial_list.take() {
            self.revision.set(Some(revision));
            let now = self.event_loop.clock.now();
            self.event_loop.update(|e| e.update_endpoints(now, true, endpoints));
            (self.start_discovery)();
        }
    }

    /// Whether there is no current list yet.
    pub fn has_initial_list(&self) -> bool {
        let list = self.initial_list.take();
        let is_there = list.is_some();
        self.initial_list.set(list);
        is_there
    }

    /// What the other process sent is not known: it counts as all that it might have.
    pub fn resume_alone(&self) {
        let now = self.event_loop.clock.now();
        self.event_loop.update(|e| e.resume_alone(now));
    }

    /// Requests the shutdown of this process, unless it was requested before.
    pub fn request_shutdown(&self) {
        self.shutdown.send_if_modified(|requested| {
            let is_first = requested.is_none();
            *requested = requested.or(Some(self.event_loop.clock.now()));
            is_first
        });
    }
}

//! The interface of the server to other subsystems: the gateway to other sites, the store, and zone failover.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use pipitcrank_core::coordinator::zones::ZoneId;
use pipitcrank_core::time::TimeSpan;
use tokio::sync::watch;

use crate::discovery::client::SharedRevision;
use crate::exchange::ReplicaTransport;
use crate::replicas::pool::ReplicaPool;
use crate::runtime::event_loop::EventLoop;
use crate::runtime::shutdown::ShutdownRequest;

/// The running server, as seen by other subsystems.
pub struct ServerContext {
    /// The event loop, with the exchange.
    pub event_loop: Rc<EventLoop>,
    /// The pool of connections to local replicas.
    pub replicas: Rc<RefCell<ReplicaPool>>,
    /// Names of the request classes, by id.
    pub classes: Vec<String>,
    /// Number of shards.
    pub shards: u32,
    /// Number of cells of the replica ring.
    pub cells: u32,
    /// Maximum time for which a query may be open.
    pub max_deadline: TimeSpan,
    /// The next ticket.
    pub tickets: Arc<AtomicU64>,
    /// Whether work from other processes must be rejected, because a successor takes over or shutdown was requested.
    pub draining: watch::Receiver<bool>,
    /// Time of the shutdown request, if any.
    pub shutdown_requested: ShutdownRequest,
    /// The zone of this co-ordinator and the names of all zones; `None` if the platform has no zones.
    pub zones: Option<(ZoneId, Vec<String>)>,
    /// Priority weight of a complete answer, by request class.
    pub priority_weights: Vec<f64>,
    /// Revision of the current endpoint list.
    pub revision: SharedRevision,
}

/// Creates a transport that reaches other destinations besides local replicas, such as other sites.
pub type TransportFactory = Box<dyn FnOnce(ServerContext) -> Rc<RefCell<dyn ReplicaTransport>>>;

//! Builds the parts of the server from the node configuration.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use axum::Router;
use pipitcrank_core::config::ConfigError;
use pipitcrank_core::time::TimeSpan;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::clients::acceptor::{AcceptorCommand, ClientResources};
use crate::clients::http::{self, HttpEvent, HttpState};
use crate::discovery::client::{self, SharedRevision};
use crate::discovery::endpoint_update::EndpointList;
use crate::discovery::poll_pacing::PollPacing;
use crate::node_config::NodeConfig;
use crate::replicas::pool::ReplicaPool;
use crate::runtime::clock::Clock;
use crate::runtime::connection_limits::ConnectionLimiter;
use crate::runtime::counters::Counters;
use crate::runtime::event_loop::EventLoop;
use crate::runtime::memory_plan::MemoryPlan;
use crate::runtime::shutdown::{ShutdownRequest, ShutdownSchedule};
use crate::runtime::stall_detector::StallDetector;
use crate::server_context::ServerContext;
use crate::upgrade::context::UpgradeContext;
use crate::upgrade::relay::Relay;

/// Looks up an environment variable.
pub(crate) type EnvVariable = fn(&str) -> Option<String>;

pub(crate) fn env_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// The parts of the server, before any of them runs.
pub(crate) struct Server {
    pub(crate) context: Rc<UpgradeContext>,
    pub(crate) replicas: Rc<RefCell<ReplicaPool>>,
    pub(crate) router: Router,
    pub(crate) client_resources: ClientResources,
    pub(crate) schedule: ShutdownSchedule,
    pub(crate) stall_detector: Arc<StallDetector>,
    pub(crate) shutdown_requested: ShutdownRequest,
    pub(crate) is_draining: watch::Receiver<bool>,
    pub(crate) http_events: UnboundedReceiver<HttpEvent>,
    pub(crate) acceptor_commands: UnboundedReceiver<AcceptorCommand>,
    pub(crate) discovery_address: watch::Sender<String>,
    pub(crate) tick: TimeSpan,
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
}

impl Server {
    /// `processes`: number of processes of this program that share the memory limit.
    pub(crate) fn new(
        clock: &Clock,
        config: &NodeConfig<EnvVariable>,
        processes: usize,
    ) -> Result<Server, ConfigError> {
        let plan = MemoryPlan::of(config.memory_limit()?, processes);
        let parts = EventLoopParts::new(clock, config, &plan)?;
        let ((http_sender, http_events), (acceptor, acceptor_commands)) =
            (unbounded_channel(), unbounded_channel());
        let ((shutdown, shutdown_requested), (draining, is_draining)) =
            (watch::channel(None), watch::channel(false));
        let max_deadline = config.max_deadline()?;
        let schedule = ShutdownSchedule::of(max_deadline);
        let http_state = parts.http_state(
            clock,
            config,
            http_sender,
            (shutdown_requested.clone(), schedule.last_answer),
        )?;
        let EventLoopParts { event_loop, replicas, client_resources, initial_list } = parts;
        let (discovery_address, addresses) = watch::channel(config.discovery()?);
        let (tick, name, listen) = (config.tick_interval()?, config.name()?, config.listen()?);
        let held_revision = SharedRevision::default();
        let context = Rc::new(UpgradeContext {
            relay: Relay::new(event_loop.clone()),
            start_discovery: discovery_starter(config, &event_loop, addresses, &held_revision)?,
            event_loop,
            acceptor,
            client_connections: client_resources.permits.clone(),
            revision: held_revision,
            initial_list: Cell::new(Some(initial_list)),
            tickets: http_state.tickets.clone(),
            classes: http_state.classes.clone(),
            keyed_idempotency: http_state.keyed_idempotency.clone(),
            shards: config.shards()?,
            max_deadline,
            shutdown,
            draining: Rc::new(draining),
        });
        Ok(Server {
            context,
            replicas,
            stall_detector: http_state.stall_detector.clone(),
            router: http::router(http_state),
            client_resources,
            schedule,
            shutdown_requested,
            is_draining,
            http_events,
            acceptor_commands,
            discovery_address,
            tick,
            name,
            listen,
        })
    }
}

/// The event loop with its exchange, the connections to replicas, what clients may use, and the initial endpoint list.
struct EventLoopParts {
    event_loop: Rc<EventLoop>,
    replicas: Rc<RefCell<ReplicaPool>>,
    client_resources: ClientResources,
    initial_list: EndpointList,
}

impl EventLoopParts {
    fn new(
        clock: &Clock,
        config: &NodeConfig<EnvVariable>,
        plan: &MemoryPlan,
    ) -> Result<EventLoopParts, ConfigError> {
        let counters = Counters::default();
        let exchange = config.exchange(counters.clone())?;
        let initial_list = config.initial_endpoints(clock)?;
        let connections = config.connection_limit()?.min(plan.connections);
        let (for_replicas, permits) = ConnectionLimiter::shared(connections);
        let event_loop = EventLoop::new(clock.clone(), counters, for_replicas, exchange);
        let event_loop = Rc::new(event_loop.with_memory_plan(plan));
        let replicas = create_replica_pool(config, &event_loop)?;
        let (memory, shed_retry_after) = (event_loop.memory.clone(), config.shed_retry_after()?);
        let client_resources = ClientResources { permits, memory, shed_retry_after };
        Ok(EventLoopParts { event_loop, replicas, client_resources, initial_list })
    }
}

impl EventLoopParts {
    /// The state of the HTTP service. `shutdown`: receives the shutdown request, and the schedule's last answer.
    fn http_state(
        &self,
        clock: &Clock,
        config: &NodeConfig<EnvVariable>,
        events: UnboundedSender<HttpEvent>,
        shutdown: (ShutdownRequest, TimeSpan),
    ) -> Result<HttpState, ConfigError> {
        let (shutdown_requested, last_answer) = shutdown;
        Ok(HttpState {
            clock: clock.clone(),
            counters: self.event_loop.counters.clone(),
            memory: self.event_loop.memory.clone(),
            shed_retry_after: self.client_resources.shed_retry_after,
            classes: config.classes()?.into(),
            keyed_idempotency: config.keyed_idempotency()?.into(),
            shards: config.shards()?,
            events,
            shutdown_requested,
            last_answer,
            tickets: Arc::new(AtomicU64::new(0)),
            stall_detector: Arc::new(StallDetector::new(clock.now())),
        })
    }
}

fn create_replica_pool(
    config: &NodeConfig<EnvVariable>,
    event_loop: &Rc<EventLoop>,
) -> Result<Rc<RefCell<ReplicaPool>>, ConfigError> {
    let streams = config.streams_per_connection()?;
    Ok(ReplicaPool::new(event_loop.clone(), streams, config.connect_timeout()?, config.idle_timeout()?))
}

/// Returns a function that starts watching the endpoint list.
fn discovery_starter(
    config: &NodeConfig<EnvVariable>,
    event_loop: &Rc<EventLoop>,
    addresses: watch::Receiver<String>,
    revision: &SharedRevision,
) -> Result<Rc<dyn Fn()>, ConfigError> {
    let pacing = config.polls_discovery()?.then_some((config.seed()?, config.coordinator_count()?));
    let (event_loop, revision) = (event_loop.clone(), revision.clone());
    Ok(Rc::new(move || {
        let pacing = pacing.map(|(seed, coordinators)| PollPacing::new(seed, coordinators));
        let watch = client::watch(event_loop.clone(), addresses.clone(), revision.clone(), pacing);
        tokio::task::spawn_local(watch);
    }))
}

pub(crate) fn server_context(
    config: &NodeConfig<EnvVariable>,
    context: &UpgradeContext,
    replicas: Rc<RefCell<ReplicaPool>>,
    (shutdown_requested, draining): (ShutdownRequest, watch::Receiver<bool>),
) -> Result<ServerContext, ConfigError> {
    Ok(ServerContext {
        event_loop: context.event_loop.clone(),
        replicas,
        classes: config.classes()?,
        shards: config.shards()?,
        cells: config.cells()?,
        max_deadline: config.max_deadline()?,
        tickets: context.tickets.clone(),
        draining,
        shutdown_requested,
        zones: config.zones()?,
        priority_weights: config.priority_weights()?,
        revision: context.revision.clone(),
    })
}

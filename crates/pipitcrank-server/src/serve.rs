//! Starts the parts of the server, joins them, and ends in order.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use axum::Router;
use pipitcrank_core::config::ConfigError;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::snapshot::AgedSnapshot;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::watch;

use crate::clients::acceptor::{self, AcceptorCommand};
use crate::clients::http::{self, HttpEvent, HttpState};
use crate::discovery::client::{self, SharedRevision};
use crate::discovery::poll_pacing::PollPacing;
use crate::exchange::{Exchange, ReplicaTransport};
use crate::node_config::NodeConfig;
use crate::reload;
use crate::replicas::pool::ReplicaPool;
use crate::runtime::clock::Clock;
use crate::runtime::connection_limits::ConnectionLimiter;
use crate::runtime::counters::Counters;
use crate::runtime::event_loop::EventLoop;
use crate::runtime::shutdown::{ShutdownRequest, ShutdownSchedule};
use crate::runtime::stall_detector::StallDetector;
use crate::runtime::system_errors::{retry_open_for, retry_open_for_blocking};
pub use crate::server_context::{ServerContext, TransportFactory};
use crate::upgrade::context::{InitialList, UpgradeContext};
use crate::upgrade::relay::{NotRelayed, Relay};
use crate::upgrade::worker;

/// Interval at which stalls of the process are looked for.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// For how long a start waits out errors that may pass, of its configuration file and its address. Nine starts in ten are to
/// serve within 10 s.
const START_TIMEOUT: Duration = Duration::from_secs(8);
/// Exit code of a worker whose supervisor's link broke.
const EXIT_LINK_BROKEN: i32 = 3;

/// The node configuration's file.
pub struct NodeConfigFile {
    /// The path that `NODE_CONFIG` names.
    pub path: String,
    /// What is in it.
    pub text: String,
}

/// Why the node configuration's file can't be read.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigFileError {
    /// The variable is not set, or is no text.
    #[error("NODE_CONFIG: {0}")]
    Variable(#[from] std::env::VarError),
    /// The file can't be read.
    #[error("NODE_CONFIG: {path}: {error}")]
    Unreadable {
        /// The path.
        path: String,
        /// What reading it ended with.
        error: io::Error,
    },
}

/// Why the server could not start.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Signals can't be received.
    #[error("{0}")]
    Signals(io::Error),
    /// The node configuration's file can't be read.
    #[error("{0}")]
    ConfigFile(#[from] NodeConfigFileError),
    /// A key of the node configuration is faulty.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The address can't be listened on.
    #[error("/listen: {0}")]
    Listen(io::Error),
}

/// Reads the file that `NODE_CONFIG` names. It blocks, so it is called before anything else runs.
pub fn node_config_file() -> Result<NodeConfigFile, NodeConfigFileError> {
    let path = std::env::var("NODE_CONFIG")?;
    match retry_open_for_blocking(START_TIMEOUT, || std::fs::read_to_string(&path)) {
        Ok(text) => Ok(NodeConfigFile { path, text }),
        Err(error) => Err(NodeConfigFileError::Unreadable { path, error }),
    }
}

struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> io::Result<Signals> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

/// Serves until shutdown is requested and done, or until all has been handed over to another process.
///
/// `supervisor`: the link to the upgrade supervisor, where there is one; the listener then comes from it. `stored`: what a
/// process before this one knew.
pub async fn serve(
    clock: Clock,
    supervisor: Option<StdStream>,
    transport_factory: Option<TransportFactory>,
    stored: Option<AgedSnapshot>,
) -> Result<(), ServeError> {
    // Before all else: without a handler a signal ends the process, and what has connected meanwhile gets no answer.
    let Signals { hangup, terminate, interrupt } = Signals::install().map_err(ServeError::Signals)?;
    let file = node_config_file()?;
    let config = NodeConfig::parse(&file.text, env_variable as EnvVariable)?;
    let server = Server::new(&clock, &config)?;
    let (context, shutdown_requested) = (&server.context, &server.shutdown_requested);
    let (event_loop, counters) = (context.event_loop.clone(), context.event_loop.counters.clone());
    let reload =
        reload::run(hangup, file.path.into(), clock.clone(), counters.clone(), server.discovery_address);
    tokio::task::spawn_local(reload);
    match supervisor {
        None => start_alone(context, stored, &server.name, server.listen).await?,
        Some(supervisor) => {
            tokio::task::spawn_local(run_worker(context.clone(), supervisor));
            tracing::info!("{} is checked and waits for the upgrade supervisor", server.name);
        }
    }
    tokio::task::spawn_local(request_shutdown_on_signal(context.clone(), terminate, interrupt));
    let (requested, last_answer) = (shutdown_requested.clone(), server.schedule.last_answer);
    tokio::task::spawn_local(cap_deadlines_at_shutdown(event_loop.clone(), requested, last_answer));
    tokio::task::spawn_local(dispatch_http_events(
        event_loop.clone(),
        context.relay.clone(),
        server.http_events,
    ));
    let transport: Rc<RefCell<dyn ReplicaTransport>> = match transport_factory {
        None => server.replicas,
        Some(make_transport) => {
            let receivers = (shutdown_requested.clone(), server.is_draining);
            make_transport(server_context(&config, context, server.replicas, receivers)?)
        }
    };
    tokio::task::spawn_local(check_for_stalls(clock, server.stall_detector));
    let is_drained = || event_loop.read(Exchange::is_drained) && context.relay.is_empty();
    let accepting = acceptor::run(
        server.acceptor_commands,
        server.router,
        context.client_connections.clone(),
        counters.clone(),
        server.schedule,
        shutdown_requested.clone(),
        is_drained,
    );
    tokio::select! {
        () = event_loop.run(server.tick, &transport) => {}
        () = accepting => {}
    }
    tracing::info!("counters at exit:\n{}", counters.show());
    Ok(())
}

type EnvVariable = fn(&str) -> Option<String>;

fn env_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// What the node configuration makes, before anything runs.
struct Server {
    context: Rc<UpgradeContext>,
    replicas: Rc<RefCell<ReplicaPool>>,
    router: Router,
    schedule: ShutdownSchedule,
    stall_detector: Arc<StallDetector>,
    shutdown_requested: ShutdownRequest,
    is_draining: watch::Receiver<bool>,
    http_events: UnboundedReceiver<HttpEvent>,
    acceptor_commands: UnboundedReceiver<AcceptorCommand>,
    discovery_address: watch::Sender<String>,
    tick: TimeSpan,
    name: String,
    listen: SocketAddr,
}

impl Server {
    fn new(clock: &Clock, config: &NodeConfig<EnvVariable>) -> Result<Server, ConfigError> {
        let counters = Counters::default();
        let exchange = config.exchange(counters.clone())?;
        let (revision, endpoints) = config.initial_endpoints(clock)?;
        let initial_list = InitialList { revision, endpoints };
        let (for_replicas, client_connections) = ConnectionLimiter::shared(config.connection_limit()?);
        let event_loop = Rc::new(EventLoop::new(clock.clone(), counters, for_replicas, exchange));
        let replicas = ReplicaPool::new(
            event_loop.clone(),
            config.streams_per_connection()?,
            config.connect_timeout()?,
            config.idle_timeout()?,
        );
        let (http_sender, http_events) = unbounded_channel();
        let (shutdown, shutdown_requested) = watch::channel(None);
        let (draining, is_draining) = watch::channel(false);
        let (acceptor, acceptor_commands) = unbounded_channel();
        let tickets = Arc::new(AtomicU64::new(0));
        let classes = config.classes()?;
        let class_count = classes.len();
        let max_deadline = config.max_deadline()?;
        let schedule = ShutdownSchedule::of(max_deadline);
        let stall_detector = Arc::new(StallDetector::new(clock.now()));
        let router = http::router(HttpState {
            clock: clock.clone(),
            counters: event_loop.counters.clone(),
            classes: classes.into(),
            keyed_idempotency: config.keyed_idempotency()?.into(),
            shards: config.shards()?,
            events: http_sender,
            shutdown_requested: shutdown_requested.clone(),
            last_answer: schedule.last_answer,
            tickets: tickets.clone(),
            stall_detector: stall_detector.clone(),
        });
        let (discovery_address, addresses) = watch::channel(config.discovery()?);
        let (tick, name, listen) = (config.tick_interval()?, config.name()?, config.listen()?);
        let held_revision = SharedRevision::default();
        let context = Rc::new(UpgradeContext {
            relay: Relay::new(event_loop.clone()),
            start_discovery: discovery_starter(config, &event_loop, addresses, &held_revision)?,
            event_loop,
            acceptor,
            client_connections,
            revision: held_revision,
            initial_list: Cell::new(Some(initial_list)),
            tickets,
            class_count,
            shards: config.shards()?,
            max_deadline,
            shutdown,
            draining: Rc::new(draining),
        });
        Ok(Server {
            context,
            replicas,
            router,
            schedule,
            stall_detector,
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

/// Starts the watch of the endpoint list each time it is called.
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

fn server_context(
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

/// Loads what is known and accepts clients; there is no supervisor.
async fn start_alone(
    context: &UpgradeContext,
    stored: Option<AgedSnapshot>,
    name: &str,
    listen: SocketAddr,
) -> Result<(), ServeError> {
    load_initial_state(context, stored);
    (context.start_discovery)();
    let listener = retry_open_for(START_TIMEOUT, || TcpListener::bind(listen)).await;
    let listener = listener.map_err(ServeError::Listen)?;
    let _ = context.acceptor.send(AcceptorCommand::Accept(listener));
    tracing::info!("{name} serves at {listen}");
    Ok(())
}

/// Loads the node configuration's endpoint list, and what a process before this one knew.
fn load_initial_state(context: &UpgradeContext, stored: Option<AgedSnapshot>) {
    let Some(InitialList { revision, endpoints }) = context.initial_list.take() else { return };
    let (event_loop, clock) = (&context.event_loop, &context.event_loop.clock);
    context.revision.set(Some(revision));
    event_loop.update(|e| e.update_endpoints(clock.now(), true, endpoints));
    if let Some(AgedSnapshot { age, snapshot }) = stored {
        let later = snapshot.revision.filter(|&stored| stored > revision);
        let use_list = later.is_some();
        context.revision.set(Some(later.unwrap_or(revision)));
        let (replicas, age_s) = (snapshot.replicas.len(), age.as_secs_f64());
        tracing::info!(replicas, its_list = use_list, age_s, "goes on from what is stored");
        event_loop.update(|e| e.restore(clock.now(), age, use_list, snapshot));
    }
}

async fn run_worker(context: Rc<UpgradeContext>, supervisor: StdStream) {
    if let Err(error) = worker::run(context, supervisor).await {
        // The supervisor sees the link end, and this process.
        tracing::error!("the upgrade supervisor's link broke: {error}");
        std::process::exit(EXIT_LINK_BROKEN);
    }
}

async fn request_shutdown_on_signal(
    context: Rc<UpgradeContext>,
    mut terminate: Signal,
    mut interrupt: Signal,
) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    context.shutdown.send_replace(Some(context.event_loop.clock.now()));
    context.draining.send_replace(true);
    // Kept: a closed channel would read as a second request.
    std::future::pending::<()>().await;
}

/// Queries open when shutdown is requested are answered before the kill, as those are that come later.
async fn cap_deadlines_at_shutdown(
    event_loop: Rc<EventLoop>,
    mut shutdown_requested: ShutdownRequest,
    last_answer: TimeSpan,
) {
    let requested = shutdown_requested.wait_for(Option::is_some).await.map(|at| *at);
    if let Ok(Some(at)) = requested {
        event_loop.update(|e| e.cap_deadlines(at + last_answer));
    }
}

async fn check_for_stalls(clock: Clock, stall_detector: Arc<StallDetector>) {
    loop {
        stall_detector.tick(clock.now());
        clock.sample_wall_clock();
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
    }
}

/// Hands the HTTP service's events to the exchange, or to the successor.
async fn dispatch_http_events(
    event_loop: Rc<EventLoop>,
    relay: Relay,
    mut events: UnboundedReceiver<HttpEvent>,
) {
    while let Some(event) = events.recv().await {
        match event {
            HttpEvent::Query { ticket, request, response } => {
                if let Err(NotRelayed { request, response }) = relay.relay(ticket, request, response) {
                    event_loop.update(|e| e.submit(ticket, request, Box::new(response)));
                }
            }
            HttpEvent::ClientDisconnected { ticket } => {
                if !relay.client_disconnected(ticket) {
                    event_loop.update(|e| e.client_disconnected(ticket));
                }
            }
            HttpEvent::CanServe { answer } => {
                let _ = answer.send(event_loop.read(Exchange::can_serve));
            }
        }
    }
}

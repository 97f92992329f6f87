//! Starts the parts of the server, connects them, and shuts them down gracefully.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::snapshot::AgedSnapshot;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::clients::acceptor::{self, AcceptorCommand};
use crate::clients::http::HttpEvent;
use crate::discovery::endpoint_update::EndpointList;
use crate::exchange::{Exchange, ReplicaTransport};
use crate::node_config::NodeConfig;
use crate::reload;
use crate::runtime::clock::Clock;
use crate::runtime::event_loop::EventLoop;
use crate::runtime::listener;
use crate::runtime::memory_usage;
use crate::runtime::shutdown::ShutdownRequest;
use crate::runtime::stall_detector::StallDetector;
use crate::runtime::system_errors::retry_open_for;
pub use crate::server_context::{ServerContext, TransportFactory};
use crate::server_parts::{EnvVariable, Server, env_variable, server_context};
use crate::start_error::START_TIMEOUT;
pub use crate::start_error::{NodeConfigFile, NodeConfigFileError, ServeError, node_config_file};
use crate::upgrade::context::UpgradeContext;
use crate::upgrade::relay::{NotRelayed, Relay};
use crate::upgrade::worker;

/// Interval of the checks for stalls of the process.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Exit code of a worker whose link to the supervisor failed.
const EXIT_LINK_BROKEN: i32 = 3;
/// Processes of this program that exist during an upgrade: the supervisor and two workers.
const SUPERVISED_PROCESSES: usize = 3;

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

/// Serves until a requested shutdown is complete, or until all work has been handed over to another process.
///
/// `supervisor` is the link to the upgrade supervisor, if there is one; it then also provides the listener. `stored` is the
/// state stored by an earlier process.
pub async fn serve(
    clock: Clock,
    supervisor: Option<StdStream>,
    transport_factory: Option<TransportFactory>,
    stored: Option<AgedSnapshot>,
) -> Result<(), ServeError> {
    // Installed first: without a handler a signal kills the process, and clients connected by then get no response.
    let Signals { hangup, terminate, interrupt } = Signals::install().map_err(ServeError::Signals)?;
    let file = node_config_file()?;
    let config = NodeConfig::parse(&file.text, env_variable as EnvVariable)?;
    let processes = if supervisor.is_some() { SUPERVISED_PROCESSES } else { 1 };
    let server = Server::new(&clock, &config, processes)?;
    let (context, shutdown_requested) = (&server.context, &server.shutdown_requested);
    let (event_loop, counters) = (context.event_loop.clone(), context.event_loop.counters.clone());
    let reload =
        reload::run(hangup, file.path.into(), clock.clone(), counters.clone(), server.discovery_address);
    tokio::task::spawn_local(reload);
    match supervisor {
        None => start_alone(context, stored, &server.name, server.listen).await?,
        Some(supervisor) => {
            tokio::task::spawn_local(run_worker(context.clone(), supervisor));
            tracing::info!("{}: configuration checked, waiting for the upgrade supervisor", server.name);
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
    let memory = event_loop.memory.clone();
    tokio::task::spawn_local(memory_usage::watch(counters.clone(), memory, config.memory_limit()?));
    let is_drained = || event_loop.read(Exchange::is_drained) && context.relay.is_empty();
    let accepting = acceptor::run(
        server.acceptor_commands,
        server.router,
        server.client_resources,
        counters.clone(),
        server.schedule,
        shutdown_requested.clone(),
        is_drained,
    );
    tokio::select! {
        () = event_loop.run(server.tick, &transport) => {}
        () = accepting => {}
    }
    memory_usage::count(&counters, &event_loop.memory);
    tracing::info!("counters at exit:\n{}", counters.render());
    Ok(())
}

/// Loads the initial state and starts accepting clients, without a supervisor.
async fn start_alone(
    context: &UpgradeContext,
    stored: Option<AgedSnapshot>,
    name: &str,
    listen: SocketAddr,
) -> Result<(), ServeError> {
    load_initial_state(context, stored);
    (context.start_discovery)();
    let listener = retry_open_for(START_TIMEOUT, async || listener::listen(listen)).await;
    let listener = listener.map_err(ServeError::Listen)?;
    let _ = context.acceptor.send(AcceptorCommand::Accept(listener));
    tracing::info!("{name} listening on {listen}");
    Ok(())
}

/// Loads the node configuration's endpoint list and the state stored by an earlier process.
fn load_initial_state(context: &UpgradeContext, stored: Option<AgedSnapshot>) {
    let Some(EndpointList { revision, endpoints }) = context.initial_list.take() else { return };
    let (event_loop, clock) = (&context.event_loop, &context.event_loop.clock);
    context.revision.set(Some(revision));
    event_loop.update(|e| e.update_endpoints(clock.now(), true, endpoints));
    if let Some(AgedSnapshot { age, snapshot }) = stored {
        let newer = snapshot.revision.filter(|&stored| stored > revision);
        let use_list = newer.is_some();
        context.revision.set(Some(newer.unwrap_or(revision)));
        let (replicas, age_s) = (snapshot.replicas.len(), age.as_secs_f64());
        tracing::info!(replicas, its_list = use_list, age_s, "restoring the state of an earlier process");
        event_loop.update(|e| e.restore(clock.now(), age, use_list, snapshot));
    }
}

async fn run_worker(context: Rc<UpgradeContext>, supervisor: StdStream) {
    if let Err(error) = worker::run(context, supervisor).await {
        // The supervisor detects the closed link and the exit.
        tracing::error!("link to the upgrade supervisor failed, exiting: {error}");
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
    // Never returns, so that the shutdown channel stays open; a closed channel would count as a second request.
    std::future::pending::<()>().await;
}

/// Caps the deadlines of queries open at the shutdown request, so that they are answered before the process is killed.
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

/// Dispatches the HTTP service's events to the exchange or the successor.
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

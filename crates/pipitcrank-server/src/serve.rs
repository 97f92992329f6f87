//! Starts the parts of the server, joins them, and ends in order.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pipitcrank_core::time::TimeSpan;
use pipitcrank_handover::snapshot::AgedSnapshot;
use tokio::net::TcpListener;
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

/// Interval at which stalls of the process are looked for.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Exit code of a worker whose supervisor's link broke.
const EXIT_LINK_BROKEN: i32 = 3;

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
    tracing::info!("counters at exit:\n{}", counters.render());
    Ok(())
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
    let Some(EndpointList { revision, endpoints }) = context.initial_list.take() else { return };
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

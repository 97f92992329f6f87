//! The co-ordinator on sockets: starts what it is made of, joins it, and ends in order.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::os::unix::net::UnixStream as StdStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use pipitcrank_core::coordinator::zones::ZoneId;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::snapshot::Snapshot;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
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
use crate::runtime::shutdown::ShutdownSchedule;
use crate::runtime::stall_detector::StallDetector;
use crate::runtime::system_errors::{retry_open_for, retry_open_for_blocking};
use crate::upgrade::relay::Relay;
use crate::upgrade::worker::{FirstList, Worker};

/// How often it looks whether it stood still.
const LOOK: std::time::Duration = std::time::Duration::from_millis(50);

/// A start waits so long for what fails for a while: its configuration, its address. Nine in ten are to serve within 10 s.
const START_LIMIT: std::time::Duration = std::time::Duration::from_secs(8);

/// The file that `NODE_CONFIG` names, and its text; before anything else runs, so it may wait.
pub fn node_config_text() -> Result<(String, String), String> {
    let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
    let text = retry_open_for_blocking(START_LIMIT, || std::fs::read_to_string(&path));
    text.map(|text| (path.clone(), text)).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))
}

/// What stands beside the near replica side is made of.
pub struct ServerContext {
    pub event_loop: Rc<EventLoop>,
    pub replicas: Rc<RefCell<ReplicaPool>>,
    pub classes: Vec<String>,
    pub shards: u32,
    pub cells: u32,
    /// How long a query may be held.
    pub max_deadline: TimeSpan,
    pub tickets: Arc<AtomicU64>,
    /// Whether no new work of others is to be taken: another process takes over, or the end was called.
    pub draining: watch::Receiver<bool>,
    /// When the end was called.
    pub shutdown_requested: watch::Receiver<Option<Timestamp>>,
    /// What the platform says of zones: the own one's place, and all names.
    pub zones: Option<(ZoneId, Vec<String>)>,
    /// Utility of a whole answer, by request class.
    pub priority_weights: Vec<f64>,
    /// Version of discovery's list, where one is held.
    pub revision: SharedRevision,
}

/// What a process before this one knew, and how long ago.
pub type Recalled = Option<(TimeSpan, Snapshot)>;

/// Makes a replica side that also reaches what near replicas are not, such as other sites.
pub type TransportFactory = Box<dyn FnOnce(ServerContext) -> Rc<RefCell<dyn ReplicaTransport>>>;

/// Serves until asked to end, or until all has passed to another process. Under a keeper its link comes along; the
/// listener then is the keeper's.
pub async fn serve(
    clock: Clock,
    keeper: Option<StdStream>,
    beside: Option<TransportFactory>,
    recalled: Recalled,
) -> Result<(), Box<dyn Error>> {
    // Before all else: unheeded, a signal ends the process, and what has connected meanwhile gets no answer.
    let hangups = signal(SignalKind::hangup())?;
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let (path, text) = node_config_text()?;
    let node_config = NodeConfig::parse(&text, |name| std::env::var(name).ok())?;

    let counters = Counters::default();
    let exchange = node_config.exchange(counters.clone())?;
    let (rev, rows) = node_config.initial_endpoints(&clock)?;
    let (for_replicas, for_clients) = ConnectionLimiter::shared(node_config.connection_limit()?);
    let event_loop = Rc::new(EventLoop::new(clock.clone(), counters.clone(), for_replicas, exchange));
    let replicas = ReplicaPool::new(
        event_loop.clone(),
        node_config.streams_per_connection()?,
        node_config.connect_timeout()?,
        node_config.idle_timeout()?,
    );
    let (knocks, knocked) = unbounded_channel();
    let (call_end, end_called) = watch::channel(None);
    let tickets = Arc::new(AtomicU64::new(0));
    let door_tickets = tickets.clone();
    let classes = node_config.classes()?;
    let worker_classes = classes.len();
    let schedule = ShutdownSchedule::of(node_config.max_deadline()?);
    let awake = Arc::new(StallDetector::new(clock.now()));
    let router = http::router(HttpState {
        clock: clock.clone(),
        counters: counters.clone(),
        classes: classes.into(),
        deduplicated: node_config.keyed_idempotency()?.into(),
        shards: node_config.shards()?,
        knocks,
        end_called: end_called.clone(),
        last_answer: schedule.last_answer,
        tickets: tickets.clone(),
        awake: awake.clone(),
    });
    let (move_watch, watched) = watch::channel(node_config.discovery()?);
    let (tick, name, listen) = (node_config.tick_interval()?, node_config.name()?, node_config.listen()?);
    let rev_held = Rc::new(Cell::new(None));
    let (watch_event_loop, watch_rev) = (event_loop.clone(), rev_held.clone());
    let paid =
        node_config.polls_discovery()?.then_some((node_config.seed()?, node_config.coordinator_count()?));
    let list_known = move || {
        let paid = paid.map(|(seed, copies)| PollPacing::new(seed, copies));
        let watch = client::watch(watch_event_loop.clone(), watched.clone(), watch_rev.clone(), paid);
        tokio::task::spawn_local(watch);
    };
    tokio::task::spawn_local(reload::heed(hangups, path.into(), clock.clone(), counters.clone(), move_watch));
    let (leave, leaving) = watch::channel(false);
    let leave = Rc::new(leave);
    let relay = Relay::new(event_loop.clone());
    let (acceptor, ordered) = unbounded_channel();
    let ground_rev = rev_held.clone();
    let ended = call_end.clone();
    match keeper {
        None => {
            rev_held.set(Some(rev));
            event_loop.update(|e| e.update_endpoints(clock.now(), true, rows));
            if let Some((passed, snapshot)) = recalled {
                let later = snapshot.revision.filter(|&theirs| theirs > rev);
                rev_held.set(Some(later.unwrap_or(rev)));
                let replicas = snapshot.replicas.len();
                tracing::info!(
                    replicas,
                    its_list = later.is_some(),
                    age_s = passed.as_secs_f64(),
                    "goes on from what is stored"
                );
                event_loop.update(|e| e.restore(clock.now(), passed, later.is_some(), snapshot));
            }
            list_known();
            let listener = retry_open_for(START_LIMIT, || TcpListener::bind(listen)).await;
            let listener = listener.map_err(|e| format!("/listen: {e}"))?;
            let _ = acceptor.send(AcceptorCommand::Accept(listener));
            tracing::info!("{name} serves at {listen}");
        }
        Some(keeper) => {
            let worker = Rc::new(Worker {
                event_loop: event_loop.clone(),
                relay: relay.clone(),
                acceptor: acceptor.clone(),
                clients: for_clients.clone(),
                rev: rev_held,
                list_known: Rc::new(list_known),
                first_list: Cell::new(Some(FirstList { rev, rows })),
                tickets,
                classes: worker_classes,
                shards: node_config.shards()?,
                longest: node_config.max_deadline()?,
                end_called: call_end.clone(),
                leave: leave.clone(),
            });
            tokio::task::spawn_local(async move {
                if let Err(wrong) = worker.obey(keeper).await {
                    // The keeper sees the link end, and this process.
                    tracing::error!("the keeper's link broke: {wrong}");
                    std::process::exit(3);
                }
            });
            tracing::info!("{name} is checked and waits for the keeper");
        }
    }

    let end_clock = clock.clone();
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        ended.send_replace(Some(end_clock.now()));
        leave.send_replace(true);
        // Kept: a closed channel would read as a second call.
        std::future::pending::<()>().await;
    });
    tokio::task::spawn_local(answer_by_the_end(event_loop.clone(), end_called.clone(), schedule.last_answer));
    tokio::task::spawn_local(hear(event_loop.clone(), relay.clone(), knocked));
    let transport: Rc<RefCell<dyn ReplicaTransport>> = match beside {
        None => replicas,
        Some(beside) => beside(ServerContext {
            event_loop: event_loop.clone(),
            replicas,
            classes: node_config.classes()?,
            shards: node_config.shards()?,
            cells: node_config.cells()?,
            max_deadline: node_config.max_deadline()?,
            tickets: door_tickets,
            draining: leaving,
            shutdown_requested: end_called.clone(),
            zones: node_config.zones()?,
            priority_weights: node_config.priority_weights()?,
            revision: ground_rev,
        }),
    };
    tokio::task::spawn_local(async move {
        loop {
            awake.tick(clock.now());
            clock.sample_wall_clock();
            tokio::time::sleep(LOOK).await;
        }
    });
    let quiet = || event_loop.read(Exchange::is_drained) && relay.quiet();
    tokio::select! {
        () = event_loop.run(tick, &transport) => {}
        () = acceptor::keep(ordered, router, for_clients, counters.clone(), schedule, end_called, quiet) => {}
    }
    tracing::info!("counters at exit:\n{}", counters.show());
    Ok(())
}

/// What is held when the end is called has its answer before the kill, as what comes later has.
async fn answer_by_the_end(
    event_loop: Rc<EventLoop>,
    mut end_called: watch::Receiver<Option<Timestamp>>,
    last_answer: TimeSpan,
) {
    if let Ok(called) = end_called.wait_for(Option::is_some).await.map(|at| *at) {
        called.into_iter().for_each(|at| event_loop.update(|e| e.cap_deadlines(at + last_answer)));
    }
}

/// Hands what the front has to the exchange, or to the process that takes over.
async fn hear(event_loop: Rc<EventLoop>, relay: Relay, mut knocked: UnboundedReceiver<HttpEvent>) {
    while let Some(knock) = knocked.recv().await {
        match knock {
            HttpEvent::Ask(ticket, asked, answer) => {
                let Err((asked, answer)) = relay.ask(ticket, asked, answer) else { continue };
                event_loop.update(|e| {
                    e.submit(ticket, asked, Box::new(answer));
                });
            }
            HttpEvent::Gone(ticket) => {
                if !relay.gone(ticket) {
                    event_loop.update(|e| e.client_disconnected(ticket));
                }
            }
            HttpEvent::Able(answer) => {
                let _ = answer.send(event_loop.read(Exchange::can_serve));
            }
        }
    }
}

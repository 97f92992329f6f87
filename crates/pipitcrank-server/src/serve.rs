//! The co-ordinator on sockets: starts what it is made of, joins it, and ends in order.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::os::unix::net::UnixStream as StdStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Instant;

use pipitcrank_core::coordinator::zones::ZoneId;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::snapshot::Snapshot;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::watch;

use crate::acceptor::{self, Order};
use crate::awake::Awake;
use crate::charter::Charter;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::{self, Paid, Rev};
use crate::exchange::{Exchange, LeafSide};
use crate::front::{self, Door, Knock};
use crate::hall::{Hall, Sockets};
use crate::leaves::Leaves;
use crate::relay::Relay;
use crate::reload;
use crate::shutdown::ShutdownSchedule;
use crate::system_errors::{PAUSE, passes, waited_for};
use crate::worker::{FirstList, Worker};

/// How often it looks whether it stood still.
const LOOK: std::time::Duration = std::time::Duration::from_millis(50);

/// A start waits so long for what fails for a while: its configuration, its address. Nine in ten are to serve within 10 s.
const START_LIMIT: std::time::Duration = std::time::Duration::from_secs(8);

/// The file that `NODE_CONFIG` names, and its text; before anything else runs, so it may wait.
pub fn charter_text() -> Result<(String, String), String> {
    let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
    let until = Instant::now() + START_LIMIT;
    loop {
        match std::fs::read_to_string(&path) {
            Ok(text) => return Ok((path, text)),
            Err(e) if passes(&e) && Instant::now() < until => std::thread::sleep(PAUSE),
            Err(e) => return Err(format!("NODE_CONFIG: {path}: {e}")),
        }
    }
}

/// What stands beside the near leaf side is made of.
pub struct Ground {
    pub hall: Rc<Hall>,
    pub leaves: Rc<RefCell<Leaves>>,
    pub verticals: Vec<String>,
    pub shards: u32,
    pub cells: u32,
    /// How long a query may be held.
    pub longest: TimeSpan,
    pub tickets: Arc<AtomicU64>,
    /// Whether no new work of others is to be taken: another process takes over, or the end was called.
    pub leaving: watch::Receiver<bool>,
    /// When the end was called.
    pub end_called: watch::Receiver<Option<Timestamp>>,
    /// What the platform says of zones: the own one's place, and all names.
    pub zones: Option<(ZoneId, Vec<String>)>,
    /// Utility of a whole answer, by vertical.
    pub utilities: Vec<f64>,
    /// Version of discovery's list, where one is held.
    pub rev: Rev,
}

/// What a process before this one knew, and how long ago.
pub type Recalled = Option<(TimeSpan, Snapshot)>;

/// Makes a leaf side that also reaches what near leaves are not, such as other sites.
pub type Beside = Box<dyn FnOnce(Ground) -> Rc<RefCell<dyn LeafSide>>>;

/// Serves until asked to end, or until all has passed to another process. Under a keeper its link comes along; the
/// listener then is the keeper's.
pub async fn serve(
    clock: Clock,
    keeper: Option<StdStream>,
    beside: Option<Beside>,
    recalled: Recalled,
) -> Result<(), Box<dyn Error>> {
    // Before all else: unheeded, a signal ends the process, and what has connected meanwhile gets no answer.
    let hangups = signal(SignalKind::hangup())?;
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let (path, text) = charter_text()?;
    let charter = Charter::read(&text, |name| std::env::var(name).ok())?;

    let counters = Counters::default();
    let exchange = charter.exchange(counters.clone())?;
    let (rev, rows) = charter.known(&clock)?;
    let (for_leaves, for_clients) = Sockets::shared(charter.sockets()?);
    let hall = Rc::new(Hall::new(clock.clone(), counters.clone(), for_leaves, exchange));
    let leaves = Leaves::new(hall.clone(), charter.streams()?, charter.dial_limit()?, charter.idle_limit()?);
    let (knocks, knocked) = unbounded_channel();
    let (call_end, end_called) = watch::channel(None);
    let tickets = Arc::new(AtomicU64::new(0));
    let door_tickets = tickets.clone();
    let verticals = charter.verticals()?;
    let worker_verticals = verticals.len();
    let schedule = ShutdownSchedule::of(charter.longest()?);
    let awake = Arc::new(Awake::new(clock.now()));
    let router = front::router(Door {
        clock: clock.clone(),
        counters: counters.clone(),
        verticals: verticals.into(),
        deduplicated: charter.deduplicated()?.into(),
        shards: charter.shards()?,
        knocks,
        end_called: end_called.clone(),
        last_answer: schedule.last_answer,
        tickets: tickets.clone(),
        awake: awake.clone(),
    });
    let (move_watch, watched) = watch::channel(charter.discovery()?);
    let (tick, name, listen) = (charter.tick()?, charter.name()?, charter.listen()?);
    let rev_held = Rc::new(Cell::new(None));
    let (watch_hall, watch_rev) = (hall.clone(), rev_held.clone());
    let paid = charter.lists_are_asked_for()?.then_some((charter.seed()?, charter.copies()?));
    let list_known = move || {
        let paid = paid.map(|(seed, copies)| Paid::new(seed, copies));
        let watch = discovery::watch(watch_hall.clone(), watched.clone(), watch_rev.clone(), paid);
        tokio::task::spawn_local(watch);
    };
    tokio::task::spawn_local(reload::heed(hangups, path.into(), clock.clone(), counters.clone(), move_watch));
    let (leave, leaving) = watch::channel(false);
    let leave = Rc::new(leave);
    let relay = Relay::new(hall.clone());
    let (acceptor, ordered) = unbounded_channel();
    let ground_rev = rev_held.clone();
    let ended = call_end.clone();
    match keeper {
        None => {
            rev_held.set(Some(rev));
            hall.tell(|e| e.list(clock.now(), true, rows));
            if let Some((passed, snapshot)) = recalled {
                let later = snapshot.rev.filter(|&theirs| theirs > rev);
                rev_held.set(Some(later.unwrap_or(rev)));
                let leaves = snapshot.leaves.len();
                tracing::info!(
                    leaves,
                    its_list = later.is_some(),
                    age_s = passed.as_secs_f64(),
                    "goes on from what is stored"
                );
                hall.tell(|e| e.recall(clock.now(), passed, later.is_some(), snapshot));
            }
            list_known();
            let listener = waited_for(START_LIMIT, || TcpListener::bind(listen)).await;
            let listener = listener.map_err(|e| format!("/listen: {e}"))?;
            let _ = acceptor.send(Order::Accept(listener));
            tracing::info!("{name} serves at {listen}");
        }
        Some(keeper) => {
            let worker = Rc::new(Worker {
                hall: hall.clone(),
                relay: relay.clone(),
                acceptor: acceptor.clone(),
                clients: for_clients.clone(),
                rev: rev_held,
                list_known: Rc::new(list_known),
                first_list: Cell::new(Some(FirstList { rev, rows })),
                tickets,
                verticals: worker_verticals,
                shards: charter.shards()?,
                longest: charter.longest()?,
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
    tokio::task::spawn_local(answer_by_the_end(hall.clone(), end_called.clone(), schedule.last_answer));
    tokio::task::spawn_local(hear(hall.clone(), relay.clone(), knocked));
    let leaf_side: Rc<RefCell<dyn LeafSide>> = match beside {
        None => leaves,
        Some(beside) => beside(Ground {
            hall: hall.clone(),
            leaves,
            verticals: charter.verticals()?,
            shards: charter.shards()?,
            cells: charter.cells()?,
            longest: charter.longest()?,
            tickets: door_tickets,
            leaving,
            end_called: end_called.clone(),
            zones: charter.zones()?,
            utilities: charter.utilities()?,
            rev: ground_rev,
        }),
    };
    tokio::task::spawn_local(async move {
        loop {
            awake.look(clock.now());
            clock.look_at_wall();
            tokio::time::sleep(LOOK).await;
        }
    });
    let quiet = || hall.ask(Exchange::quiet) && relay.quiet();
    tokio::select! {
        () = hall.take_turns(tick, &leaf_side) => {}
        () = acceptor::keep(ordered, router, for_clients, counters.clone(), schedule, end_called, quiet) => {}
    }
    tracing::info!("counters at exit:\n{}", counters.show());
    Ok(())
}

/// What is held when the end is called has its answer before the kill, as what comes later has.
async fn answer_by_the_end(
    hall: Rc<Hall>,
    mut end_called: watch::Receiver<Option<Timestamp>>,
    last_answer: TimeSpan,
) {
    if let Ok(called) = end_called.wait_for(Option::is_some).await.map(|at| *at) {
        called.into_iter().for_each(|at| hall.tell(|e| e.end_by(at + last_answer)));
    }
}

/// Hands what the front has to the exchange, or to the process that takes over.
async fn hear(hall: Rc<Hall>, relay: Relay, mut knocked: UnboundedReceiver<Knock>) {
    while let Some(knock) = knocked.recv().await {
        match knock {
            Knock::Ask(ticket, asked, answer) => {
                let Err((asked, answer)) = relay.ask(ticket, asked, answer) else { continue };
                hall.tell(|e| {
                    let then = Box::new(move |last| {
                        // Nobody listens where the client left in this very moment.
                        let _ = answer.send(last);
                    });
                    e.asked(ticket, asked, then);
                });
            }
            Knock::Gone(ticket) => {
                if !relay.gone(ticket) {
                    hall.tell(|e| e.client_gone(ticket));
                }
            }
            Knock::Able(answer) => {
                let _ = answer.send(hall.ask(Exchange::able));
            }
        }
    }
}

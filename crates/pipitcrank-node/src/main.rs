//! The co-ordinator on sockets: starts what it is made of, joins it, and ends in order.

use std::error::Error;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use log::LevelFilter;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::watch;

use pipitcrank_node::charter::Charter;
use pipitcrank_node::clock::Clock;
use pipitcrank_node::counters::Counters;
use pipitcrank_node::discovery;
use pipitcrank_node::exchange::Exchange;
use pipitcrank_node::front::{self, Door, Knock};
use pipitcrank_node::gate;
use pipitcrank_node::hall::{Hall, Sockets};
use pipitcrank_node::leaves::Leaves;
use pipitcrank_node::logger::Logger;
use pipitcrank_node::reload;

fn main() {
    let clock = Clock::start();
    let logger = Logger::start(clock, LevelFilter::Info);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map_err(Into::into).and_then(|runtime| {
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, serve(clock))
    });
    if let Err(wrong) = &ended {
        log::error!("{wrong}");
    }
    logger.finish();
    // Nothing is waited for: all that was taken has been answered.
    std::process::exit(if ended.is_ok() { 0 } else { 2 });
}

async fn serve(clock: Clock) -> Result<(), Box<dyn Error>> {
    // Before all else: unheeded, the signal ends the process.
    let hangups = signal(SignalKind::hangup())?;
    let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    let charter = Charter::read(&text, |name| std::env::var(name).ok())?;

    let counters = Counters::default();
    let mut exchange = charter.exchange(counters.clone())?;
    let (rev, known) = charter.known(&clock)?;
    exchange.list(clock.now(), true, known);
    let (for_leaves, for_clients) = charter.sockets()?;
    let (for_leaves, for_clients) = (Sockets::new(for_leaves), Sockets::new(for_clients));
    let hall = Rc::new(Hall::new(clock, counters.clone(), for_leaves, exchange));
    let leaves = Leaves::new(hall.clone(), charter.streams()?, charter.dial_limit()?, charter.idle_limit()?);
    let (knocks, knocked) = unbounded_channel();
    let (call_end, end_called) = watch::channel(None);
    let router = front::router(Door {
        clock,
        counters: counters.clone(),
        verticals: charter.verticals()?.into(),
        shards: charter.shards()?,
        knocks,
        end_called: end_called.clone(),
        tickets: Arc::new(AtomicU64::new(0)),
    });
    let (move_watch, watched) = watch::channel(charter.discovery()?);
    let watch = discovery::watch(hall.clone(), watched, rev, charter.dial_limit()?);
    tokio::task::spawn_local(reload::heed(hangups, path.into(), clock, counters.clone(), move_watch));
    let (tick, name, listen) = (charter.tick()?, charter.name()?, charter.listen()?);
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("/listen: {e}"))?;

    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        call_end.send_replace(Some(clock.now()));
        // Kept: a closed channel would read as a second call.
        std::future::pending::<()>().await;
    });
    tokio::task::spawn_local(watch);
    tokio::task::spawn_local(hear(hall.clone(), knocked));
    let quiet = || hall.ask(Exchange::quiet);
    log::info!("{name} serves at {listen}");
    tokio::select! {
        () = hall.take_turns(tick, &leaves) => {}
        () = gate::keep(listener, router, for_clients, counters.clone(), gate::STAY, end_called, quiet) => {}
    }
    log::info!("counters at exit:\n{}", counters.show());
    Ok(())
}

/// Hands what the front has to the exchange.
async fn hear(hall: Rc<Hall>, mut knocked: UnboundedReceiver<Knock>) {
    while let Some(knock) = knocked.recv().await {
        match knock {
            Knock::Ask(ticket, asked, answer) => hall.tell(|e| {
                let then = Box::new(move |last| {
                    // Nobody listens where the client left in this very moment.
                    let _ = answer.send(last);
                });
                e.asked(ticket, asked, then);
            }),
            Knock::Gone(ticket) => hall.tell(|e| e.client_gone(ticket)),
            Knock::Able(answer) => {
                let _ = answer.send(hall.ask(Exchange::able));
            }
        }
    }
}

//! Client connections: accepting them, and ending them in order after SIGTERM. What happens on one is in `connection.rs`.

use std::rc::Rc;
use std::time::Duration;

use axum::Router;
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::audit::{Rule, violated};
use crate::clients::accept_queue::{AcceptQueue, Accepted, ClosingQueue, Next};
use crate::clients::client_connections::{ClientConnections, ConnectionPhase};
pub use crate::clients::connection::AdoptedConnection;
use crate::clients::connection::{ConnectionMode, serve, turn_away};
use crate::exchange::REQUESTS;
use crate::runtime::clock::duration;
use crate::runtime::connection_limits::{ConnectionLimiter, ConnectionPermit};
use crate::runtime::counters::Counters;
use crate::runtime::shutdown::ShutdownRequest;
use crate::runtime::shutdown::ShutdownSchedule;

/// How often connections are looked over: a tenth of the second that is to spare where one has to end by a time.
const LOOK: Duration = Duration::from_millis(50);
/// Of the places for clients, one in so many is kept free for who comes next.
const SPARE: usize = 8;

/// Clients without a place that are seen off at a time: a descriptor each, of those that no side has.
const NO_PLACE_AT_ONCE: usize = 12;

/// What the acceptor is told from outside.
pub enum AcceptorCommand {
    /// Accept there.
    Accept(TcpListener),
    /// Serve a connection that another process had.
    Adopt(AdoptedConnection),
    /// Accept no more, and pass on each connection as soon as it rests.
    Transfer(UnboundedSender<AdoptedConnection>),
    /// Pass on no more.
    StopTransfer,
    /// All has been passed on.
    Exit,
}

/// What each connection's task is given.
struct ConnectionServer {
    router: Router,
    counters: Counters,
    connections: Rc<ClientConnections>,
    mood: watch::Receiver<ConnectionMode>,
    /// At the end a connection leaves when nothing came on it for so long.
    idle: Duration,
}

impl ConnectionServer {
    /// `waited`: how long a new one may have waited to be accepted.
    fn receive(&self, place: Option<ConnectionPermit>, come: AdoptedConnection, waited: Option<Duration>) {
        let new = waited.is_some();
        self.counters.add("clients", if new { "accepted" } else { "adopted" });
        let (router, counters, mood) = (self.router.clone(), self.counters.clone(), self.mood.clone());
        let idle = self.idle;
        let (connections, connection) = (self.connections.clone(), self.connections.enter(Instant::now()));
        match waited {
            Some(waited) => connection.waited(waited),
            None => connection.goes_on(Instant::now(), come.request_timeout),
        }
        tokio::task::spawn_local(async move {
            let end = serve(come, router, &connection, mood, idle).await;
            counters.add("clients", end.name());
            tracing::debug!(target: REQUESTS, why = end.name(), at = ?connection.doing(), "client's connection ended");
            if end.is_local() && connection.doing() == ConnectionPhase::Open {
                violated(&counters, Rule::ClosedUnanswered, "of a connection", end.name());
            }
            connections.leave(&connection);
            drop(place);
        });
    }

    fn accepted(&self, place: Option<ConnectionPermit>, accepted: Accepted) {
        let Accepted { stream, waited } = accepted;
        let come = AdoptedConnection { stream, read: Bytes::new(), request_timeout: None };
        self.receive(place, come, Some(waited));
    }

    /// Takes what waits in the accept queue as the listening ends; the listener while some may be left. Guards against
    /// clients reset that connected before it closed: more of them than there are places, or than descriptors.
    fn take_the_rest(
        &self,
        queue: ClosingQueue,
        clients: &ConnectionLimiter,
        turned_away: &Rc<()>,
    ) -> Option<ClosingQueue> {
        loop {
            let place = clients.try_acquire();
            if place.is_none() && Rc::strong_count(turned_away) > NO_PLACE_AT_ONCE {
                return Some(queue);
            }
            match queue.next() {
                Next::Client(accepted) => {
                    if place.is_some() {
                        self.accepted(place, accepted);
                        continue;
                    }
                    self.counters.add("clients", "turned_away_at_the_end");
                    let counted = turned_away.clone();
                    tokio::task::spawn_local(async move {
                        turn_away(accepted.stream).await;
                        drop(counted);
                    });
                }
                Next::Empty | Next::Broken => return None,
                Next::Failing => return Some(queue),
            }
        }
    }
}

/// Accepts as ordered. After the end was called and the time to stay has passed, or no listener is left to it, it closes the
/// listener, so that clients are refused and not dropped, answers what has come, and returns when all is quiet:
/// connections that are at nothing by the time of the last answer, the others with their answer.
pub async fn run(
    mut orders: UnboundedReceiver<AcceptorCommand>,
    router: Router,
    clients: ConnectionLimiter,
    counters: Counters,
    schedule: ShutdownSchedule,
    mut shutdown_requested: ShutdownRequest,
    quiet: impl Fn() -> bool,
) {
    let (moods, mood) = watch::channel(ConnectionMode::Stay);
    let (stay, idle, last) = (schedule.stay, schedule.idle, schedule.last_answer);
    let (stay, idle, last) = (duration(stay), duration(idle), duration(last));
    let queue_until = duration(schedule.queue_until);
    let connections = Rc::new(ClientConnections::default());
    let rounds = ConnectionServer { router, counters, connections: connections.clone(), mood, idle };
    let mut listener: Option<AcceptQueue> = None;
    // At the end, until its queue is empty.
    let mut rest: Option<ClosingQueue> = None;
    let turned_away = Rc::new(());
    let mut since: Option<Instant> = None;
    let mut leaving = false;
    let mut looks = tokio::time::interval(LOOK);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        // Without a place the rest waits in the accept queue.
        let place = if listener.is_some() { clients.try_acquire() } else { None };
        tokio::select! {
            accepted = accept(&listener), if place.is_some() => match accepted {
                Ok(accepted) => rounds.accepted(place, accepted),
                Err(e) => {
                    tracing::error!("no longer listening, as the listener broke: {e}");
                    listener = None;
                }
            },
            Some(order) = orders.recv() => match order {
                AcceptorCommand::Accept(new) => {
                    listener = (!leaving).then(|| AcceptQueue::new(new, rounds.counters.clone()));
                    moods.send_if_modified(|m| {
                        let passing = matches!(m, ConnectionMode::Transfer(_));
                        if passing {
                            *m = ConnectionMode::Stay;
                        }
                        passing
                    });
                }
                AcceptorCommand::Adopt(come) => {
                    drop(place);
                    rounds.receive(Some(clients.acquire_adopted()), come, None);
                }
                AcceptorCommand::Transfer(to) => {
                    listener = None;
                    moods.send_if_modified(|m| {
                        *m = ConnectionMode::Transfer(to);
                        true
                    });
                }
                AcceptorCommand::StopTransfer => { moods.send_replace(ConnectionMode::Stay); }
                AcceptorCommand::Exit => return,
            },
            Ok(()) = shutdown_requested.changed(), if since.is_none() => {
                tracing::info!("asked to end");
                since = Some(Instant::now());
            }
            () = more(&clients), if listener.is_some() && place.is_none() => {}
            _ = looks.tick() => {
                drop(place);
                // At the end all that is at nothing gives way.
                let short = if leaving { usize::MAX } else { (clients.limit().div_ceil(SPARE)).saturating_sub(clients.available()) };
                connections.look(Instant::now(), short);
                if since.is_none_or(|s| s.elapsed() < stay) {
                    continue;
                }
                if !leaving {
                    leaving = true;
                    rest = listener.take().and_then(AcceptQueue::close);
                    // Idle connections end now, busy ones with their answer.
                    moods.send_replace(ConnectionMode::Leave);
                }
                let over = since.is_some_and(|s| s.elapsed() >= last);
                let too_late = since.is_some_and(|s| s.elapsed() >= queue_until);
                if let Some(queue) = rest.take() {
                    rest = rounds.take_the_rest(queue, &clients, &turned_away).filter(|_| !too_late);
                    if rest.is_none() {
                        tracing::info!("no longer listening");
                    }
                }
                // Guards against half a request found by the kill: it gets its answer, too.
                if over {
                    connections.end();
                }
                if connections.none() && Rc::strong_count(&turned_away) == 1 && rest.is_none() && quiet() {
                    return;
                }
            }
        }
    }
}

/// Ends when there may be a place again, after asking for one that the replica side does not need.
async fn more(clients: &ConnectionLimiter) {
    let freed = clients.released();
    clients.request_release();
    freed.await;
}

async fn accept(listener: &Option<AcceptQueue>) -> std::io::Result<Accepted> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;

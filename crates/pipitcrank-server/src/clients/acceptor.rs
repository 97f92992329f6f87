//! Accepts client connections, and closes them gracefully at shutdown.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use axum::Router;
use pipitcrank_core::time::TimeSpan;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};

use super::accept_queue::{AcceptQueue, Accepted, ClosingQueue};
use super::client_connections::ClientConnections;
use super::connection::{AdoptedConnection, ConnectionLimits, ConnectionMode};
use super::connection_server::ConnectionServer;
use crate::runtime::clock::duration;
use crate::runtime::connection_limits::{ConnectionLimiter, ConnectionPermit};
use crate::runtime::counter_names::{group, shed};
use crate::runtime::counters::Counters;
use crate::runtime::memory_budget::{MemoryAccount, MemoryBudget};
use crate::runtime::shutdown::{ShutdownRequest, ShutdownSchedule};

/// Interval of the checks for overdue connections: a tenth of the half second of slack that connection deadlines have.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// One in this many client permits is kept free for new connections.
const SPARE_ONE_IN: usize = 8;

/// What client connections may use.
#[derive(Clone)]
pub struct ClientResources {
    /// Limits the open connections.
    pub permits: ConnectionLimiter,
    /// Limits the memory kept for clients.
    pub memory: MemoryBudget,
    /// Retry-after of requests that are shed before they become queries, if the settings allow one.
    pub shed_retry_after: Option<TimeSpan>,
}

/// A command to the acceptor.
pub enum AcceptorCommand {
    /// Accepts connections from this listener.
    Accept(TcpListener),
    /// Serves a connection received from another process.
    Adopt(AdoptedConnection),
    /// Stops accepting, and transfers each connection as soon as no response is pending on it.
    Transfer(UnboundedSender<AdoptedConnection>),
    /// Stops transferring connections.
    StopTransfer,
    /// Ends the acceptor after all connections have been transferred.
    Exit,
}

/// Whether the acceptor continues after an event.
#[derive(PartialEq)]
enum Flow {
    Continue,
    Exit,
}

/// Accepts and serves connections as commanded. After a shutdown request it continues to accept until the schedule's
/// `admit_until`, then closes the listener and serves or rejects the clients left in the accept queue, so that none of them is
/// reset. It returns once everything is drained: inactive connections are closed by the schedule's `last_answer`, all others
/// after their response.
pub async fn run(
    mut commands: UnboundedReceiver<AcceptorCommand>,
    router: Router,
    resources: ClientResources,
    counters: Counters,
    schedule: ShutdownSchedule,
    mut shutdown_requested: ShutdownRequest,
    is_drained: impl Fn() -> bool,
) {
    let mut acceptor = Acceptor::new(router, resources, counters, schedule, is_drained);
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        // While no permit is free, clients wait in the accept queue.
        let permit = if acceptor.listener.is_some() { acceptor.permits.try_acquire() } else { None };
        let flow = tokio::select! {
            accepted = accept(&acceptor.listener), if permit.is_some() => {
                acceptor.handle_accept(permit, accepted);
                Flow::Continue
            }
            Some(command) = commands.recv() => acceptor.handle_command(permit, command),
            Ok(()) = shutdown_requested.changed(), if acceptor.shutdown_since.is_none() => {
                tracing::info!("shutdown requested");
                acceptor.shutdown_since = Some(Instant::now());
                Flow::Continue
            }
            () = permit_released(&acceptor.permits), if acceptor.listener.is_some() && permit.is_none() => {
                Flow::Continue
            }
            _ = checks.tick() => {
                drop(permit);
                acceptor.check()
            }
        };
        if flow == Flow::Exit {
            return;
        }
    }
}

/// Requests a permit from the replica side, and completes when a permit may be available again.
async fn permit_released(permits: &ConnectionLimiter) {
    let released = permits.released();
    permits.request_release();
    released.await;
}

async fn accept(listener: &Option<AcceptQueue>) -> io::Result<Accepted> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

struct Acceptor<F> {
    server: ConnectionServer,
    permits: ConnectionLimiter,
    mode: watch::Sender<ConnectionMode>,
    schedule: ShutdownSchedule,
    is_drained: F,
    listener: Option<AcceptQueue>,
    /// The accept queue of the closed listener; `None` once it has been emptied.
    closing_queue: Option<ClosingQueue>,
    /// Reference count of the clients being rejected: each of them holds a clone.
    rejecting: Rc<()>,
    shutdown_since: Option<Instant>,
    draining: bool,
}

impl<F: Fn() -> bool> Acceptor<F> {
    fn new(
        router: Router,
        resources: ClientResources,
        counters: Counters,
        schedule: ShutdownSchedule,
        is_drained: F,
    ) -> Acceptor<F> {
        let (mode, receiver) = watch::channel(ConnectionMode::Serve);
        let connections = Rc::new(ClientConnections::default());
        let ClientResources { permits, memory, shed_retry_after } = resources;
        let limits = ConnectionLimits { idle: duration(schedule.idle), memory, shed_retry_after };
        Acceptor {
            server: ConnectionServer { router, counters, connections, mode: receiver, limits },
            permits,
            mode,
            schedule,
            is_drained,
            listener: None,
            closing_queue: None,
            rejecting: Rc::new(()),
            shutdown_since: None,
            draining: false,
        }
    }

    fn handle_accept(&mut self, permit: Option<ConnectionPermit>, accepted: io::Result<Accepted>) {
        match accepted {
            Ok(accepted) => self.server.serve_accepted(permit, accepted),
            Err(error) => {
                tracing::error!("listener failed, no more clients are accepted: {error}");
                self.listener = None;
            }
        }
    }

    fn handle_command(&mut self, permit: Option<ConnectionPermit>, command: AcceptorCommand) -> Flow {
        match command {
            AcceptorCommand::Accept(listener) => {
                let counters = self.server.counters.clone();
                self.listener = (!self.draining).then(|| AcceptQueue::new(listener, counters));
                self.mode.send_if_modified(|mode| {
                    let is_transfer = matches!(mode, ConnectionMode::Transfer(_));
                    if is_transfer {
                        *mode = ConnectionMode::Serve;
                    }
                    is_transfer
                });
            }
            AcceptorCommand::Adopt(connection) => {
                drop(permit);
                self.server.serve_adopted(self.permits.acquire_adopted(), connection);
            }
            AcceptorCommand::Transfer(successor) => {
                self.listener = None;
                self.mode.send_modify(|mode| *mode = ConnectionMode::Transfer(successor));
            }
            AcceptorCommand::StopTransfer => {
                self.mode.send_replace(ConnectionMode::Serve);
            }
            AcceptorCommand::Exit => return Flow::Exit,
        }
        Flow::Continue
    }

    /// Whether at least `span` has passed since shutdown was requested.
    fn has_passed(&self, span: TimeSpan) -> bool {
        self.shutdown_since.is_some_and(|since| since.elapsed() >= duration(span))
    }

    /// Closes overdue connections, and further ones while too few permits are free; while draining, closes every connection
    /// that has no pending response. Also advances the shutdown.
    fn check(&mut self) -> Flow {
        let connections = self.server.connections.clone();
        let spare = self.permits.limit().div_ceil(SPARE_ONE_IN);
        let shortage = match self.permits.available() {
            _ if self.draining => usize::MAX,
            0 => self.permits.limit(),
            available => spare.saturating_sub(available),
        };
        // During a shutdown a slow client keeps its time, since it could not connect again.
        let is_exhausted = self.permits.available() == 0 && self.shutdown_since.is_none();
        connections.close_overdue(Instant::now(), shortage, is_exhausted);
        if self.server.limits.memory.is_short(MemoryAccount::Requests) {
            let slow = connections.close_slow_requests(Instant::now());
            self.server.counters.add_many(group::SHED, shed::SLOW_REQUEST, slow as u64);
        }
        if !self.has_passed(self.schedule.admit_until) {
            return Flow::Continue;
        }
        if !self.draining {
            self.draining = true;
            self.closing_queue = self.listener.take().and_then(AcceptQueue::close);
            // Connections with a pending response are closed after it, all others once they have been idle.
            self.mode.send_replace(ConnectionMode::Drain);
        }
        let (past_last_answer, past_queue_deadline) =
            (self.has_passed(self.schedule.last_answer), self.has_passed(self.schedule.accept_queue_until));
        if let Some(queue) = self.closing_queue.take() {
            let rest = self.server.drain_queue(queue, &self.permits, &self.rejecting);
            self.closing_queue = rest.filter(|_| !past_queue_deadline);
            if self.closing_queue.is_none() {
                tracing::info!("listener closed for shutdown");
            }
        }
        // A partial request gets an error response before the process is killed.
        if past_last_answer {
            connections.close_inactive();
        }
        let is_rejecting = Rc::strong_count(&self.rejecting) > 1;
        if connections.is_empty() && !is_rejecting && self.closing_queue.is_none() && (self.is_drained)() {
            return Flow::Exit;
        }
        Flow::Continue
    }
}

#[cfg(test)]
mod tests;

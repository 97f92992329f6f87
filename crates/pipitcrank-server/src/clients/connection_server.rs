//! Spawns one task for each client connection.

use std::rc::Rc;
use std::time::Duration;

use axum::Router;
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::Instant;

use super::accept_queue::{Accepted, ClosingQueue, NextClient};
use super::client_connections::{ClientConnections, ConnectionPhase};
use super::connection::{AdoptedConnection, ConnectionLimits, ConnectionMode, serve};
use super::linger::reject;
use crate::audit::{Rule, violated};
use crate::exchange::REQUEST_LOG_TARGET;
use crate::runtime::connection_limits::{ConnectionLimiter, ConnectionPermit};
use crate::runtime::counter_names::{client, group, shed};
use crate::runtime::counters::Counters;

/// Limit of clients without a permit that are rejected concurrently. Each uses a file descriptor outside the limits of the
/// client and replica sides.
pub(super) const MAX_REJECTING: usize = 12;

/// The state shared by the tasks of all client connections.
pub(super) struct ConnectionServer {
    pub(super) router: Router,
    pub(super) counters: Counters,
    pub(super) connections: Rc<ClientConnections>,
    pub(super) mode: watch::Receiver<ConnectionMode>,
    /// Limits of each connection.
    pub(super) limits: ConnectionLimits,
}

impl ConnectionServer {
    /// Serves a newly accepted connection.
    pub(super) fn serve_accepted(&self, permit: Option<ConnectionPermit>, accepted: Accepted) {
        let Accepted { stream, wait } = accepted;
        let connection = AdoptedConnection { stream, buffered: Bytes::new(), request_timeout: None };
        self.serve(permit, connection, Some(wait));
    }

    /// Serves a connection received from another process.
    pub(super) fn serve_adopted(&self, permit: ConnectionPermit, connection: AdoptedConnection) {
        self.serve(Some(permit), connection, None);
    }

    /// `accept_wait`: upper bound of a new connection's time in the accept queue; `None` for one received from another process.
    fn serve(
        &self,
        permit: Option<ConnectionPermit>,
        adopted: AdoptedConnection,
        accept_wait: Option<Duration>,
    ) {
        let kind = if accept_wait.is_some() { client::ACCEPTED } else { client::ADOPTED };
        self.counters.add(group::CLIENTS, kind);
        let (router, counters, mode) = (self.router.clone(), self.counters.clone(), self.mode.clone());
        let (connections, limits) = (self.connections.clone(), self.limits.clone());
        let connection = connections.add(Instant::now());
        match accept_wait {
            Some(wait) => connection.set_accept_wait(wait),
            None => connection.resume(Instant::now(), adopted.request_timeout),
        }
        tokio::task::spawn_local(async move {
            let end = serve(adopted, router, &connection, mode, limits).await;
            counters.add(group::CLIENTS, end.name());
            let phase = connection.phase();
            counters.add(group::CLIENTS_ENDED, phase.name());
            tracing::debug!(target: REQUEST_LOG_TARGET, why = end.name(), at = ?phase, "client connection ended");
            if connection.is_shed() {
                counters.add(group::SHED, shed::HEAD);
            }
            if end.is_local() && phase == ConnectionPhase::Answering && !connection.is_receiving_body() {
                violated(&counters, Rule::NoCloseUnanswered, "unknown, on a client connection", end.name());
            }
            connections.remove(&connection);
            drop(permit);
        });
    }

    /// Rejects a client without a permit. The task holds a clone of `rejecting`.
    fn reject(&self, accepted: Accepted, rejecting: &Rc<()>) {
        self.counters.add(group::CLIENTS, client::REJECTED_AT_SHUTDOWN);
        let (counted, retry_after) = (rejecting.clone(), self.limits.shed_retry_after);
        tokio::task::spawn_local(async move {
            reject(accepted.stream, retry_after).await;
            drop(counted);
        });
    }

    /// Serves or rejects the clients left in the accept queue of a closing listener; returns the queue if it may not be
    /// empty yet, as there may be more clients than permits or file descriptors. Each client being rejected holds a clone
    /// of `rejecting`.
    pub(super) fn drain_queue(
        &self,
        queue: ClosingQueue,
        permits: &ConnectionLimiter,
        rejecting: &Rc<()>,
    ) -> Option<ClosingQueue> {
        loop {
            let permit = permits.try_acquire();
            if permit.is_none() && Rc::strong_count(rejecting) > MAX_REJECTING {
                return Some(queue);
            }
            match queue.next() {
                NextClient::Accepted(accepted) if permit.is_some() => self.serve_accepted(permit, accepted),
                NextClient::Accepted(accepted) => {
                    self.reject(accepted, rejecting);
                }
                NextClient::Empty | NextClient::Broken => return None,
                NextClient::Failing => return Some(queue),
            }
        }
    }
}

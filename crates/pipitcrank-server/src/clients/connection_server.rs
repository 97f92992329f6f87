//! Starts the tasks of client connections.

use std::rc::Rc;
use std::time::Duration;

use axum::Router;
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::Instant;

use super::accept_queue::{Accepted, ClosingQueue, NextClient};
use super::client_connections::{ClientConnections, ConnectionPhase};
use super::connection::{AdoptedConnection, ConnectionMode, serve};
use super::linger::reject;
use crate::audit::{Rule, violated};
use crate::exchange::REQUEST_LOG_TARGET;
use crate::runtime::connection_limits::{ConnectionLimiter, ConnectionPermit};
use crate::runtime::counter_names::{client, group};
use crate::runtime::counters::Counters;

/// Clients without a permit that are rejected at a time: a descriptor each, of those that neither side has.
pub(super) const MAX_REJECTING: usize = 12;

/// What the task of each connection is given.
pub(super) struct ConnectionServer {
    pub(super) router: Router,
    pub(super) counters: Counters,
    pub(super) connections: Rc<ClientConnections>,
    pub(super) mode: watch::Receiver<ConnectionMode>,
    /// While draining, a connection is closed when nothing came on it for so long.
    pub(super) idle: Duration,
}

impl ConnectionServer {
    /// Serves a connection that was accepted.
    pub(super) fn serve_accepted(&self, permit: Option<ConnectionPermit>, accepted: Accepted) {
        let Accepted { stream, wait } = accepted;
        let connection = AdoptedConnection { stream, read: Bytes::new(), request_timeout: None };
        self.serve(permit, connection, Some(wait));
    }

    /// Serves a connection that another process had.
    pub(super) fn serve_adopted(&self, permit: ConnectionPermit, connection: AdoptedConnection) {
        self.serve(Some(permit), connection, None);
    }

    /// `accept_wait`: for how long a new one may have waited to be accepted.
    fn serve(
        &self,
        permit: Option<ConnectionPermit>,
        adopted: AdoptedConnection,
        accept_wait: Option<Duration>,
    ) {
        let kind = if accept_wait.is_some() { client::ACCEPTED } else { client::ADOPTED };
        self.counters.add(group::CLIENTS, kind);
        let (router, counters, mode) = (self.router.clone(), self.counters.clone(), self.mode.clone());
        let (connections, idle) = (self.connections.clone(), self.idle);
        let connection = connections.add(Instant::now());
        match accept_wait {
            Some(wait) => connection.set_accept_wait(wait),
            None => connection.resume(Instant::now(), adopted.request_timeout),
        }
        tokio::task::spawn_local(async move {
            let end = serve(adopted, router, &connection, mode, idle).await;
            counters.add(group::CLIENTS, end.name());
            let phase = connection.phase();
            tracing::debug!(target: REQUEST_LOG_TARGET, why = end.name(), at = ?phase, "client connection ended");
            if end.is_local() && phase == ConnectionPhase::Answering {
                violated(&counters, Rule::NoCloseUnanswered, "of a connection", end.name());
            }
            connections.remove(&connection);
            drop(permit);
        });
    }

    /// Takes the clients out of a queue whose listener closes; returns it while some may be left. There may be more of them than
    /// permits, or than descriptors; `rejecting` has a clone for each that is being rejected.
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
                    self.counters.add(group::CLIENTS, client::REJECTED_AT_SHUTDOWN);
                    let counted = rejecting.clone();
                    tokio::task::spawn_local(async move {
                        reject(accepted.stream).await;
                        drop(counted);
                    });
                }
                NextClient::Empty | NextClient::Broken => return None,
                NextClient::Failing => return Some(queue),
            }
        }
    }
}

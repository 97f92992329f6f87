//! The pool of connections to replicas, which assigns calls to connections. A connection is reused while it has free
//! streams; a new one is opened only if no other has enough.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use pipitcrank_core::ids::{AttemptOutcome, ReplicaId};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::connection::{self, ClosedConnection, ConnectionTimeouts};
use super::connection_end::ConnectionEnd;
use super::connection_state::{AssignedAttempt, ConnectionCommand, ConnectionState, SendProgress};
use crate::exchange::{AttemptHandle, PartIds, REQUEST_LOG_TARGET, ReplicaTransport};
use crate::runtime::connection_limits::ConnectionPermit;
use crate::runtime::counter_names::{group, replica_connection};
use crate::runtime::event_loop::EventLoop;

/// One replica's connections.
struct ReplicaConnections {
    /// Distinguishes the replica from all others that have had its id.
    generation: u64,
    address: SocketAddr,
    /// Connections that have not ended, including the retired ones, whose attempts can still be cancelled.
    open: Vec<Rc<ConnectionState>>,
}

/// The replica side of the co-ordinator over TCP.
pub struct ReplicaPool {
    event_loop: Rc<EventLoop>,
    this: Weak<RefCell<ReplicaPool>>,
    streams_per_connection: usize,
    timeouts: ConnectionTimeouts,
    /// Connections by replica. An entry is removed when the exchange removes the replica.
    replicas: BTreeMap<ReplicaId, ReplicaConnections>,
    /// Number of uses of connections, from which `last_use` is set.
    uses: u64,
    /// Number of connections opened so far, from which each gets its own number.
    opened: u64,
    /// Number of replicas added so far, from which each gets its generation.
    added: u64,
}

impl ReplicaPool {
    /// Creates a pool without replicas. `streams_per_connection`: maximum number of outstanding parts on one
    /// connection.
    pub fn new(
        event_loop: Rc<EventLoop>,
        streams_per_connection: usize,
        connect_timeout: Duration,
        idle_timeout: Duration,
    ) -> Rc<RefCell<ReplicaPool>> {
        let timeouts = ConnectionTimeouts { connect: connect_timeout, idle: idle_timeout };
        let pool = Rc::new_cyclic(|this| {
            RefCell::new(ReplicaPool {
                event_loop: event_loop.clone(),
                this: this.clone(),
                streams_per_connection,
                timeouts,
                replicas: BTreeMap::new(),
                uses: 0,
                opened: 0,
                added: 0,
            })
        });
        let this = Rc::downgrade(&pool);
        tokio::task::spawn_local(async move {
            loop {
                event_loop.replica_connections.release_requested().await;
                let Some(pool) = this.upgrade() else { return };
                pool.borrow_mut().close_unused();
            }
        });
        pool
    }

    /// Closes the connection that has been unused for longest. Returns false if all connections are in use.
    fn close_unused(&mut self) -> bool {
        let connections = self.replicas.values().flat_map(|replica| &replica.open);
        let unused = connections.filter(|connection| connection.is_unused());
        match unused.min_by_key(|connection| connection.last_use.get()) {
            Some(connection) => connection.retire(),
            None => return false,
        }
        self.event_loop.counters.add(group::REPLICA_CONNECTIONS, replica_connection::RELEASED);
        true
    }

    /// Returns a healthy connection with free streams for the attempts, on which none of their parts was sent before,
    /// and opens one if there is none.
    fn connection(
        &mut self,
        replica: ReplicaId,
        attempts: &[AssignedAttempt],
    ) -> Result<Rc<ConnectionState>, ConnectionEnd> {
        self.uses += 1;
        let connections = self.replicas.get(&replica).ok_or(ConnectionEnd::NotNeeded)?;
        let has_room = |connection: &&Rc<ConnectionState>| {
            let assigned = connection.assigned.borrow().len();
            connection.is_healthy()
                && assigned + attempts.len() <= self.streams_per_connection
                && !attempts.iter().any(|attempt| connection.has_carried(&attempt.part_id))
        };
        if let Some(connection) = connections.open.iter().find(has_room) {
            connection.last_use.set(self.uses);
            return Ok(connection.clone());
        }
        let permit = self.event_loop.replica_connections.try_acquire();
        // At the connection limit an unused connection to another replica is closed. Otherwise this replica would
        // count as unreachable for lack of sockets in this process.
        if permit.is_none() && !self.close_unused() {
            return Err(ConnectionEnd::LimitReached);
        }
        self.open(replica, permit)
    }

    /// Opens a connection. Without a permit it waits for the permit of a connection that closes.
    fn open(
        &mut self,
        replica: ReplicaId,
        permit: Option<ConnectionPermit>,
    ) -> Result<Rc<ConnectionState>, ConnectionEnd> {
        let (sender, commands) = unbounded_channel();
        self.opened += 1;
        let connection = Rc::new(ConnectionState::new(self.opened, replica, sender));
        connection.last_use.set(self.uses);
        let connections = self.replicas.get_mut(&replica).ok_or(ConnectionEnd::NotNeeded)?;
        connections.open.push(connection.clone());
        let address = connections.address;
        let (event_loop, this, timeouts) = (self.event_loop.clone(), self.this.clone(), self.timeouts);
        let state = connection.clone();
        tokio::task::spawn_local(async move {
            let closed = run_with_permit(&event_loop, &state, commands, address, timeouts, permit).await;
            if let Some(pool) = this.upgrade() {
                pool.borrow_mut().connection_closed(&state, closed);
            }
        });
        Ok(connection)
    }

    /// Generation of the replica that has this id now.
    fn generation(&self, replica: ReplicaId) -> Option<u64> {
        self.replicas.get(&replica).map(|replica| replica.generation)
    }

    /// Whether a connection to the replica has received only part of a frame.
    pub fn has_partial_frame(&self, replica: ReplicaId) -> bool {
        let connections = self.replicas.get(&replica);
        connections.is_some_and(|replica| replica.open.iter().any(|c| c.partial_frame.get()))
    }

    /// Assigns the attempts of one call, of which nothing has been written, to a connection.
    fn assign(&mut self, replica: ReplicaId, attempts: Vec<AssignedAttempt>) {
        let handles = attempts.iter().map(|assigned| assigned.attempt).collect();
        match self.connection(replica, &attempts) {
            Ok(connection) => {
                connection.assigned.borrow_mut().extend(attempts);
                // A failed send needs no handling: when the connection's task ends, all assigned attempts end.
                let _ = connection.commands.send(ConnectionCommand::SendCall(handles));
            }
            Err(end) => self.reject(handles, end),
        }
    }

    /// Ends attempts for which there is no connection.
    fn reject(&self, attempts: Vec<AttemptHandle>, end: ConnectionEnd) {
        self.event_loop.counters.add(group::REPLICA_CONNECTIONS, end.name());
        let event_loop = self.event_loop.clone();
        // The report is deferred, since the exchange is processing a batch.
        tokio::task::spawn_local(async move {
            for attempt in attempts {
                let outcome = end.attempt_outcome(false);
                event_loop.update(|e| e.attempt_ended(attempt, outcome, None, None));
            }
        });
    }

    /// Ends all attempts on a connection that has ended. If this side closed it, calls of which nothing was written are
    /// sent on another connection instead.
    fn connection_closed(&mut self, connection: &Rc<ConnectionState>, closed: ClosedConnection) {
        let ClosedConnection { end, unsent } = closed;
        let replica = connection.replica;
        tracing::debug!("connection to replica {} ended with reason {}", replica.0, end.name());
        self.event_loop.counters.add(group::REPLICA_CONNECTIONS, end.name());
        if let Some(connections) = self.replicas.get_mut(&replica) {
            connections.open.retain(|open| !Rc::ptr_eq(open, connection));
        }
        let mut assigned = connection.assigned.take();
        if matches!(end, ConnectionEnd::Idle | ConnectionEnd::NotNeeded) {
            for call in unsent {
                let attempts: Vec<_> = assigned.extract_if(.., |a| call.contains(&a.attempt)).collect();
                if !attempts.is_empty() {
                    self.assign(replica, attempts);
                }
            }
        }
        for AssignedAttempt { attempt, progress, .. } in assigned {
            let outcome = end.attempt_outcome(progress == SendProgress::Written);
            self.event_loop.update(|e| e.attempt_ended(attempt, outcome, None, None));
        }
        // No probe result is reported for a removed replica, since its id may have been reused.
        if connection.probes_pending.get() > 0 && !connection.retired.get() {
            self.event_loop.update(|e| e.load_probe_ended(replica, end.probe_outcome(), None));
        }
    }
}

/// Acquires a permit if none is given, then runs the connection.
async fn run_with_permit(
    event_loop: &Rc<EventLoop>,
    state: &ConnectionState,
    commands: UnboundedReceiver<ConnectionCommand>,
    address: SocketAddr,
    timeouts: ConnectionTimeouts,
    permit: Option<ConnectionPermit>,
) -> ClosedConnection {
    let permit = async {
        match permit {
            Some(permit) => permit,
            None => event_loop.replica_connections.acquire().await,
        }
    };
    let permit = tokio::select! {
        biased;
        () = state.until_retired() => Err(ConnectionEnd::NotNeeded),
        permit = tokio::time::timeout(timeouts.connect, permit) => permit.map_err(|_| ConnectionEnd::LimitReached),
    };
    match permit {
        Ok(_permit) => connection::run(event_loop, state, commands, address, timeouts).await,
        Err(end) => ClosedConnection { end, unsent: connection::unsent_calls(commands) },
    }
}

impl ReplicaTransport for ReplicaPool {
    fn set_address(&mut self, replica: ReplicaId, address: SocketAddr) {
        self.added += 1;
        let new = ReplicaConnections { generation: self.added, address, open: Vec::new() };
        let connections = self.replicas.entry(replica).or_insert(new);
        if connections.address != address {
            connections.address = address;
            connections.open.iter().for_each(|connection| connection.retire());
        }
    }

    fn remove_replica(&mut self, replica: ReplicaId) {
        if let Some(connections) = self.replicas.remove(&replica) {
            connections.open.iter().for_each(|connection| connection.retire());
        }
    }

    fn send_attempts(&mut self, replica: ReplicaId, attempts: Vec<AttemptHandle>, part_ids: &dyn PartIds) {
        let queued = |attempt| AssignedAttempt::queued(attempt, part_ids.part_id(attempt));
        self.assign(replica, attempts.into_iter().map(queued).collect());
    }

    fn cancel_attempt(&mut self, replica: ReplicaId, attempt: AttemptHandle) {
        let Some(connections) = self.replicas.get(&replica) else { return };
        for connection in &connections.open {
            let mut assigned = connection.assigned.borrow_mut();
            let Some(position) = assigned.iter().position(|a| a.attempt == attempt) else { continue };
            let cancelled = assigned.swap_remove(position);
            if cancelled.is_started() {
                let id = cancelled.part_id;
                tracing::debug!(target: REQUEST_LOG_TARGET, part = &*id, attempt = attempt.id.number, generation = attempt.generation, replica = replica.0, connection = connection.number, "attempt cancelled");
                let _ = connection.commands.send(ConnectionCommand::Cancel(id.clone()));
                drop(assigned);
                connection.part_cancelled(&id);
            }
            return;
        }
        tracing::debug!(target: REQUEST_LOG_TARGET, part_index = attempt.id.part.0, attempt = attempt.id.number, generation = attempt.generation, replica = replica.0, "attempt to cancel is on no open connection");
    }

    fn send_load_probe(&mut self, replica: ReplicaId) {
        if let Ok(connection) = self.connection(replica, &[]) {
            connection.probes_pending.set(connection.probes_pending.get() + 1);
            let _ = connection.commands.send(ConnectionCommand::SendLoadProbe);
            return;
        }
        let (event_loop, this, generation) =
            (self.event_loop.clone(), self.this.clone(), self.generation(replica));
        // The report is deferred, since the exchange is processing a batch. The replica may be removed until then, and
        // its id given to another one.
        tokio::task::spawn_local(async move {
            let is_same = this.upgrade().is_some_and(|pool| pool.borrow().generation(replica) == generation);
            if is_same {
                event_loop.update(|e| e.load_probe_ended(replica, AttemptOutcome::Unreachable, None));
            }
        });
    }
}

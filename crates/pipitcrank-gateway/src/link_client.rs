//! Sends parts to other sites over persistent connections. The exchange authorizes each forward before its first byte
//! is written, [`SiteHealth`] decides whether a site may receive forwards, and [`crate::sent_forwards::SentForwards`]
//! determines the outcomes when a connection breaks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pipitcrank_core::ids::ReplicaId;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::{AttemptHandle, PartIds, ReplicaTransport};
use pipitcrank_server::replicas::pool::ReplicaPool;
use pipitcrank_server::runtime::clock::duration;
use pipitcrank_server::serve::ServerContext;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::MissedTickBehavior;

use crate::link_connection::{Connection, OpenConnection};
use crate::link_end::LinkEnd;
use crate::remote_site::{LinkStream, LocalSite, RemoteSite, StreamCommand};
use crate::site_health::{HEARTBEAT_INTERVAL, SiteHealth};

/// Time limit for connecting, including the handshake: many round trips of any usable link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after the first failed attempt to connect. Each further failure doubles the pause, and the stream's number
/// extends it by less than a half, so that streams and sites do not reconnect in step.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum pause between two attempts to connect, without the extension by the stream's number.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(1600);
/// Number of different values that the extension of the pause can have.
const RECONNECT_STAGGER_STEPS: u16 = 4;

/// Sends attempts to local replicas through the replica pool, and to cells of other sites over links.
pub struct LinkClient {
    replicas: Rc<RefCell<ReplicaPool>>,
    /// Site of each replica id that represents a cell of another site.
    remote: BTreeMap<ReplicaId, Rc<RemoteSite>>,
    local: Rc<LocalSite>,
}

/// Configuration of another site.
pub struct PeerSite {
    /// Name of the site.
    pub name: String,
    /// Address on which the site accepts links.
    pub address: SocketAddr,
}

/// Settings of the links to other sites.
pub struct LinkClientConfig {
    /// Name of the local site.
    pub own_site: String,
    /// Distinguishes this process from all other processes of its site.
    pub incarnation: u64,
    /// The other sites.
    pub peers: Vec<PeerSite>,
    /// Number of streams, and so of connections, to each site.
    pub streams_per_site: u16,
    /// Added to the round trip of remote replicas, so that local replicas are preferred.
    pub local_preference: TimeSpan,
}

impl LinkClient {
    /// Starts the tasks that keep the links to all peers connected.
    pub fn start(context: ServerContext, config: LinkClientConfig) -> LinkClient {
        let ServerContext { event_loop, replicas, classes, cells, .. } = context;
        let LinkClientConfig { own_site, incarnation, peers, streams_per_site, local_preference } = config;
        let local = Rc::new(LocalSite { event_loop, name: own_site, incarnation, classes });
        let mut remote = BTreeMap::new();
        for (number, peer) in (0u16..).zip(peers) {
            let health = SiteHealth::new(local_preference);
            let cells =
                local.event_loop.update(|exchange| exchange.add_remote_site(number, &peer.name, cells));
            let site = start_site(&local, number, peer, health, streams_per_site);
            remote.extend(cells.into_iter().map(|replica| (replica, site.clone())));
        }
        LinkClient { replicas, remote, local }
    }
}

fn start_site(
    local: &Rc<LocalSite>,
    number: u16,
    peer: PeerSite,
    health: SiteHealth,
    stream_count: u16,
) -> Rc<RemoteSite> {
    let (streams, queues): (Vec<_>, Vec<_>) = (0..stream_count).map(new_stream).unzip();
    let site = Rc::new(RemoteSite {
        number,
        name: peer.name,
        address: peer.address,
        health: RefCell::new(health),
        streams,
        published_delay: Cell::default(),
    });
    for (stream, commands) in site.streams.iter().zip(queues) {
        tokio::task::spawn_local(keep_connected(local.clone(), site.clone(), stream.clone(), commands));
    }
    tokio::task::spawn_local(monitor(local.clone(), site.clone()));
    site
}

fn new_stream(number: u16) -> (Rc<LinkStream>, UnboundedReceiver<StreamCommand>) {
    let (commands, queue) = unbounded_channel();
    let stream = LinkStream {
        number,
        commands,
        sent: RefCell::default(),
        queued: Cell::default(),
        is_up: Cell::default(),
    };
    (Rc::new(stream), queue)
}

impl ReplicaTransport for LinkClient {
    fn set_address(&mut self, replica: ReplicaId, address: SocketAddr) {
        self.replicas.borrow_mut().set_address(replica, address);
    }

    fn remove_replica(&mut self, replica: ReplicaId) {
        self.replicas.borrow_mut().remove_replica(replica);
    }

    fn send_attempts(&mut self, replica: ReplicaId, attempts: Vec<AttemptHandle>, part_ids: &dyn PartIds) {
        let Some(site) = self.remote.get(&replica) else {
            return self.replicas.borrow_mut().send_attempts(replica, attempts, part_ids);
        };
        let connected_streams = site.streams.iter().filter(|stream| stream.is_up.get());
        match connected_streams.min_by_key(|stream| stream.queued.get() + stream.sent.borrow().outstanding())
        {
            Some(stream) => {
                stream.queued.set(stream.queued.get() + 1);
                // The stream's task receives commands also while its connection is down.
                let _ = stream.commands.send(StreamCommand::Forward { replica, attempts });
            }
            None => {
                let local = self.local.clone();
                // Runs in a separate task, because the exchange can't be updated during its own call of this function.
                tokio::task::spawn_local(async move { local.attempts_never_started(attempts) });
            }
        }
    }

    fn cancel_attempt(&mut self, replica: ReplicaId, attempt: AttemptHandle) {
        let Some(site) = self.remote.get(&replica) else {
            return self.replicas.borrow_mut().cancel_attempt(replica, attempt);
        };
        for stream in &site.streams {
            let cancelled = stream.sent.borrow_mut().cancel(attempt);
            if let Some(cancelled) = cancelled {
                if cancelled.last {
                    let _ = stream.commands.send(StreamCommand::Cancel { number: cancelled.number });
                }
                return;
            }
        }
    }

    fn send_load_probe(&mut self, replica: ReplicaId) {
        // Load probes are sent to local replicas only: remote sites are monitored by heartbeats.
        if !self.remote.contains_key(&replica) {
            self.replicas.borrow_mut().send_load_probe(replica);
        }
    }
}

/// Ends expired forwards and publishes the site's delay once per heartbeat interval.
async fn monitor(local: Rc<LocalSite>, site: Rc<RemoteSite>) {
    let mut heartbeats = tokio::time::interval(duration(HEARTBEAT_INTERVAL));
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        heartbeats.tick().await;
        site.expire_forwards(&local);
        site.publish_delay(&local);
    }
}

/// Keeps a stream connected; never returns.
async fn keep_connected(
    local: Rc<LocalSite>,
    site: Rc<RemoteSite>,
    stream: Rc<LinkStream>,
    mut commands: UnboundedReceiver<StreamCommand>,
) {
    let mut pause = MIN_RECONNECT_PAUSE;
    let mut last_incarnation: Option<u64> = None;
    loop {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, OpenConnection::connect(&local, &site, &stream));
        // Commands received while connecting are rejected: their attempts were never started.
        let connected = tokio::select! {
            connected = connect => connected.unwrap_or(Err(LinkEnd::ConnectTimeout)),
            () = stream.reject_commands(&local, &mut commands) => Err(LinkEnd::CommandsClosed),
        };
        match connected {
            Ok(established) => {
                pause = MIN_RECONNECT_PAUSE;
                let incarnation = established.incarnation;
                let same_process = last_incarnation == Some(incarnation);
                last_incarnation = Some(incarnation);
                run_connection(&local, &site, &stream, established, same_process, &mut commands).await;
            }
            Err(end) => {
                local.event_loop.counters.add("links", end.name());
                tracing::debug!(
                    site = site.name,
                    stream = stream.number,
                    "could not connect to the site: {end}; next attempt after at least {pause:?}"
                );
            }
        }
        let stagger = pause / 2 * u32::from(stream.number % RECONNECT_STAGGER_STEPS)
            / u32::from(RECONNECT_STAGGER_STEPS);
        tokio::select! {
            () = tokio::time::sleep(pause + stagger) => {}
            () = stream.reject_commands(&local, &mut commands) => {}
        }
        pause = (pause * 2).min(MAX_RECONNECT_PAUSE);
    }
}

/// Runs a connection until it ends, then rejects the queued commands and closes the outstanding forwards, except those
/// in doubt that wait for a reconnection.
async fn run_connection(
    local: &LocalSite,
    site: &RemoteSite,
    stream: &LinkStream,
    established: OpenConnection,
    same_process: bool,
    commands: &mut UnboundedReceiver<StreamCommand>,
) {
    local.event_loop.counters.add("links", "opened");
    site.health.borrow_mut().link_up(local.event_loop.clock.now());
    stream.is_up.set(true);
    let end = Connection::new(local, site, stream, established).run(same_process, commands).await;
    stream.is_up.set(false);
    site.health.borrow_mut().link_down();
    tracing::warn!(
        site = site.name,
        stream = stream.number,
        "connection to the site ended: {end}; reconnecting"
    );
    local.event_loop.counters.add("links", end.name());
    while let Ok(command) = commands.try_recv() {
        stream.reject(local, command);
    }
    let closed_forwards = stream.sent.borrow_mut().connection_lost();
    closed_forwards.into_iter().for_each(|closed| site.close_forward(local, closed));
    site.publish_delay(local);
}

//! I/O of failover between zones: sends and receives datagrams on one UDP socket, collects evidence from the
//! exchange, applies routing plans to it, and logs and counts events. The decisions are made in
//! `pipitcrank-failover`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use pipitcrank_config::ZonesConfig;
use pipitcrank_core::coordinator::zones::ZoneId;
use pipitcrank_core::time::Timestamp;
use pipitcrank_failover::controller::{FailoverController, FailoverTiming};
use pipitcrank_failover::follower::{DecisionFollower, RoutingPlan};
use pipitcrank_failover::node::{FailoverNode, FailoverNodeConfig, RestartState};
use pipitcrank_failover::routing_table::{Proximity, shed_fractions};
use pipitcrank_membership::envelope::{MAX_DATAGRAM_BYTES, OutgoingDatagram, derive_key};
use pipitcrank_membership::members::Departure;
use pipitcrank_membership::peer::Peer;
use pipitcrank_server::discovery::client::SharedRevision;
use pipitcrank_server::runtime::event_loop::EventLoop;
use pipitcrank_server::serve::ServerContext;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::clocks::{micros_since_epoch, time_span};
use crate::event_log::EventLog;
use crate::evidence_collector::{EvidenceCollector, probes_needed};
use crate::store_driver::{OpenedStore, StoreDriver, StoreSource, StoredState};
use crate::zone_topology::{ZoneTopology, own_zone, regions};

/// Largest number of datagrams received before timers and store writes are handled again.
const MAX_DATAGRAM_BATCH: usize = 32;
/// Interval between attempts to bind the address while another process of this co-ordinator uses it. Also the pause
/// after a socket error.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Smallest change of a request class's shed fraction that updates the routing. Smaller ones occur with every query.
const MIN_SHED_CHANGE: f64 = 0.02;

/// Prepares failover and returns the future that runs it whenever this process does not drain. The future opens the store
/// only after it has bound the failover address, since until then another process of this co-ordinator uses the store.
///
/// # Errors
/// The zones of the operators' file contradict those of the platform; the error names the key.
pub(crate) fn prepare(
    context: &ServerContext,
    zones: ZonesConfig,
    store: StoreSource,
) -> Result<impl Future<Output = ()> + use<>> {
    let own = own_zone(&zones, context.zones.as_ref())?;
    let topology = ZoneTopology::new(&zones, own);
    context.event_loop.update(|exchange| {
        exchange.set_zone_names(topology.names.clone());
        exchange.set_site_zones(topology.site_zones());
        if !zones.dry_run {
            exchange.set_zone_routing(topology.own_zone_routing());
        }
    });
    let startup = FailoverStartup {
        zones,
        topology: Rc::new(topology),
        store,
        event_loop: context.event_loop.clone(),
        priority_weights: context.priority_weights.clone(),
        revision: context.revision.clone(),
        draining: context.draining.clone(),
        shutdown_requested: context.shutdown_requested.clone(),
    };
    Ok(startup.run())
}

/// State that outlasts the individual sockets and nodes.
struct FailoverStartup {
    zones: ZonesConfig,
    topology: Rc<ZoneTopology>,
    store: StoreSource,
    event_loop: Rc<EventLoop>,
    priority_weights: Vec<f64>,
    revision: SharedRevision,
    draining: watch::Receiver<bool>,
    shutdown_requested: watch::Receiver<Option<Timestamp>>,
}

impl FailoverStartup {
    /// Runs failover until this process drains, and again each time the draining ends because the upgrade was rolled
    /// back. Never returns, but has nothing to do once the process drains for good.
    async fn run(mut self) {
        let mut draining = self.draining.clone();
        let mut known = RestartState::default();
        while draining.wait_for(|draining| !draining).await.is_ok() {
            let Some(socket) = bind_when_free(self.zones.listen, &mut draining).await else { continue };
            let mut driver = self.start(socket, known).await;
            driver.run(&mut draining).await;
            known = self.leave(driver);
        }
    }

    /// Ends the node's membership, and returns what the node knew.
    fn leave(&self, mut driver: FailoverDriver) -> RestartState {
        let is_shutdown = self.shutdown_requested.borrow().is_some();
        let departure = if is_shutdown { Departure::Left } else { Departure::Upgraded };
        let known = driver.node.restart_state();
        let now = driver.event_loop.clock.now();
        driver.node.leave(now, departure);
        driver.publish(now);
        known
    }

    /// `known`: what the node knew before this process last drained.
    async fn start(&mut self, socket: UdpSocket, known: RestartState) -> FailoverDriver {
        let OpenedStore { driver: store, state } = self.store.open(self.draining.clone()).await;
        let now = self.event_loop.clock.now();
        let mut node = new_node(now, &self.zones, self.topology.own);
        if store.is_some() {
            node.require_durable_state();
        }
        restore(now, &mut node, state, known);
        let is_voter = self.zones.voter_slot(self.zones.advertised).is_some();
        let zone = &self.topology.names[self.topology.own];
        tracing::info!(
            zone,
            advertised = %self.zones.advertised,
            voter = is_voter,
            "failover started; joining the other members"
        );
        FailoverDriver {
            socket,
            node,
            store,
            revision: self.revision.clone(),
            event_loop: self.event_loop.clone(),
            is_dry_run: self.zones.dry_run,
            priority_weights: self.priority_weights.clone(),
            event_log: EventLog::new(self.topology.clone()),
            topology: self.topology.clone(),
            evidence: EvidenceCollector::new(now),
            plan: None,
            shed_fractions: Vec::new(),
        }
    }
}

/// Waits until no other process of this co-ordinator uses the address, and binds it; `None` if this process drains
/// before that.
async fn bind_when_free(address: SocketAddr, draining: &mut watch::Receiver<bool>) -> Option<UdpSocket> {
    loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => return Some(socket),
            Err(error) => tracing::debug!("/zones/listen {address} can't be bound yet, retrying: {error}"),
        }
        tokio::select! {
            () = tokio::time::sleep(BIND_RETRY_INTERVAL) => {}
            _ = draining.wait_for(|draining| *draining) => return None,
        }
    }
}

fn new_node(now: Timestamp, zones: &ZonesConfig, own: usize) -> FailoverNode {
    let proximity = Proximity::new(&regions(zones));
    let timing = FailoverTiming {
        suspect_after: time_span(zones.suspect_time),
        hold_down: time_span(zones.hold_down),
        max_hold_down: time_span(zones.hold_down_max),
        hold_down_reset_after: time_span(zones.hold_down_reset),
    };
    let (zone, zone_count) = (own as u16, zones.zones.len());
    let lease = time_span(zones.decision_lease);
    let controller = FailoverController::new(timing, proximity.clone(), zone_count, zones.replica_capacity);
    let follower = DecisionFollower::new(zone, zone_count, proximity, lease, zones.dry_run);
    let config = FailoverNodeConfig {
        own: Peer { address: zones.advertised, instance: micros_since_epoch(), zone },
        key: derive_key(&zones.secret),
        known_nodes: zones.seeds.clone(),
        voters: zones.voters.iter().map(|voter| voter.address).collect(),
        zone_count,
        controller,
        follower,
    };
    FailoverNode::new(now, config)
}

/// Restores the node from the store and from what this process knew before; of two decisions the newer one holds.
fn restore(now: Timestamp, node: &mut FailoverNode, state: StoredState, known: RestartState) {
    let StoredState { mut recovered, voter_state } = state;
    recovered.members.extend(known.members);
    let decisions = recovered.decision.into_iter().chain(known.decision);
    recovered.decision = decisions.max_by_key(|decision| decision.number);
    if let Some(decision) = &recovered.decision {
        let (generation, count) = (decision.number >> 32, decision.number as u32);
        tracing::info!(
            members = recovered.members.len(),
            "restored zone decision {generation}.{count}; older decisions are ignored"
        );
    }
    node.restore(now, recovered.decision, recovered.members, voter_state);
}

struct FailoverDriver {
    socket: UdpSocket,
    node: FailoverNode,
    store: Option<StoreDriver>,
    revision: SharedRevision,
    event_loop: Rc<EventLoop>,
    topology: Rc<ZoneTopology>,
    is_dry_run: bool,
    /// Priority weight of a response, by request class.
    priority_weights: Vec<f64>,
    event_log: EventLog,
    evidence: EvidenceCollector,
    /// The plan last applied to the exchange.
    plan: Option<RoutingPlan>,
    /// The fractions of queries last applied to the exchange for shedding, by request class.
    shed_fractions: Vec<f64>,
}

async fn write_finished(store: &Option<StoreDriver>) {
    match store {
        Some(store) => store.write_finished().await,
        None => std::future::pending().await,
    }
}

impl FailoverDriver {
    async fn run(&mut self, draining: &mut watch::Receiver<bool>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let deadline = self.event_loop.clock.instant(self.node.next_deadline());
            tokio::select! {
                _ = draining.wait_for(|draining| *draining) => return,
                ready = self.socket.readable() => if ready.is_err() {
                    tokio::time::sleep(BIND_RETRY_INTERVAL).await;
                },
                () = write_finished(&self.store) => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
            let now = self.event_loop.clock.now();
            self.receive(now, &mut buffer);
            self.node.tick(now);
            if self.node.take_report_due(now) {
                self.report_evidence(now);
            }
            self.publish(now);
        }
    }

    fn receive(&mut self, now: Timestamp, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAM_BATCH {
            match self.socket.try_recv_from(buffer) {
                Ok((length, _)) => self.node.handle_datagram(now, &buffer[..length]),
                // No datagram is pending, or the error concerns an earlier datagram that had no receiver.
                Err(_) => break,
            }
        }
    }

    fn report_evidence(&mut self, now: Timestamp) {
        let (observed, traffic) = self.event_loop.read(|exchange| exchange.observe_zones(now));
        self.evidence.update(now, &traffic);
        let replica_counts = self.evidence.replica_counts(&self.topology, &observed);
        self.node.report_evidence(now, replica_counts, self.evidence.demand());
        for (zone, observed) in (0u16..).zip(&observed) {
            let is_closed = self.plan.as_ref().is_some_and(|plan| plan.closed_zones.contains(&zone));
            // Only the reporters of a zone probe, since probes from all members would load the replicas.
            if self.node.is_reporter()
                && let Some(count) = probes_needed(observed, is_closed)
            {
                self.event_loop.update(|exchange| exchange.probe_zone(ZoneId(zone), count));
            }
        }
        let counters = &self.event_loop.counters;
        counters.set("zones", "parts_near", traffic.same_zone_parts);
        counters.set("zones", "parts_across", traffic.cross_zone_parts);
    }

    /// Delivers the node's output to the store, the log, the exchange and the other members.
    fn publish(&mut self, now: Timestamp) {
        self.save(now);
        for event in self.node.take_events() {
            self.event_log.record(now, event, &self.event_loop.counters);
        }
        let counters = &self.event_loop.counters;
        counters.set("zones", "older_decisions_left", self.node.stale_decisions());
        counters.set("peers_sent", "bytes", self.node.sent().bytes);
        counters.set("peers_sent", "datagrams", self.node.sent().datagrams);
        self.update_routing(now);
        for OutgoingDatagram { to, bytes } in self.node.take_datagrams() {
            // A datagram that can't be sent immediately is dropped, as if lost on the network.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    fn save(&mut self, now: Timestamp) {
        let Some(store) = &mut self.store else { return };
        if let Some(voter_state) = self.node.take_persistent_state() {
            store.save_voter_state(&voter_state);
        }
        if self.node.awaits_persistence() && store.is_voter_state_saved() {
            self.node.state_persisted(now);
        }
        let restart_state = || self.node.restart_state();
        store.save_last_known_state_if_due(now, &self.event_loop, &self.revision, restart_state);
    }

    fn update_routing(&mut self, now: Timestamp) {
        let plan = self.node.routing_plan(now);
        self.event_loop.counters.set("zones", "decision", plan.decision_number);
        let shed = match plan.shed {
            0 => Vec::new(),
            shed => shed_fractions(shed, &self.evidence.class_loads(&self.priority_weights)),
        };
        let is_changed = |(new, old): (&f64, &f64)| (new - old).abs() > MIN_SHED_CHANGE;
        let shed_changed =
            shed.len() != self.shed_fractions.len() || shed.iter().zip(&self.shed_fractions).any(is_changed);
        if self.plan.as_ref() != Some(&plan) || shed_changed {
            self.apply(&plan, shed.clone());
            (self.plan, self.shed_fractions) = (Some(plan), shed);
        }
    }

    fn apply(&self, plan: &RoutingPlan, shed_fractions: Vec<f64>) {
        if !self.is_dry_run {
            let routing = self.topology.routing(plan, shed_fractions);
            self.event_loop.update(|exchange| exchange.set_zone_routing(routing));
        }
        let fractions = plan.fractions.iter().map(|fraction| {
            let name = &self.topology.names[usize::from(fraction.zone)];
            format!("{name} {:.1} %", f64::from(fraction.permille) / 10.0)
        });
        let fractions: Vec<String> = fractions.collect();
        let (number, shed) = (plan.decision_number, plan.shed);
        tracing::info!(number, shed, "routing plan changed, queries go to zones: {}", fractions.join(", "));
    }
}

//! The simulated system: all nodes, the network between them and the replicas of all zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_failover::node::NodeEvent;
use pipitcrank_failover::routing_table::{Proximity, ZoneFraction};
use pipitcrank_membership::envelope::OutgoingDatagram;
use pipitcrank_membership::evidence::ReplicaCounts;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::decision_log::DecisionLog;
use super::node::{CurrentDecision, RoutingMode, SimulatedNode, address, failover_node, peers};
use super::parameters::{
    DATAGRAM_LOSS, DEMAND_FRACTION, MAX_DELAY, MIN_DEADLINE_DELAY, REPLICA_CAPACITY, REPLICAS_PER_ZONE,
    RETRIED_FRACTION, SATURATED_DELAY_S, START_SPREAD_S, STEP,
};
use crate::event_queue::{EventQueue, SimulationEvent};
use crate::network::{Destination, Network};
use crate::zone_replicas::ZoneReplicas;

/// Outage of a zone.
#[derive(Clone, Copy)]
pub struct Outage {
    pub zone: usize,
    pub started_at: Timestamp,
}

/// Weight of a zone in the division of the demand of a node.
#[derive(Clone, Copy)]
struct ZoneWeight {
    zone: usize,
    weight: f64,
}

/// Division of the demand of a node among zones.
struct Routing {
    weights: Vec<ZoneWeight>,
    /// Fraction of the demand that is shed because no zone has the capacity for it, in thousandths.
    shed: u16,
}

/// Demand and load of a step.
pub struct StepSummary {
    /// Number of parts in the demand.
    pub demand: f64,
    /// Number of parts answered in time.
    pub in_time: f64,
    /// Load of each zone in parts per second.
    pub load: Vec<f64>,
}

/// State of the simulated system in one routing mode.
pub struct World {
    pub queue: EventQueue,
    pub network: Network,
    pub nodes: Vec<SimulatedNode>,
    /// Indices of the nodes by address.
    indices: BTreeMap<SocketAddr, usize>,
    pub zones: Vec<ZoneReplicas>,
    pub outage: Option<Outage>,
    mode: RoutingMode,
    pub decision_log: DecisionLog,
}

impl World {
    pub fn new(nodes: usize, zones: usize, seed: u64, mode: RoutingMode) -> World {
        let mut rng = Pcg64::seed_from_u64(seed);
        let start = Timestamp::default();
        let mut world = World {
            queue: EventQueue::default(),
            network: Network::new(Pcg64::seed_from_u64(seed ^ 1), DATAGRAM_LOSS, MAX_DELAY),
            nodes: Vec::new(),
            indices: (0..nodes).map(|index| (address(index), index)).collect(),
            zones: (0..zones).map(|_| ZoneReplicas::new(REPLICAS_PER_ZONE, REPLICA_CAPACITY)).collect(),
            outage: None,
            mode,
            decision_log: DecisionLog::default(),
        };
        let proximity = Proximity::new(&vec!["r".to_string(); zones]);
        let peers = peers(nodes, zones);
        for (index, own) in peers.iter().enumerate() {
            let failover = (mode == RoutingMode::CommonDecision)
                .then(|| failover_node(start, own, &peers, zones, &proximity));
            world.nodes.push(SimulatedNode::new(own, failover, &mut rng));
            let first = start + TimeSpan::from_secs_f64(rng.random_range(START_SPREAD_S));
            world.queue.schedule(first, SimulationEvent::NodeDeadline(index));
        }
        world.queue.schedule(start, SimulationEvent::Step);
        world
    }

    /// Runs the node if its deadline is due. A deadline that was postponed after it was scheduled is ignored.
    pub fn on_deadline(&mut self, now: Timestamp, node: usize) {
        if self.nodes[node].is_due(now) {
            self.nodes[node].deadline = Some(now);
            self.run_node(now, node, None);
        }
    }

    /// Runs a node at `now`: handles the datagram, if there is one, reports evidence that is due, applies a
    /// new decision, sends the datagrams of the node and schedules its next deadline.
    pub fn run_node(&mut self, now: Timestamp, node: usize, datagram: Option<&[u8]>) {
        let Some(failover) = &mut self.nodes[node].failover else { return };
        let report_due = failover.take_report_due(now);
        let evidence = report_due.then(|| self.replica_counts(now, node));
        let demand = self.demand() / self.nodes.len() as f64;
        let Some(failover) = &mut self.nodes[node].failover else { return };
        if let Some(datagram) = datagram {
            failover.handle_datagram(now, datagram);
        }
        if let Some(evidence) = evidence {
            failover.report_evidence(now, evidence, demand.round() as u32);
        }
        failover.tick(now);
        for event in failover.take_events() {
            if let NodeEvent::Decided(decision) = event {
                self.decision_log.record_decision(now, &decision);
            }
        }
        self.apply_decision(now, node);
        self.send_datagrams(now, node);
        self.schedule_deadline(now, node);
    }

    /// Applies the current decision of the node's failover state, if it has changed.
    fn apply_decision(&mut self, now: Timestamp, node: usize) {
        let count = self.nodes.len();
        let node = &mut self.nodes[node];
        let Some(failover) = &node.failover else { return };
        let decision =
            CurrentDecision { number: failover.decision_number(), status: failover.decision_status() };
        if decision == node.decision {
            return;
        }
        self.decision_log.record_application(now, node.decision.number, decision.number, count);
        node.plan = failover.routing_plan(now);
        node.decision = decision;
    }

    fn send_datagrams(&mut self, now: Timestamp, node: usize) {
        let from = self.nodes[node].zone as u16;
        let Some(failover) = &mut self.nodes[node].failover else { return };
        for OutgoingDatagram { to, bytes } in failover.take_datagrams() {
            let zones = self.zones.len();
            let destination = |&node: &usize| Destination { node, zone: (node % zones) as u16 };
            let to = self.indices.get(&to).map(destination);
            self.network.send(&mut self.queue, now, from, to, bytes);
        }
    }

    fn schedule_deadline(&mut self, now: Timestamp, index: usize) {
        let node = &mut self.nodes[index];
        let Some(failover) = &node.failover else { return };
        let next = failover.next_deadline().max(now + MIN_DEADLINE_DELAY);
        if node.deadline.is_none_or(|deadline| next < deadline || deadline <= now) {
            node.deadline = Some(next);
            self.queue.schedule(next, SimulationEvent::NodeDeadline(index));
        }
    }

    /// Replica counts of each zone as observed by the node.
    fn replica_counts(&self, now: Timestamp, node: usize) -> Vec<ReplicaCounts> {
        let counts = |(zone, replicas): (usize, &ZoneReplicas)| {
            let listed = replicas.count;
            if self.detects_outage(now, node, zone) {
                return ReplicaCounts { listed, unresponsive: listed, ..ReplicaCounts::default() };
            }
            let saturated = if replicas.queue_delay_s(now) > SATURATED_DELAY_S { listed } else { 0 };
            let warming_up = if replicas.is_warming_up(now) { listed } else { 0 };
            let responsive = listed - saturated;
            ReplicaCounts { listed, responsive, saturated, warming_up, ..ReplicaCounts::default() }
        };
        self.zones.iter().enumerate().map(counts).collect()
    }

    /// Demand of all clients in parts per second.
    fn demand(&self) -> f64 {
        self.zones.iter().map(ZoneReplicas::full_capacity).sum::<f64>() * DEMAND_FRACTION
    }

    /// Whether the node has detected an outage of the zone.
    fn detects_outage(&self, now: Timestamp, node: usize, zone: usize) -> bool {
        self.outage.is_some_and(|outage| {
            let outage_s = (now - outage.started_at).as_secs_f64();
            outage.zone == zone && outage_s >= self.nodes[node].detection_delay_s
        })
    }

    /// Converts fractions to weights. The weight of a zone whose outage the node has detected is divided
    /// evenly among the other zones.
    fn weights_without_failed_zone(
        &self,
        now: Timestamp,
        node: usize,
        fractions: &[ZoneFraction],
    ) -> Vec<ZoneWeight> {
        let zones = self.zones.len();
        let mut weights = vec![0.0; zones];
        for fraction in fractions {
            weights[usize::from(fraction.zone)] += f64::from(fraction.permille);
        }
        let has_failed = |&zone: &usize| weights[zone] > 0.0 && self.detects_outage(now, node, zone);
        if let Some(failed) = (0..zones).find(has_failed) {
            let moved = std::mem::take(&mut weights[failed]) / (zones - 1) as f64;
            (0..zones).filter(|zone| *zone != failed).for_each(|zone| weights[zone] += moved);
        }
        weights.into_iter().enumerate().map(|(zone, weight)| ZoneWeight { zone, weight }).collect()
    }

    /// Division of the demand of a node in the current mode.
    fn routing(&mut self, now: Timestamp, node: usize) -> Routing {
        match self.mode {
            RoutingMode::CommonDecision => {
                let plan = &self.nodes[node].plan;
                Routing {
                    weights: self.weights_without_failed_zone(now, node, &plan.fractions),
                    shed: plan.shed,
                }
            }
            RoutingMode::Independent => {
                let own = self.nodes[node].zone;
                let detects_outage = self.detects_outage(now, node, own);
                let sends_to_own = self.nodes[node].sends_to_own_zone(now, detects_outage);
                let zones = (0..self.zones.len()).filter(|&zone| (zone == own) == sends_to_own);
                Routing { weights: zones.map(|zone| ZoneWeight { zone, weight: 1.0 }).collect(), shed: 0 }
            }
            RoutingMode::IgnoreZones => {
                let zones = 0..self.zones.len() as u16;
                let even: Vec<_> = zones.map(|zone| ZoneFraction { zone, permille: 100 }).collect();
                Routing { weights: self.weights_without_failed_zone(now, node, &even), shed: 0 }
            }
        }
    }

    /// Advances the load and the replicas by a step.
    pub fn step(&mut self, now: Timestamp) -> StepSummary {
        let node_demand = self.demand() / self.nodes.len() as f64 * STEP.as_secs_f64();
        let mut parts = vec![0.0; self.zones.len()];
        for node in 0..self.nodes.len() {
            let Routing { weights, shed } = self.routing(now, node);
            let served = node_demand * f64::from(1000 - shed) / 1000.0;
            let total: f64 = weights.iter().map(|zone| zone.weight).sum::<f64>().max(1e-9);
            for ZoneWeight { zone, weight } in weights {
                parts[zone] += served * weight / total;
            }
        }
        let mut in_time = 0.0;
        let mut retried = 0.0;
        for (replicas, &parts) in self.zones.iter_mut().zip(&parts) {
            let outcome = replicas.step(now, parts, STEP);
            in_time += outcome.in_time;
            retried += outcome.unanswered * RETRIED_FRACTION;
        }
        // Retries go to zones with free capacity. They are few, so all of them are counted as answered in
        // time.
        in_time += retried;
        let demand = node_demand * self.nodes.len() as f64;
        let load = parts.iter().map(|parts| parts / STEP.as_secs_f64()).collect();
        StepSummary { demand, in_time: in_time.min(demand), load }
    }
}

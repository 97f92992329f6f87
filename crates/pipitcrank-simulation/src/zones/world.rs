//! All nodes, the network between them, and the replicas of all zones.

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

/// A zone that fails.
#[derive(Clone, Copy)]
pub struct Outage {
    pub zone: usize,
    pub since: Timestamp,
}

/// A zone's weight among those that a node sends to.
#[derive(Clone, Copy)]
struct ZoneWeight {
    zone: usize,
    weight: f64,
}

/// How a node divides its demand.
struct Routing {
    weights: Vec<ZoneWeight>,
    /// Thousandths that no zone can carry.
    shed: u16,
}

/// What became of a step's demand.
pub struct StepSummary {
    /// Parts asked for.
    pub demand: f64,
    /// Parts answered in time.
    pub in_time: f64,
    /// Parts a second sent to each zone.
    pub load: Vec<f64>,
}

pub struct World {
    pub queue: EventQueue,
    pub network: Network,
    pub nodes: Vec<SimulatedNode>,
    indices: BTreeMap<SocketAddr, usize>,
    pub zones: Vec<ZoneReplicas>,
    pub outage: Option<Outage>,
    mode: RoutingMode,
    pub decisions: DecisionLog,
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
            decisions: DecisionLog::default(),
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

    /// The node's deadline has come, if it has not been moved since.
    pub fn on_deadline(&mut self, now: Timestamp, node: usize) {
        if self.nodes[node].is_due(now) {
            self.nodes[node].deadline = Some(now);
            self.run_node(now, node, None);
        }
    }

    /// Gives a node a datagram, if there is one, and its turn; sends what it wants to send.
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
                self.decisions.record_decision(now, &decision);
            }
        }
        self.follow_decision(now, node);
        self.send_datagrams(now, node);
        self.schedule_deadline(now, node);
    }

    /// Has the node act on the decision that it follows now.
    fn follow_decision(&mut self, now: Timestamp, node: usize) {
        let count = self.nodes.len();
        let node = &mut self.nodes[node];
        let Some(failover) = &node.failover else { return };
        let decision =
            CurrentDecision { number: failover.decision_number(), status: failover.decision_status() };
        if decision == node.decision {
            return;
        }
        self.decisions.record_application(now, node.decision.number, decision.number, count);
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

    /// What the node observes of each zone's replicas.
    fn replica_counts(&self, now: Timestamp, node: usize) -> Vec<ReplicaCounts> {
        let counts = |(zone, replicas): (usize, &ZoneReplicas)| {
            let listed = replicas.count;
            if self.notices_silence(now, node, zone) {
                return ReplicaCounts { listed, unresponsive: listed, ..ReplicaCounts::default() };
            }
            let saturated = if replicas.queue_delay_s(now) > SATURATED_DELAY_S { listed } else { 0 };
            let warming_up = if replicas.is_warming_up(now) { listed } else { 0 };
            let responsive = listed - saturated;
            ReplicaCounts { listed, responsive, saturated, warming_up, ..ReplicaCounts::default() }
        };
        self.zones.iter().enumerate().map(counts).collect()
    }

    /// Parts a second of all clients.
    fn demand(&self) -> f64 {
        self.zones.iter().map(ZoneReplicas::full_capacity).sum::<f64>() * DEMAND_FRACTION
    }

    fn notices_silence(&self, now: Timestamp, node: usize, zone: usize) -> bool {
        self.outage.is_some_and(|outage| {
            let silent_for = (now - outage.since).as_secs_f64();
            outage.zone == zone && silent_for >= self.nodes[node].detection_delay_s
        })
    }

    /// The fractions without a zone whose silence the node notices: its part goes to the others, evenly.
    fn without_silent_zone(
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
        let is_silent = |&zone: &usize| weights[zone] > 0.0 && self.notices_silence(now, node, zone);
        if let Some(silent) = (0..zones).find(is_silent) {
            let moved = std::mem::take(&mut weights[silent]) / (zones - 1) as f64;
            (0..zones).filter(|zone| *zone != silent).for_each(|zone| weights[zone] += moved);
        }
        weights.into_iter().enumerate().map(|(zone, weight)| ZoneWeight { zone, weight }).collect()
    }

    fn routing(&mut self, now: Timestamp, node: usize) -> Routing {
        match self.mode {
            RoutingMode::CommonDecision => {
                let plan = &self.nodes[node].plan;
                Routing { weights: self.without_silent_zone(now, node, &plan.fractions), shed: plan.shed }
            }
            RoutingMode::Independent => {
                let own = self.nodes[node].zone;
                let silent = self.notices_silence(now, node, own);
                let home = self.nodes[node].sends_to_own_zone(now, silent);
                let zones = (0..self.zones.len()).filter(|&zone| (zone == own) == home);
                Routing { weights: zones.map(|zone| ZoneWeight { zone, weight: 1.0 }).collect(), shed: 0 }
            }
            RoutingMode::IgnoreZones => {
                let zones = 0..self.zones.len() as u16;
                let even: Vec<_> = zones.map(|zone| ZoneFraction { zone, permille: 100 }).collect();
                Routing { weights: self.without_silent_zone(now, node, &even), shed: 0 }
            }
        }
    }

    /// Advances load and replicas by a step.
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
        // Retries go to zones with free capacity; they are few, and so are in time.
        in_time += retried;
        let demand = node_demand * self.nodes.len() as f64;
        let load = parts.iter().map(|parts| parts / STEP.as_secs_f64()).collect();
        StepSummary { demand, in_time: in_time.min(demand), load }
    }
}

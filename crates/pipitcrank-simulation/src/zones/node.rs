//! Simulated node.

use std::net::SocketAddr;

use pipitcrank_core::time::Timestamp;
use pipitcrank_failover::controller::FailoverController;
use pipitcrank_failover::follower::{DecisionFollower, DecisionStatus, RoutingPlan};
use pipitcrank_failover::node::{FailoverNode, FailoverNodeConfig};
use pipitcrank_failover::routing_table::{Proximity, ZoneFraction};
use pipitcrank_membership::envelope::derive_key;
use pipitcrank_membership::peer::Peer;
use rand::Rng;
use rand_pcg::Pcg64;

use super::parameters::{
    DECISION_HOLD, DETECTION_DELAY_S, FAILOVER_TIMING, MAX_VOTERS, PROBE_DELAY_S, REPLICA_CAPACITY,
    USABLE_CAPACITY,
};

/// Secret from which the nodes derive the key that seals their datagrams.
const SECRET: &str = "the lab's";
/// Incarnation of the first node in microseconds since 1970. The value is arbitrary.
const FIRST_INCARNATION: u64 = 1_700_000_000_000_000;

/// Rule by which nodes choose zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingMode {
    /// All nodes follow the common decision.
    CommonDecision,
    /// Each node follows its own observations and prefers its own zone.
    Independent,
    /// Nodes divide their demand evenly among all zones.
    IgnoreZones,
}

impl RoutingMode {
    /// Name of the mode in the report.
    pub fn name(self) -> &'static str {
        match self {
            RoutingMode::CommonDecision => "common",
            RoutingMode::Independent => "alone",
            RoutingMode::IgnoreZones => "none",
        }
    }
}

/// Number and status of the decision that a node applies.
#[derive(Clone, Copy, PartialEq)]
pub struct CurrentDecision {
    pub number: u64,
    pub status: DecisionStatus,
}

/// A node with its failover state and its current routing.
pub struct SimulatedNode {
    /// Failover node, in the mode [`RoutingMode::CommonDecision`].
    pub failover: Option<FailoverNode>,
    pub zone: usize,
    /// Time in seconds from the start of an outage until the node detects it.
    pub detection_delay_s: f64,
    /// Time in seconds for which the node avoids its own zone before it probes the zone, in the mode
    /// [`RoutingMode::Independent`].
    probe_delay_s: f64,
    /// Time since which the node avoids its own zone, if it does.
    avoided_since: Option<Timestamp>,
    pub plan: RoutingPlan,
    pub decision: CurrentDecision,
    /// Next deadline of the node; `None` before its start.
    pub deadline: Option<Timestamp>,
}

/// Address of the node with this index.
pub fn address(index: usize) -> SocketAddr {
    ([127, 1 + (index >> 16) as u8, (index >> 8) as u8, index as u8], 7000).into()
}

/// The nodes as members of the cluster, assigned to the zones in turn.
pub fn peers(nodes: usize, zones: usize) -> Vec<Peer> {
    let peer = |index| Peer {
        address: address(index),
        instance: FIRST_INCARNATION + index as u64,
        zone: (index % zones) as u16,
    };
    (0..nodes).map(peer).collect()
}

impl SimulatedNode {
    /// Creates a node that sends all its parts to its own zone.
    pub fn new(own: &Peer, failover: Option<FailoverNode>, rng: &mut Pcg64) -> SimulatedNode {
        let own_zone = ZoneFraction { zone: own.zone, permille: 1000 };
        SimulatedNode {
            failover,
            zone: usize::from(own.zone),
            detection_delay_s: rng.random_range(DETECTION_DELAY_S),
            probe_delay_s: rng.random_range(PROBE_DELAY_S),
            avoided_since: None,
            plan: RoutingPlan {
                decision_number: 0,
                fractions: vec![own_zone],
                closed_zones: Vec::new(),
                shed: 0,
            },
            decision: CurrentDecision { number: 0, status: DecisionStatus::NoDecision },
            deadline: None,
        }
    }

    /// Whether the node sends to its own zone now, in the mode [`RoutingMode::Independent`]. The node avoids
    /// the zone once it has detected an outage, and probes the zone after its probe delay.
    pub fn sends_to_own_zone(&mut self, now: Timestamp, detects_outage: bool) -> bool {
        let probing_for = self.avoided_since.map(|since| (now - since).as_secs_f64() - self.probe_delay_s);
        match probing_for {
            None if detects_outage => self.avoided_since = Some(now),
            // The probe has run for long enough to show whether the zone answers.
            Some(probing_for) if probing_for >= self.detection_delay_s => {
                self.avoided_since = detects_outage.then_some(now);
            }
            _ => {}
        }
        self.avoided_since.is_none_or(|since| (now - since).as_secs_f64() >= self.probe_delay_s)
    }

    /// Whether the deadline of the node is due at `now`. A scheduled deadline is not due if it was postponed
    /// afterwards.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.deadline.is_none_or(|deadline| now >= deadline)
    }
}

/// Creates a failover node whose member list contains all nodes.
pub fn failover_node(
    start: Timestamp,
    own: &Peer,
    peers: &[Peer],
    zones: usize,
    proximity: &Proximity,
) -> FailoverNode {
    let voters = (0..MAX_VOTERS.min(peers.len() | 1)).map(address).collect();
    let capacity = REPLICA_CAPACITY * USABLE_CAPACITY;
    let controller = FailoverController::new(FAILOVER_TIMING, proximity.clone(), zones, capacity);
    let follower = DecisionFollower::new(own.zone, zones, proximity.clone(), DECISION_HOLD, false);
    let config = FailoverNodeConfig {
        own: own.clone(),
        key: derive_key(SECRET),
        known_nodes: Vec::new(),
        voters,
        zone_count: zones,
        controller,
        follower,
    };
    let mut node = FailoverNode::new(start, config);
    node.add_known_members(start, peers.iter().cloned());
    node
}

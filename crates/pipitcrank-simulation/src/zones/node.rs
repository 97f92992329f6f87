//! One simulated node.

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

/// The key under which nodes seal their datagrams.
const SECRET: &str = "the lab's";
/// Incarnation of the first node, in microseconds since 1970; a moment without meaning.
const FIRST_INCARNATION: u64 = 1_700_000_000_000_000;

/// How nodes choose zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingMode {
    /// By the common decision.
    CommonDecision,
    /// Each by its own observations, its own zone first.
    Independent,
    /// Evenly over all zones.
    IgnoreZones,
}

impl RoutingMode {
    /// Its name in the report.
    pub fn name(self) -> &'static str {
        match self {
            RoutingMode::CommonDecision => "common",
            RoutingMode::Independent => "alone",
            RoutingMode::IgnoreZones => "none",
        }
    }
}

/// The decision that a node acts on.
#[derive(Clone, Copy, PartialEq)]
pub struct CurrentDecision {
    pub number: u64,
    pub status: DecisionStatus,
}

pub struct SimulatedNode {
    /// Takes part in the common decision, in that mode.
    pub failover: Option<FailoverNode>,
    pub zone: usize,
    /// After how many seconds of silence the node notices it.
    pub detection_delay_s: f64,
    /// For how many seconds it stays away from its zone where it decides alone.
    probe_delay_s: f64,
    /// Since when it stays away from its zone.
    away_since: Option<Timestamp>,
    pub plan: RoutingPlan,
    pub decision: CurrentDecision,
    /// Its next deadline; `None` before its start.
    pub deadline: Option<Timestamp>,
}

/// The address of the node with this index.
pub fn address(index: usize) -> SocketAddr {
    ([127, 1 + (index >> 16) as u8, (index >> 8) as u8, index as u8], 7000).into()
}

/// The nodes as members of the cluster, spread over the zones in turn.
pub fn peers(nodes: usize, zones: usize) -> Vec<Peer> {
    let peer = |index| Peer {
        address: address(index),
        instance: FIRST_INCARNATION + index as u64,
        zone: (index % zones) as u16,
    };
    (0..nodes).map(peer).collect()
}

impl SimulatedNode {
    /// A node that sends all to its own zone.
    pub fn new(own: &Peer, failover: Option<FailoverNode>, rng: &mut Pcg64) -> SimulatedNode {
        let home = ZoneFraction { zone: own.zone, permille: 1000 };
        SimulatedNode {
            failover,
            zone: usize::from(own.zone),
            detection_delay_s: rng.random_range(DETECTION_DELAY_S),
            probe_delay_s: rng.random_range(PROBE_DELAY_S),
            away_since: None,
            plan: RoutingPlan {
                decision_number: 0,
                fractions: vec![home],
                closed_zones: Vec::new(),
                shed: 0,
            },
            decision: CurrentDecision { number: 0, status: DecisionStatus::NoDecision },
            deadline: None,
        }
    }

    /// Whether a node that decides alone sends to its own zone now: it leaves once it notices the zone's silence, and
    /// probes it after a while.
    pub fn sends_to_own_zone(&mut self, now: Timestamp, notices_silence: bool) -> bool {
        let probing_for = self.away_since.map(|since| (now - since).as_secs_f64() - self.probe_delay_s);
        match probing_for {
            None if notices_silence => self.away_since = Some(now),
            // The probe has shown whether the zone answers.
            Some(probing_for) if probing_for >= self.detection_delay_s => {
                self.away_since = notices_silence.then_some(now);
            }
            _ => {}
        }
        self.away_since.is_none_or(|since| (now - since).as_secs_f64() >= self.probe_delay_s)
    }

    /// Whether the node may run at `now`: a deadline that was moved since is no longer due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.deadline.is_none_or(|deadline| now >= deadline)
    }
}

/// A member of the common decision that knows all others.
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

//! Configuration of a node, the state kept for its next process, and traffic counts.

use std::net::SocketAddr;

use pipitcrank_membership::peer::Peer;

use crate::controller::FailoverController;
use crate::decision::Decision;
use crate::follower::DecisionFollower;

/// Configuration of a node.
pub struct FailoverNodeConfig {
    /// This node, with the address under which others reach it.
    pub own: Peer,
    /// Key under which datagrams are sealed.
    pub key: [u8; 32],
    /// Nodes that are contacted first.
    pub known_nodes: Vec<SocketAddr>,
    /// Addresses of the voters by slot; the same on all nodes.
    pub voters: Vec<SocketAddr>,
    /// Number of zones.
    pub zone_count: usize,
    /// Proposes decisions while this node leads the voters.
    pub controller: FailoverController,
    /// Selects the decision that this node acts on.
    pub follower: DecisionFollower,
}

impl FailoverNodeConfig {
    /// Nodes that are contacted first, including the voters.
    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        let mut seeds: Vec<SocketAddr> = self.known_nodes.iter().chain(&self.voters).copied().collect();
        seeds.sort();
        seeds.dedup();
        seeds
    }
}

/// State that the next process of this node may start from. It is not agreed on between nodes and may be out
/// of date.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestartState {
    /// Decision that this node acts on.
    pub decision: Option<Decision>,
    /// Other live members.
    pub members: Vec<Peer>,
}

/// Traffic sent by a node since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTraffic {
    /// Size of all sealed datagrams in bytes.
    pub bytes: u64,
    /// Number of sealed datagrams.
    pub datagrams: u64,
}

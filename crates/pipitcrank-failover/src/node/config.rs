//! What a node is made of, what outlives its process, and what it sends.

use std::net::SocketAddr;

use pipitcrank_membership::peer::Peer;

use crate::controller::FailoverController;
use crate::decision::Decision;
use crate::follower::DecisionFollower;

/// What a node is made of.
pub struct FailoverNodeConfig {
    /// This node, as others reach it.
    pub own: Peer,
    /// The key under which datagrams are sealed.
    pub key: [u8; 32],
    /// Nodes that are contacted first.
    pub known_nodes: Vec<SocketAddr>,
    /// Addresses of the voters by slot, the same at all nodes.
    pub voters: Vec<SocketAddr>,
    /// Number of zones.
    pub zone_count: usize,
    /// Proposes decisions while this node leads the voters.
    pub controller: FailoverController,
    /// Decides what this node acts on.
    pub follower: DecisionFollower,
}

impl FailoverNodeConfig {
    /// Nodes that are contacted first, the voters among them.
    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        let mut seeds: Vec<SocketAddr> = self.known_nodes.iter().chain(&self.voters).copied().collect();
        seeds.sort();
        seeds.dedup();
        seeds
    }
}

/// What the next process of this node may start from: not agreed on, and possibly out of date.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestartState {
    /// The decision that this node acts on.
    pub decision: Option<Decision>,
    /// Other live members.
    pub members: Vec<Peer>,
}

/// What a node has sent since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTraffic {
    /// Bytes of sealed datagrams.
    pub bytes: u64,
    /// Sealed datagrams.
    pub datagrams: u64,
}

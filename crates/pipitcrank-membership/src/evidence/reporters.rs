//! Selection of the nodes that report evidence for a zone.

use pipitcrank_core::time::TimeSpan;

use crate::peer::Peer;

/// Number of reporters per zone. Their median outweighs two wrong reporters, and the traffic to the voters
/// grows with the number of zones instead of nodes.
pub const REPORTERS_PER_ZONE: usize = 5;
/// Interval between reports of one node.
pub const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Whether this node is a reporter of its zone. Reporters are selected by a hash of address and process, so
/// neither the position in a list nor the age of a process matters.
pub fn is_reporter(own: &Peer, of_zone: impl Iterator<Item = Peer>) -> bool {
    let rank = |peer: &Peer| {
        let hash = blake3::hash(format!("{} {}", peer.address, peer.instance).as_bytes());
        (*hash.as_bytes(), peer.address)
    };
    let own_rank = rank(own);
    let ahead = of_zone.filter(|peer| peer.address != own.address && rank(peer) < own_rank);
    ahead.take(REPORTERS_PER_ZONE).count() < REPORTERS_PER_ZONE
}

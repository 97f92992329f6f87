//! Which nodes of a zone report evidence.

use pipitcrank_core::time::TimeSpan;

use crate::peer::Peer;

/// Nodes of one zone that report for it: their median outweighs two that are wrong, and what the voters receive grows with
/// the number of zones, not of nodes.
pub const REPORTERS_PER_ZONE: usize = 5;
/// Time between two reports of one node.
pub const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

/// Whether this node is among the reporters of its zone. They are chosen by a hash of address and process, so that neither
/// the position in a list nor the age of a process decides.
pub fn is_reporter(own: &Peer, of_zone: impl Iterator<Item = Peer>) -> bool {
    let rank = |peer: &Peer| {
        let hash = blake3::hash(format!("{} {}", peer.address, peer.instance).as_bytes());
        (*hash.as_bytes(), peer.address)
    };
    let own_rank = rank(own);
    let ahead = of_zone.filter(|peer| peer.address != own.address && rank(peer) < own_rank);
    ahead.take(REPORTERS_PER_ZONE).count() < REPORTERS_PER_ZONE
}

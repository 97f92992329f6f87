//! One entry of the endpoint list.

use std::net::SocketAddr;

use pipitcrank_core::time::Timestamp;

/// One replica as the discovery service lists it.
pub struct Endpoint {
    /// Name of the replica, unique among all that were ever listed.
    pub uid: String,
    /// Where it is reached; may be missing for a replica that has left.
    pub address: Option<SocketAddr>,
    /// Cell of the replica ring.
    pub cell: u32,
    /// Name of its zone; none where discovery does not name one, then the zone named before stays.
    pub zone: Option<String>,
    /// Whether it takes work; false while it drains and once it has left.
    pub up: bool,
    /// When the replica's process started, where known: a slow start follows.
    pub started: Option<Timestamp>,
}

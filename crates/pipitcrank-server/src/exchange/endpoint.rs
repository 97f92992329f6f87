//! Entries of the endpoint list.

use std::net::SocketAddr;

use pipitcrank_core::time::Timestamp;

/// One replica as listed by the discovery service.
pub struct Endpoint {
    /// Name of the replica, unique among all replicas ever listed.
    pub uid: String,
    /// Address of the replica; may be missing after it has left.
    pub address: Option<SocketAddr>,
    /// Cell of the replica ring.
    pub cell: u32,
    /// Name of the replica's zone. On `None`, the zone from an earlier update is kept.
    pub zone: Option<String>,
    /// Whether the replica accepts work; false while it drains and after it has left.
    pub up: bool,
    /// Start time of the replica's process, if known. The replica's slow start begins at this time.
    pub started: Option<Timestamp>,
}

//! How nodes name each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One process of a node. Another process at the same address is another peer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Where others reach it.
    pub address: SocketAddr,
    /// When it started, in microseconds since 1970 by its own clock; raised by one each time it refutes its own death.
    pub instance: u64,
    /// Its zone, by place in the operators' list.
    pub zone: u16,
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    /// Lets a node that was suspended and declared dead rejoin at once: its old identity is refused for as long as dead
    /// members are remembered.
    fn renew(&self) -> Option<Peer> {
        Some(Peer { instance: self.instance + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Peer) -> bool {
        self.instance > other.instance
    }
}

//! Identity of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One process of a node. A new process at the same address is another peer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Address under which other nodes reach the process.
    pub address: SocketAddr,
    /// Start time of the process in microseconds since 1970 by its own clock, incremented by one each time
    /// the process refutes its own death.
    pub instance: u64,
    /// Zone of the process, as an index into the operators' list.
    pub zone: u16,
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    /// Lets a node that was suspended and declared dead rejoin at once. Its old identity is rejected for as
    /// long as dead members are remembered.
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

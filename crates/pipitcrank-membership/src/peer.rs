//! One copy of the program as others name it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A process of a copy. Another process at the same address is another peer of that copy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its start: microseconds since 1970 by its own clock; raised by one each time it refutes its own death.
    pub instance: u64,
    /// Its zone, by place in the operators' list.
    pub zone: u16,
}

impl foca::Identity for Peer {
    type Addr = SocketAddr;

    /// Guards against a copy that stood still, was declared dead, and could not come back for as long as the dead are
    /// remembered.
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

//! Simulated network with delay, loss and partitions.

use std::collections::BTreeSet;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use rand::Rng;
use rand_pcg::Pcg64;

use crate::event_queue::{EventQueue, SimulationEvent};

/// Minimum delay of a datagram.
const MIN_DELAY: TimeSpan = TimeSpan::from_millis(1);

/// Number and size of the datagrams sent by all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total size in bytes.
    pub bytes: u64,
}

/// Receiver of a datagram.
#[derive(Clone, Copy, Debug)]
pub struct Destination {
    /// Index of the node.
    pub node: usize,
    /// Index of the node's zone.
    pub zone: u16,
}

/// A network that delays and loses datagrams.
pub struct Network {
    rng: Pcg64,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Largest delay in addition to the minimum delay of the network.
    pub max_delay: TimeSpan,
    /// Pairs of sending and receiving zone whose datagrams are dropped.
    pub partitions: BTreeSet<(u16, u16)>,
    /// Traffic sent so far, with lost datagrams included.
    pub sent: Traffic,
}

impl Network {
    /// Creates a network without partitions.
    pub fn new(rng: Pcg64, loss: f64, max_delay: TimeSpan) -> Network {
        Network { rng, loss, max_delay, partitions: BTreeSet::new(), sent: Traffic::default() }
    }

    /// Sends a datagram from a node of `from_zone`. A datagram to `None`, an address without a node, is lost.
    pub fn send(
        &mut self,
        queue: &mut EventQueue,
        now: Timestamp,
        from_zone: u16,
        to: Option<Destination>,
        bytes: Vec<u8>,
    ) {
        self.sent.datagrams += 1;
        self.sent.bytes += bytes.len() as u64;
        let Some(Destination { node, zone }) = to else { return };
        if self.partitions.contains(&(from_zone, zone)) || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = MIN_DELAY + self.max_delay * self.rng.random::<f64>();
        queue.schedule(now + delay, SimulationEvent::Datagram { node, bytes });
    }
}

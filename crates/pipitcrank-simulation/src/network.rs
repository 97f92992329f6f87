//! Datagrams in transit in simulated time.

use std::collections::BTreeSet;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use rand::Rng;
use rand_pcg::Pcg64;

use crate::event_queue::{EventQueue, SimulationEvent};

const MIN_DELAY: TimeSpan = TimeSpan::from_millis(1);

/// Datagrams sent, of all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// How many.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// Where a datagram goes.
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
    /// Longest delay beyond the shortest possible one.
    pub max_delay: TimeSpan,
    /// Pairs of zones, from and to, between which no datagram arrives.
    pub partitions: BTreeSet<(u16, u16)>,
    /// What was sent so far.
    pub sent: Traffic,
}

impl Network {
    /// A network without partitions.
    pub fn new(rng: Pcg64, loss: f64, max_delay: TimeSpan) -> Network {
        Network { rng, loss, max_delay, partitions: BTreeSet::new(), sent: Traffic::default() }
    }

    /// Sends a datagram from a node of `from_zone`; `None` is an address at which no node is.
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

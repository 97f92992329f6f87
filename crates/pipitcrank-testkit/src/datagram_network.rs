//! A faulty datagram network between members. Members send to each other through relays, one per member, which
//! forward datagrams to its listen address. Each ordered pair of members has its own faults: loss, delay,
//! duplication, reordering or blocking. Sets of members can be partitioned and healed. A seed determines the faults.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::net::UdpSocket;

/// Longest datagram that is forwarded, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Faults of the path from one member to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatagramFaults {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that are delivered twice.
    pub duplicated: f64,
    /// Upper limit of the random delay of each datagram; different delays reorder datagrams.
    pub delay: Duration,
    /// All datagrams are dropped.
    pub blocked: bool,
}

impl DatagramFaults {
    /// No faults.
    pub const NONE: DatagramFaults =
        DatagramFaults { loss: 0.0, duplicated: 0.0, delay: Duration::ZERO, blocked: false };
}

/// Counters of a datagram network.
#[derive(Clone, Copy, Debug)]
pub struct DatagramCounts {
    /// Number of datagrams forwarded, duplicates included.
    pub passed: u64,
    /// Number of bytes in the forwarded datagrams.
    pub bytes: u64,
    /// Number of datagrams dropped by faults.
    pub dropped: u64,
}

struct Shared {
    /// Listen addresses by member index.
    listen_addresses: RefCell<Vec<SocketAddr>>,
    paths: RefCell<BTreeMap<(usize, usize), DatagramFaults>>,
    default_faults: Cell<DatagramFaults>,
    rng: RefCell<Pcg64>,
    passed: Cell<u64>,
    bytes: Cell<u64>,
    dropped: Cell<u64>,
}

/// The network of relays; clones share it.
#[derive(Clone)]
pub struct DatagramNetwork(Rc<Shared>);

impl DatagramNetwork {
    /// Creates a network without relays; the seed determines its faults.
    pub fn new(seed: u64) -> DatagramNetwork {
        DatagramNetwork(Rc::new(Shared {
            listen_addresses: RefCell::default(),
            paths: RefCell::default(),
            default_faults: Cell::new(DatagramFaults::NONE),
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
            passed: Cell::new(0),
            bytes: Cell::new(0),
            dropped: Cell::new(0),
        }))
    }

    /// Adds a relay for the member at the listen address and returns the address of the relay, to which other members
    /// send.
    pub async fn relay(&self, listen_address: SocketAddr) -> Result<SocketAddr> {
        let index = self.0.listen_addresses.borrow().len();
        self.0.listen_addresses.borrow_mut().push(listen_address);
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        let shared = self.0.clone();
        tokio::task::spawn_local(async move {
            let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                // An error reports that a member was not listening for an earlier datagram; receiving continues.
                let Ok((length, from)) = socket.recv_from(&mut bytes).await else { continue };
                shared.forward(&socket, from, index, &bytes[..length]);
            }
        });
        Ok(address)
    }

    /// Sets the faults of the path from one member to another.
    pub fn set_path(&self, from: usize, to: usize, faults: DatagramFaults) {
        self.0.paths.borrow_mut().insert((from, to), faults);
    }

    /// Sets the faults of all paths without faults of their own.
    pub fn set_all(&self, faults: DatagramFaults) {
        self.0.default_faults.set(faults);
    }

    /// Blocks all paths between the members of the set and the other members, in both directions.
    pub fn partition(&self, set: &[usize]) {
        let count = self.0.listen_addresses.borrow().len();
        for a in 0..count {
            for b in (0..count).filter(|b| set.contains(&a) != set.contains(b)) {
                self.set_path(a, b, DatagramFaults { blocked: true, ..DatagramFaults::NONE });
            }
        }
    }

    /// Removes all faults.
    pub fn heal(&self) {
        self.0.paths.borrow_mut().clear();
        self.0.default_faults.set(DatagramFaults::NONE);
    }

    /// Counters of the datagrams so far.
    pub fn counts(&self) -> DatagramCounts {
        DatagramCounts {
            passed: self.0.passed.get(),
            bytes: self.0.bytes.get(),
            dropped: self.0.dropped.get(),
        }
    }
}

impl Shared {
    fn forward(self: &Rc<Shared>, socket: &Rc<UdpSocket>, from: SocketAddr, to: usize, bytes: &[u8]) {
        // Datagrams from senders that are not members, such as an operator's command, pass without faults.
        let sender = self.listen_addresses.borrow().iter().position(|address| *address == from);
        let path_faults = sender.and_then(|from| self.paths.borrow().get(&(from, to)).copied());
        let faults = if sender.is_none() {
            DatagramFaults::NONE
        } else {
            path_faults.unwrap_or(self.default_faults.get())
        };
        let mut rng = self.rng.borrow_mut();
        if faults.blocked || rng.random_bool(faults.loss) {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let count = if rng.random_bool(faults.duplicated) { 2 } else { 1 };
        let listen_address = self.listen_addresses.borrow()[to];
        for _ in 0..count {
            self.passed.set(self.passed.get() + 1);
            self.bytes.set(self.bytes.get() + bytes.len() as u64);
            if faults.delay == Duration::ZERO {
                let _ = socket.try_send_to(bytes, listen_address);
                continue;
            }
            let delay = faults.delay.mul_f64(rng.random::<f64>());
            let (socket, bytes) = (socket.clone(), bytes.to_vec());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.try_send_to(&bytes, listen_address);
            });
        }
    }
}

#[cfg(test)]
mod tests;

//! A faulty datagram network between members: each member is known to the others by the address of a relay, which passes
//! datagrams on to where the member listens. Each pair and direction by itself can lose, delay, duplicate, reorder or
//! block them; sets of members can be partitioned and healed. Faults follow from a seed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::net::UdpSocket;

/// Longest datagram passed on.
const LONGEST: usize = 2048;

/// Faults of the path from one member to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatagramFaults {
    /// Fraction that is lost.
    pub loss: f64,
    /// Fraction that arrives twice.
    pub duplicated: f64,
    /// Each is delayed by up to that time at random, so that they are reordered.
    pub delay: Duration,
    /// Nothing passes.
    pub blocked: bool,
}

impl DatagramFaults {
    /// No faults.
    pub const NONE: DatagramFaults =
        DatagramFaults { loss: 0.0, duplicated: 0.0, delay: Duration::ZERO, blocked: false };
}

/// What a network has passed on and dropped.
#[derive(Clone, Copy, Debug)]
pub struct DatagramCounts {
    /// Datagrams passed on, duplicates included.
    pub passed: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Datagrams dropped on purpose.
    pub dropped: u64,
}

struct Shared {
    /// Where members listen, by index.
    listen_addresses: RefCell<Vec<SocketAddr>>,
    paths: RefCell<BTreeMap<(usize, usize), DatagramFaults>>,
    all: Cell<DatagramFaults>,
    rng: RefCell<Pcg64>,
    passed: Cell<u64>,
    bytes: Cell<u64>,
    lost: Cell<u64>,
}

/// The relays between members; clones share them.
#[derive(Clone)]
pub struct DatagramNetwork(Rc<Shared>);

impl DatagramNetwork {
    /// A network without relays yet; faults follow from the seed.
    pub fn new(seed: u64) -> DatagramNetwork {
        DatagramNetwork(Rc::new(Shared {
            listen_addresses: RefCell::default(),
            paths: RefCell::default(),
            all: Cell::new(DatagramFaults::NONE),
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
            passed: Cell::new(0),
            bytes: Cell::new(0),
            lost: Cell::new(0),
        }))
    }

    /// Adds a relay for a member that listens there; the address that others know it by.
    pub async fn relay(&self, listen_addresses: SocketAddr) -> Result<SocketAddr> {
        let place = self.0.listen_addresses.borrow().len();
        self.0.listen_addresses.borrow_mut().push(listen_addresses);
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        let shared = self.0.clone();
        tokio::task::spawn_local(async move {
            let mut bytes = vec![0; LONGEST];
            loop {
                // An error means that the member is not there; the next datagram may arrive.
                let Ok((length, from)) = socket.recv_from(&mut bytes).await else { continue };
                shared.pass(&socket, from, place, &bytes[..length]);
            }
        });
        Ok(address)
    }

    /// Sets the faults of the path from one member to another.
    pub fn set_path(&self, from: usize, to: usize, faults: DatagramFaults) {
        self.0.paths.borrow_mut().insert((from, to), faults);
    }

    /// Sets the faults of all paths that are not set by themselves.
    pub fn set_all(&self, faults: DatagramFaults) {
        self.0.all.set(faults);
    }

    /// Partitions a set of members from all others, in both directions.
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
        self.0.all.set(DatagramFaults::NONE);
    }

    /// What has passed and what was dropped so far.
    pub fn counts(&self) -> DatagramCounts {
        DatagramCounts { passed: self.0.passed.get(), bytes: self.0.bytes.get(), dropped: self.0.lost.get() }
    }
}

impl Shared {
    fn pass(self: &Rc<Shared>, socket: &Rc<UdpSocket>, from: SocketAddr, to: usize, bytes: &[u8]) {
        // Senders that are no members, such as an operator's command, have no faults.
        let sender =
            self.listen_addresses.borrow().iter().position(|listen_addresses| *listen_addresses == from);
        let path_faults = sender.and_then(|from| self.paths.borrow().get(&(from, to)).copied());
        let faults =
            if sender.is_none() { DatagramFaults::NONE } else { path_faults.unwrap_or(self.all.get()) };
        let mut rng = self.rng.borrow_mut();
        if faults.blocked || rng.random_bool(faults.loss) {
            self.lost.set(self.lost.get() + 1);
            return;
        }
        let count = if rng.random_bool(faults.duplicated) { 2 } else { 1 };
        let listen_addresses = self.listen_addresses.borrow()[to];
        for _ in 0..count {
            self.passed.set(self.passed.get() + 1);
            self.bytes.set(self.bytes.get() + bytes.len() as u64);
            if faults.delay == Duration::ZERO {
                let _ = socket.try_send_to(bytes, listen_addresses);
                continue;
            }
            let held = faults.delay.mul_f64(rng.random::<f64>());
            let (socket, bytes) = (socket.clone(), bytes.to_vec());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(held).await;
                let _ = socket.try_send_to(&bytes, listen_addresses);
            });
        }
    }
}

#[cfg(test)]
mod tests;

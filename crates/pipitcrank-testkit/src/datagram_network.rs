//! The net between copies: each copy is known to the others by the address of a relay here, which passes datagrams on to
//! where the copy really listens. Each pair and direction by itself can lose, delay, double, reorder or swallow them; sets
//! can be parted and healed. From a seed.

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

/// How the way from one copy to another is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatagramFaults {
    /// Share lost, and share that comes twice.
    pub loss: f64,
    pub doubled: f64,
    /// Each is held for up to so long, by chance: they overtake each other.
    pub delay: Duration,
    /// Nothing passes.
    pub silent: bool,
}

impl DatagramFaults {
    pub const NONE: DatagramFaults =
        DatagramFaults { loss: 0.0, doubled: 0.0, delay: Duration::ZERO, silent: false };
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
    /// Where copies really listen, by place.
    real: RefCell<Vec<SocketAddr>>,
    ways: RefCell<BTreeMap<(usize, usize), DatagramFaults>>,
    all: Cell<DatagramFaults>,
    rng: RefCell<Pcg64>,
    passed: Cell<u64>,
    bytes: Cell<u64>,
    lost: Cell<u64>,
}

#[derive(Clone)]
pub struct DatagramNetwork(Rc<Shared>);

impl DatagramNetwork {
    pub fn new(seed: u64) -> DatagramNetwork {
        DatagramNetwork(Rc::new(Shared {
            real: RefCell::default(),
            ways: RefCell::default(),
            all: Cell::new(DatagramFaults::NONE),
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
            passed: Cell::new(0),
            bytes: Cell::new(0),
            lost: Cell::new(0),
        }))
    }

    /// A relay for a copy that listens there; the address that others know it by.
    pub async fn relay(&self, real: SocketAddr) -> Result<SocketAddr> {
        let place = self.0.real.borrow().len();
        self.0.real.borrow_mut().push(real);
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        let shared = self.0.clone();
        tokio::task::spawn_local(async move {
            let mut bytes = vec![0; LONGEST];
            loop {
                // An error tells of a copy that is not there; the next may come.
                let Ok((length, from)) = socket.recv_from(&mut bytes).await else { continue };
                shared.pass(&socket, from, place, &bytes[..length]);
            }
        });
        Ok(address)
    }

    /// How the way from one copy to another is from now on.
    pub fn way(&self, from: usize, to: usize, faults: DatagramFaults) {
        self.0.ways.borrow_mut().insert((from, to), faults);
    }

    /// How all ways are that are not set by themselves.
    pub fn all(&self, faults: DatagramFaults) {
        self.0.all.set(faults);
    }

    /// Parts a set from all others, both ways.
    pub fn part(&self, set: &[usize]) {
        let count = self.0.real.borrow().len();
        for a in 0..count {
            for b in (0..count).filter(|b| set.contains(&a) != set.contains(b)) {
                self.way(a, b, DatagramFaults { silent: true, ..DatagramFaults::NONE });
            }
        }
    }

    pub fn heal(&self) {
        self.0.ways.borrow_mut().clear();
        self.0.all.set(DatagramFaults::NONE);
    }

    /// What has passed and what was dropped so far.
    pub fn counts(&self) -> DatagramCounts {
        DatagramCounts { passed: self.0.passed.get(), bytes: self.0.bytes.get(), dropped: self.0.lost.get() }
    }
}

impl Shared {
    fn pass(self: &Rc<Shared>, socket: &Rc<UdpSocket>, from: SocketAddr, to: usize, bytes: &[u8]) {
        // Who is no copy, such as an operator's command, is not the faults' business.
        let sender = self.real.borrow().iter().position(|real| *real == from);
        let way = sender.and_then(|from| self.ways.borrow().get(&(from, to)).copied());
        let faults = if sender.is_none() { DatagramFaults::NONE } else { way.unwrap_or(self.all.get()) };
        let mut rng = self.rng.borrow_mut();
        if faults.silent || rng.random_bool(faults.loss) {
            self.lost.set(self.lost.get() + 1);
            return;
        }
        let copies = if rng.random_bool(faults.doubled) { 2 } else { 1 };
        let real = self.real.borrow()[to];
        for _ in 0..copies {
            self.passed.set(self.passed.get() + 1);
            self.bytes.set(self.bytes.get() + bytes.len() as u64);
            if faults.delay == Duration::ZERO {
                let _ = socket.try_send_to(bytes, real);
                continue;
            }
            let held = faults.delay.mul_f64(rng.random::<f64>());
            let (socket, bytes) = (socket.clone(), bytes.to_vec());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(held).await;
                let _ = socket.try_send_to(&bytes, real);
            });
        }
    }
}

#[cfg(test)]
mod tests;

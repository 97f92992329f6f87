//! A link between two addresses on loopback that can be made slow, uneven, silent in one direction or both, or closed, and
//! healed again. Bytes keep their order, as on any connection.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};

/// Bytes in transit at most, in pieces: what a socket's buffer would hold.
const PIECE: usize = 16 * 1024;
const PIECES: usize = 64;

/// Conditions of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    /// Delay in one direction.
    pub delay: Duration,
    /// Up to that much more, at random.
    pub jitter: Duration,
    /// Nothing passes forward; what is in transit stays.
    pub stalled_forward: bool,
    /// Nothing passes back.
    pub stalled_back: bool,
}

impl LinkConditions {
    /// Conditions of a healthy link of that round trip.
    pub fn with_round_trip(round_trip: Duration) -> LinkConditions {
        let delay = round_trip / 2;
        LinkConditions { delay, jitter: delay / 10, stalled_forward: false, stalled_back: false }
    }
}

struct Shared {
    conditions: Cell<LinkConditions>,
    down: Cell<bool>,
    cut: Notify,
    changed: Notify,
    rng: RefCell<Pcg64>,
    bytes: Cell<u64>,
    /// Bytes that a new connection passes forward before it is closed.
    cut_after: Cell<Option<usize>>,
}

/// A relay of connections to one address; clones share it.
#[derive(Clone)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Rc<Shared>,
}

impl Link {
    /// Starts a link from a new address to that one.
    ///
    /// # Errors
    ///
    /// That it can't listen.
    pub async fn start(seed: u64, to: SocketAddr, conditions: LinkConditions) -> Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            conditions: Cell::new(conditions),
            down: Cell::new(false),
            cut: Notify::new(),
            changed: Notify::new(),
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
            bytes: Cell::new(0),
            cut_after: Cell::new(None),
        });
        let ours = shared.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if ours.down.get() {
                    continue;
                }
                let shared = ours.clone();
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        () = connection(&shared, stream, to) => {}
                        () = shared.cut.notified() => {}
                    }
                });
            }
        });
        Ok(Link { address, shared })
    }

    /// Sets the conditions from now on, for open connections as well.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        self.shared.conditions.set(conditions);
        self.shared.changed.notify_waiters();
    }

    /// Closes all connections and accepts none until it is healed.
    pub fn cut(&self) {
        self.shared.down.set(true);
        self.shared.cut.notify_waiters();
    }

    /// Lets connections come up again after `cut`.
    pub fn heal(&self) {
        self.shared.down.set(false);
    }

    /// Closes all connections; new ones are accepted.
    pub fn close_connections(&self) {
        self.shared.cut.notify_waiters();
    }

    /// Each connection from now on passes that many bytes forward and is then closed; `None` sets no limit.
    pub fn cut_after(&self, bytes: Option<usize>) {
        self.shared.cut_after.set(bytes);
    }

    /// Bytes passed in both directions.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.get()
    }
}

async fn connection(shared: &Rc<Shared>, near: TcpStream, to: SocketAddr) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_from, near_to), (far_from, far_to)) = (near.into_split(), far.into_split());
    tokio::select! {
        () = direction(shared, near_from, far_to, |w| w.stalled_forward, shared.cut_after.get()) => {}
        () = direction(shared, far_from, near_to, |w| w.stalled_back, None) => {}
    }
}

async fn direction(
    shared: &Rc<Shared>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    stalled: fn(&LinkConditions) -> bool,
    mut passes: Option<usize>,
) {
    let (way_in, mut way_out) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
    let reading = async move {
        let mut latest = Instant::now();
        loop {
            let mut piece = vec![0; PIECE];
            let Ok(n @ 1..) = from.read(&mut piece).await else { return };
            piece.truncate(n);
            shared.bytes.set(shared.bytes.get() + n as u64);
            let conditions = shared.conditions.get();
            let more = conditions.jitter.mul_f64(shared.rng.borrow_mut().random::<f64>());
            // Never before what went ahead of it.
            latest = latest.max(Instant::now() + conditions.delay + more);
            if way_in.send((latest, piece)).await.is_err() {
                return;
            }
        }
    };
    let writing = async {
        while let Some((at, mut piece)) = way_out.recv().await {
            tokio::time::sleep_until(at.into()).await;
            while stalled(&shared.conditions.get()) {
                shared.changed.notified().await;
            }
            if let Some(left) = &mut passes {
                piece.truncate(*left);
                *left -= piece.len();
            }
            if to.write_all(&piece).await.is_err() || passes == Some(0) {
                return;
            }
        }
    };
    tokio::select! {
        // What is in transit is passed on before the other side sees the end.
        () = async { reading.await; std::future::pending().await } => {}
        () = writing => {}
    }
}

//! A TCP relay on loopback whose link can be delayed with jitter, stalled in one or both directions, cut and healed.
//! Bytes keep their order, as on any TCP connection.

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

/// Bytes read at once.
const PIECE_BYTES: usize = 16 * 1024;
/// Longest queue of pieces in transit: 64 of 16 KiB, about the contents of a socket buffer.
const MAX_PIECES: usize = 64;

/// Conditions of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    /// Delay per direction.
    pub delay: Duration,
    /// Upper limit of the random extra delay.
    pub jitter: Duration,
    /// No bytes are forwarded to the target address; bytes in transit are held.
    pub stalled_forward: bool,
    /// No bytes are forwarded back to the connecting side; bytes in transit are held.
    pub stalled_back: bool,
}

impl LinkConditions {
    /// Conditions of a healthy link with the given round trip and a jitter of a tenth of the delay.
    pub fn with_round_trip(round_trip: Duration) -> LinkConditions {
        let delay = round_trip / 2;
        LinkConditions { delay, jitter: delay / 10, stalled_forward: false, stalled_back: false }
    }
}

struct Shared {
    conditions: Cell<LinkConditions>,
    down: Cell<bool>,
    closed: Notify,
    changed: Notify,
    rng: RefCell<Pcg64>,
    bytes: Cell<u64>,
    /// Number of bytes that a new connection forwards to the target before it is closed; `None` sets no limit.
    cut_after: Cell<Option<usize>>,
}

/// A relay to one target address; clones share it.
#[derive(Clone)]
pub struct Link {
    /// Listen address.
    pub address: SocketAddr,
    shared: Rc<Shared>,
}

impl Link {
    /// Starts a link from a new listen address to the target address.
    ///
    /// # Errors
    ///
    /// If the listener cannot be opened.
    pub async fn start(seed: u64, to: SocketAddr, conditions: LinkConditions) -> Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            conditions: Cell::new(conditions),
            down: Cell::new(false),
            closed: Notify::new(),
            changed: Notify::new(),
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
            bytes: Cell::new(0),
            cut_after: Cell::new(None),
        });
        let listener_shared = shared.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if listener_shared.down.get() {
                    continue;
                }
                let shared = listener_shared.clone();
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        () = relay_connection(&shared, stream, to) => {}
                        () = shared.closed.notified() => {}
                    }
                });
            }
        });
        Ok(Link { address, shared })
    }

    /// Sets the conditions, for open connections as well.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        self.shared.conditions.set(conditions);
        self.shared.changed.notify_waiters();
    }

    /// Closes all connections and rejects new ones until `heal`.
    pub fn cut(&self) {
        self.shared.down.set(true);
        self.shared.closed.notify_waiters();
    }

    /// Accepts new connections again after `cut`.
    pub fn heal(&self) {
        self.shared.down.set(false);
    }

    /// Closes all connections; new ones are still accepted.
    pub fn close_connections(&self) {
        self.shared.closed.notify_waiters();
    }

    /// Closes each new connection after it has forwarded that many bytes to the target; `None` sets no limit.
    pub fn cut_after(&self, bytes: Option<usize>) {
        self.shared.cut_after.set(bytes);
    }

    /// Number of bytes received in both directions.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.get()
    }
}

async fn relay_connection(shared: &Rc<Shared>, near: TcpStream, to: SocketAddr) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_from, near_to), (far_from, far_to)) = (near.into_split(), far.into_split());
    tokio::select! {
        () = relay_direction(shared, near_from, far_to, |c| c.stalled_forward, shared.cut_after.get()) => {}
        () = relay_direction(shared, far_from, near_to, |c| c.stalled_back, None) => {}
    }
}

async fn relay_direction(
    shared: &Rc<Shared>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    stalled: fn(&LinkConditions) -> bool,
    mut byte_limit: Option<usize>,
) {
    let (enqueue, mut pieces) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_PIECES);
    let reading = async move {
        let mut due = Instant::now();
        loop {
            let mut piece = vec![0; PIECE_BYTES];
            let Ok(n @ 1..) = from.read(&mut piece).await else { return };
            piece.truncate(n);
            shared.bytes.set(shared.bytes.get() + n as u64);
            let conditions = shared.conditions.get();
            let extra = conditions.jitter.mul_f64(shared.rng.borrow_mut().random::<f64>());
            // Never earlier than the previous piece, so that the order is kept.
            due = due.max(Instant::now() + conditions.delay + extra);
            if enqueue.send((due, piece)).await.is_err() {
                return;
            }
        }
    };
    let writing = async {
        while let Some((at, mut piece)) = pieces.recv().await {
            tokio::time::sleep_until(at.into()).await;
            while stalled(&shared.conditions.get()) {
                shared.changed.notified().await;
            }
            if let Some(remaining) = &mut byte_limit {
                piece.truncate(*remaining);
                *remaining -= piece.len();
            }
            if to.write_all(&piece).await.is_err() || byte_limit == Some(0) {
                return;
            }
        }
    };
    tokio::select! {
        // Pieces in transit are forwarded before the other side gets the end of the stream.
        () = async { reading.await; std::future::pending().await } => {}
        () = writing => {}
    }
}

//! A way between two places on loopback that can be slow, uneven, silent in one direction or both, cut, and healed, by
//! command. Bytes keep their order, as on any connection.

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

/// Bytes on the way at most, in pieces: what a socket's buffer would hold.
const PIECE: usize = 16 * 1024;
const PIECES: usize = 64;

/// How the way is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    /// One way.
    pub delay: Duration,
    /// Up to so much more, by chance.
    pub spread: Duration,
    /// Nothing passes there, or back; what is on the way stays.
    pub stalled_there: bool,
    pub stalled_back: bool,
}

impl LinkConditions {
    pub fn of(round_trip: Duration) -> LinkConditions {
        let delay = round_trip / 2;
        LinkConditions { delay, spread: delay / 10, stalled_there: false, stalled_back: false }
    }
}

struct Shared {
    way: Cell<LinkConditions>,
    down: Cell<bool>,
    cut: Notify,
    changed: Notify,
    rng: RefCell<Pcg64>,
    bytes: Cell<u64>,
    /// Of the next connection's bytes there so many pass, then it is cut.
    cut_after: Cell<Option<usize>>,
}

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    shared: Rc<Shared>,
}

impl Link {
    /// From a new address to that one.
    pub async fn start(seed: u64, to: SocketAddr, way: LinkConditions) -> Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            way: Cell::new(way),
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

    pub fn set_conditions(&self, way: LinkConditions) {
        self.shared.way.set(way);
        self.shared.changed.notify_waiters();
    }

    /// All connections end, and none comes up until it is healed.
    pub fn cut(&self) {
        self.shared.down.set(true);
        self.shared.cut.notify_waiters();
    }

    pub fn heal(&self) {
        self.shared.down.set(false);
    }

    /// All connections end; new ones come up.
    pub fn break_now(&self) {
        self.shared.cut.notify_waiters();
    }

    /// Each connection from now on passes so many bytes there, then is cut; none passes all.
    pub fn cut_after(&self, bytes: Option<usize>) {
        self.shared.cut_after.set(bytes);
    }

    pub fn bytes(&self) -> u64 {
        self.shared.bytes.get()
    }
}

async fn connection(shared: &Rc<Shared>, near: TcpStream, to: SocketAddr) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_from, near_to), (far_from, far_to)) = (near.into_split(), far.into_split());
    tokio::select! {
        () = direction(shared, near_from, far_to, |w| w.stalled_there, shared.cut_after.get()) => {}
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
            let way = shared.way.get();
            let more = way.spread.mul_f64(shared.rng.borrow_mut().random::<f64>());
            // Never before what went ahead of it.
            latest = latest.max(Instant::now() + way.delay + more);
            if way_in.send((latest, piece)).await.is_err() {
                return;
            }
        }
    };
    let writing = async {
        while let Some((at, mut piece)) = way_out.recv().await {
            tokio::time::sleep_until(at.into()).await;
            while stalled(&shared.way.get()) {
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
        // What is on the way is through before the other side sees the end.
        () = async { reading.await; std::future::pending().await } => {}
        () = writing => {}
    }
}

//! Where everything meets on the one runtime thread: the exchange, the clock, and the bell that calls for a turn.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::resource_split;
use tokio::sync::Notify;

use crate::exchange::{Exchange, ReplicaTransport};
use crate::runtime::clock::Clock;
use crate::runtime::counters::Counters;

pub struct EventLoop {
    pub clock: Clock,
    pub counters: Counters,
    pub replica_connections: ConnectionLimiter,
    exchange: RefCell<Exchange>,
    wakeup: Notify,
    /// When something was last told, and whether that was long after what came before.
    last_update: Cell<Timestamp>,
    stalled: Cell<bool>,
}

/// Where nothing was told for longer than this the process may have stood still, and more may lie in its sockets: half of
/// the 0.1 s after a client's leaving in which a call may still begin.
const STALL_THRESHOLD: TimeSpan = TimeSpan::from_millis(50);
/// Turns of the runtime until what lay in the sockets has been told: the connection reads, the front says, the exchange is
/// told.
const SCHEDULER_PASSES: u32 = 3;

/// Sockets of all sides together: the number told, and what of it is open, here and at another process of this one.
#[derive(Default)]
struct SharedLimit {
    all: usize,
    open: Cell<usize>,
    elsewhere: Cell<usize>,
    freed: Notify,
    wanted: Notify,
}

impl SharedLimit {
    fn available(&self) -> usize {
        self.all.saturating_sub(self.open.get() + self.elsewhere.get())
    }
}

/// Sockets open of one side, of the number that it may hold at most; the sides' sums may be more than there are, since
/// what one does not need the other may use.
#[derive(Clone)]
pub struct ConnectionLimiter {
    all: usize,
    most: Rc<Cell<usize>>,
    open: Rc<Cell<usize>>,
    elsewhere: Rc<Cell<usize>>,
    pool: Rc<SharedLimit>,
}

/// One socket's place; given back when dropped.
pub struct ConnectionPermit(Rc<Cell<usize>>, Rc<SharedLimit>);

impl ConnectionLimiter {
    /// One side alone.
    pub fn new(most: usize) -> ConnectionLimiter {
        ConnectionLimiter::of(Rc::new(SharedLimit { all: most, ..SharedLimit::default() }), most)
    }

    /// Two sides that share so many: a third is each one's own, the last third whoever's needs it. Guards against replicas
    /// held to be out of reach for want of a socket that no client needed: with 512 told and 200 replicas, a third is too few.
    pub fn shared(all: usize) -> (ConnectionLimiter, ConnectionLimiter) {
        let pool = Rc::new(SharedLimit { all, ..SharedLimit::default() });
        let side = || ConnectionLimiter::of(pool.clone(), all - all / 3);
        (side(), side())
    }

    fn of(pool: Rc<SharedLimit>, all: usize) -> ConnectionLimiter {
        let (most, open, elsewhere) = (Rc::new(Cell::new(all)), Rc::default(), Rc::default());
        ConnectionLimiter { all, most, open, elsewhere, pool }
    }

    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        (self.available() > 0).then(|| self.acquire_adopted())
    }

    /// For a socket that is open already, as another process had it: it counts even where that is too many.
    pub fn acquire_adopted(&self) -> ConnectionPermit {
        self.open.set(self.open() + 1);
        self.pool.open.set(self.pool.open.get() + 1);
        ConnectionPermit(self.open.clone(), self.pool.clone())
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    pub fn limit(&self) -> usize {
        self.most.get()
    }

    /// Where another process holds some of them. What is open over that stays.
    pub fn set_limit(&self, most: usize) {
        self.most.set(most);
        self.pool.freed.notify_waiters();
    }

    /// The other process holds so many of them.
    pub fn reserve_for_peer(&self, open: usize) {
        let before = self.elsewhere.replace(open);
        self.pool.elsewhere.set(self.pool.elsewhere.get() + open - before);
        self.set_limit(resource_split::split_connections(self.all, open).successor);
    }

    /// There is no other process.
    pub fn clear_peer_reservation(&self) {
        self.reserve_for_peer(0);
    }

    /// Places left for this side.
    pub fn available(&self) -> usize {
        self.limit().saturating_sub(self.open()).min(self.pool.available())
    }

    /// Ends when a place was given back, by whichever side, after this was called.
    pub fn released(&self) -> impl Future<Output = ()> + use<'_> {
        self.pool.freed.notified()
    }

    /// This side would have more places, if another gave them back.
    pub fn request_release(&self) {
        self.pool.wanted.notify_one();
    }

    /// Ends when another side wants places back and this one holds more than its own third.
    pub async fn release_requested(&self) {
        loop {
            self.pool.wanted.notified().await;
            if self.open() > self.pool.all / 3 {
                return;
            }
        }
    }

    /// A place, as soon as there is one.
    pub async fn acquire(&self) -> ConnectionPermit {
        loop {
            let freed = self.released();
            match self.try_acquire() {
                Some(place) => return place,
                None => freed.await,
            }
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
        self.1.open.set(self.1.open.get() - 1);
        self.1.freed.notify_waiters();
    }
}

impl EventLoop {
    pub fn new(
        clock: Clock,
        counters: Counters,
        replica_connections: ConnectionLimiter,
        exchange: Exchange,
    ) -> EventLoop {
        let (last_update, stalled) = (Cell::new(clock.now()), Cell::default());
        EventLoop {
            clock,
            counters,
            replica_connections,
            exchange: RefCell::new(exchange),
            wakeup: Notify::new(),
            last_update,
            stalled,
        }
    }

    /// Tells the exchange of something that happened, and sees to it that a turn follows.
    pub fn update<R>(&self, what: impl FnOnce(&mut Exchange) -> R) -> R {
        let now = self.clock.now();
        self.stalled.set(self.stalled.get() || now - self.last_update.replace(now) > STALL_THRESHOLD);
        let mut exchange = self.exchange.borrow_mut();
        exchange.set_now(now);
        let last_update = what(&mut exchange);
        if !exchange.has_no_events() {
            self.wakeup.notify_one();
        }
        last_update
    }

    pub fn read<R>(&self, what: impl FnOnce(&Exchange) -> R) -> R {
        what(&self.exchange.borrow())
    }

    /// To be waited for before anything is begun for a client. Guards against a call begun for one that left while the
    /// process stood still: its leaving lies unread beside what calls for the call.
    pub async fn catch_up(&self) {
        if !self.stalled.get() && self.clock.now() - self.last_update.get() <= STALL_THRESHOLD {
            return;
        }
        for _ in 0..SCHEDULER_PASSES {
            tokio::task::yield_now().await;
        }
        // Only now. Guards against a second who asks meanwhile, while the first still waits: its call began for a client that
        // had left.
        self.last_update.set(self.clock.now());
        self.stalled.set(false);
    }

    /// Takes turns for ever. What happens within one `tick` shares a turn, as the module is used to: the first
    /// event after a pause is handled at once.
    pub async fn run(&self, tick: TimeSpan, transport: &RefCell<dyn ReplicaTransport>) {
        let mut earliest = Timestamp::default();
        loop {
            let due = if self.read(Exchange::has_no_events) {
                self.read(Exchange::next_due)
            } else {
                Some(Timestamp::default())
            };
            match due {
                Some(due) => tokio::select! {
                    () = self.wakeup.notified() => {}
                    () = tokio::time::sleep_until(self.clock.instant(due)) => {}
                },
                None => self.wakeup.notified().await,
            }
            tokio::time::sleep_until(self.clock.instant(earliest)).await;
            self.catch_up().await;
            let now = self.clock.now();
            earliest = now + tick;
            self.exchange.borrow_mut().run_batch(now, &mut *transport.borrow_mut());
        }
    }
}

#[cfg(test)]
mod tests;

//! Where everything meets on the one runtime thread: the exchange, the clock, and the bell that calls for a turn.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::division;
use tokio::sync::Notify;

use crate::exchange::{Exchange, ReplicaTransport};
use crate::runtime::clock::Clock;
use crate::runtime::counters::Counters;

pub struct EventLoop {
    pub clock: Clock,
    pub counters: Counters,
    pub sockets: ConnectionLimiter,
    exchange: RefCell<Exchange>,
    bell: Notify,
    /// When something was last told, and whether that was long after what came before.
    told: Cell<Timestamp>,
    late: Cell<bool>,
}

/// Where nothing was told for longer than this the process may have stood still, and more may lie in its sockets: half of
/// the 0.1 s after a client's leaving in which a call may still begin.
const LATE: TimeSpan = TimeSpan::from_millis(50);
/// Turns of the runtime until what lay in the sockets has been told: the connection reads, the front says, the exchange is
/// told.
const HOPS: u32 = 3;

/// Sockets of all sides together: the number told, and what of it is open, here and at another process of this one.
#[derive(Default)]
struct Pool {
    all: usize,
    open: Cell<usize>,
    elsewhere: Cell<usize>,
    freed: Notify,
    wanted: Notify,
}

impl Pool {
    fn free(&self) -> usize {
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
    pool: Rc<Pool>,
}

/// One socket's place; given back when dropped.
pub struct ConnectionPermit(Rc<Cell<usize>>, Rc<Pool>);

impl ConnectionLimiter {
    /// One side alone.
    pub fn new(most: usize) -> ConnectionLimiter {
        ConnectionLimiter::of(Rc::new(Pool { all: most, ..Pool::default() }), most)
    }

    /// Two sides that share so many: a third is each one's own, the last third whoever's needs it. Guards against replicas
    /// held to be out of reach for want of a socket that no client needed: with 512 told and 200 replicas, a third is too few.
    pub fn shared(all: usize) -> (ConnectionLimiter, ConnectionLimiter) {
        let pool = Rc::new(Pool { all, ..Pool::default() });
        let side = || ConnectionLimiter::of(pool.clone(), all - all / 3);
        (side(), side())
    }

    fn of(pool: Rc<Pool>, all: usize) -> ConnectionLimiter {
        let (most, open, elsewhere) = (Rc::new(Cell::new(all)), Rc::default(), Rc::default());
        ConnectionLimiter { all, most, open, elsewhere, pool }
    }

    pub fn place(&self) -> Option<ConnectionPermit> {
        (self.free() > 0).then(|| self.place_taken_over())
    }

    /// For a socket that is open already, as another process had it: it counts even where that is too many.
    pub fn place_taken_over(&self) -> ConnectionPermit {
        self.open.set(self.open() + 1);
        self.pool.open.set(self.pool.open.get() + 1);
        ConnectionPermit(self.open.clone(), self.pool.clone())
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    pub fn most(&self) -> usize {
        self.most.get()
    }

    /// Where another process holds some of them. What is open over that stays.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
        self.pool.freed.notify_waiters();
    }

    /// The other process holds so many of them.
    pub fn leave_to_other(&self, open: usize) {
        let before = self.elsewhere.replace(open);
        self.pool.elsewhere.set(self.pool.elsewhere.get() + open - before);
        self.set_most(division::sockets_for_new(self.all, open));
    }

    /// There is no other process.
    pub fn set_all(&self) {
        self.leave_to_other(0);
    }

    /// Places left for this side.
    pub fn free(&self) -> usize {
        self.most().saturating_sub(self.open()).min(self.pool.free())
    }

    /// Ends when a place was given back, by whichever side, after this was called.
    pub fn freed(&self) -> impl Future<Output = ()> + use<'_> {
        self.pool.freed.notified()
    }

    /// This side would have more places, if another gave them back.
    pub fn want(&self) {
        self.pool.wanted.notify_one();
    }

    /// Ends when another side wants places back and this one holds more than its own third.
    pub async fn wanted_back(&self) {
        loop {
            self.pool.wanted.notified().await;
            if self.open() > self.pool.all / 3 {
                return;
            }
        }
    }

    /// A place, as soon as there is one.
    pub async fn next_place(&self) -> ConnectionPermit {
        loop {
            let freed = self.freed();
            match self.place() {
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
        sockets: ConnectionLimiter,
        exchange: Exchange,
    ) -> EventLoop {
        let (told, late) = (Cell::new(clock.now()), Cell::default());
        EventLoop {
            clock,
            counters,
            sockets,
            exchange: RefCell::new(exchange),
            bell: Notify::new(),
            told,
            late,
        }
    }

    /// Tells the exchange of something that happened, and sees to it that a turn follows.
    pub fn tell<R>(&self, what: impl FnOnce(&mut Exchange) -> R) -> R {
        let now = self.clock.now();
        self.late.set(self.late.get() || now - self.told.replace(now) > LATE);
        let mut exchange = self.exchange.borrow_mut();
        exchange.now_is(now);
        let told = what(&mut exchange);
        if !exchange.idle() {
            self.bell.notify_one();
        }
        told
    }

    pub fn ask<R>(&self, what: impl FnOnce(&Exchange) -> R) -> R {
        what(&self.exchange.borrow())
    }

    /// To be waited for before anything is begun for a client. Guards against a call begun for one that left while the
    /// process stood still: its leaving lies unread beside what calls for the call.
    pub async fn catch_up(&self) {
        if !self.late.get() && self.clock.now() - self.told.get() <= LATE {
            return;
        }
        for _ in 0..HOPS {
            tokio::task::yield_now().await;
        }
        // Only now. Guards against a second who asks meanwhile, while the first still waits: its call began for a client that
        // had left.
        self.told.set(self.clock.now());
        self.late.set(false);
    }

    /// Takes turns for ever. What happens within one `tick` shares a turn, as the module is used to: the first
    /// event after a pause is handled at once.
    pub async fn take_turns(&self, tick: TimeSpan, transport: &RefCell<dyn ReplicaTransport>) {
        let mut earliest = Timestamp::default();
        loop {
            let due = if self.ask(Exchange::idle) {
                self.ask(Exchange::next_turn)
            } else {
                Some(Timestamp::default())
            };
            match due {
                Some(due) => tokio::select! {
                    () = self.bell.notified() => {}
                    () = tokio::time::sleep_until(self.clock.instant(due)) => {}
                },
                None => self.bell.notified().await,
            }
            tokio::time::sleep_until(self.clock.instant(earliest)).await;
            self.catch_up().await;
            let now = self.clock.now();
            earliest = now + tick;
            self.exchange.borrow_mut().turn(now, &mut *transport.borrow_mut());
        }
    }
}

#[cfg(test)]
mod tests;

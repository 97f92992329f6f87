//! Limits of open connections, shared by the replica side and the client side.

use std::cell::Cell;
use std::rc::Rc;

use pipitcrank_handover::resource_split;
use tokio::sync::Notify;

/// Of all connections, one in so many is reserved for each side; the rest goes to whichever side needs it.
const RESERVED_ONE_IN: usize = 3;

/// Connections of all sides together.
#[derive(Default)]
struct SharedLimit {
    capacity: usize,
    open: Cell<usize>,
    /// Open at another process of this coordinator.
    open_in_peer: Cell<usize>,
    released: Notify,
    release_requested: Notify,
}

impl SharedLimit {
    fn available(&self) -> usize {
        self.capacity.saturating_sub(self.open.get() + self.open_in_peer.get())
    }
}

/// Limits the open connections of one side. The limits of both sides may sum to more than the capacity, since what one
/// side does not need the other may use.
#[derive(Clone)]
pub struct ConnectionLimiter {
    capacity: usize,
    limit: Rc<Cell<usize>>,
    open: Rc<Cell<usize>>,
    open_in_peer: Rc<Cell<usize>>,
    shared: Rc<SharedLimit>,
}

/// The right to hold one connection open; given back when dropped.
pub struct ConnectionPermit {
    open: Rc<Cell<usize>>,
    shared: Rc<SharedLimit>,
}

impl ConnectionLimiter {
    /// A limiter of one side alone.
    pub fn new(limit: usize) -> ConnectionLimiter {
        ConnectionLimiter::of(Rc::new(SharedLimit { capacity: limit, ..SharedLimit::default() }), limit)
    }

    /// Two sides that share a capacity: a third is reserved for each, the last third goes to whichever needs it.
    pub fn shared(capacity: usize) -> (ConnectionLimiter, ConnectionLimiter) {
        let shared = Rc::new(SharedLimit { capacity, ..SharedLimit::default() });
        let side = || ConnectionLimiter::of(shared.clone(), capacity - capacity / RESERVED_ONE_IN);
        (side(), side())
    }

    fn of(shared: Rc<SharedLimit>, capacity: usize) -> ConnectionLimiter {
        ConnectionLimiter {
            capacity,
            limit: Rc::new(Cell::new(capacity)),
            open: Rc::default(),
            open_in_peer: Rc::default(),
            shared,
        }
    }

    /// A permit, if one is available now.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        (self.available() > 0).then(|| self.acquire_adopted())
    }

    /// A permit for a connection that another process had open: it is granted even beyond the limit.
    pub fn acquire_adopted(&self) -> ConnectionPermit {
        self.open.set(self.open() + 1);
        self.shared.open.set(self.shared.open.get() + 1);
        ConnectionPermit { open: self.open.clone(), shared: self.shared.clone() }
    }

    /// A permit, as soon as one is available.
    pub async fn acquire(&self) -> ConnectionPermit {
        loop {
            let released = self.released();
            match self.try_acquire() {
                Some(permit) => return permit,
                None => released.await,
            }
        }
    }

    /// Connections of this side that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Most connections that this side may hold open.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Sets the limit; connections open beyond it stay.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.shared.released.notify_waiters();
    }

    /// Another process of this coordinator holds so many connections of this side.
    pub fn reserve_for_peer(&self, open: usize) {
        let before = self.open_in_peer.replace(open);
        self.shared.open_in_peer.set(self.shared.open_in_peer.get() + open - before);
        self.set_limit(resource_split::split_connections(self.capacity, open).successor);
    }

    /// There is no other process.
    pub fn clear_peer_reservation(&self) {
        self.reserve_for_peer(0);
    }

    /// Permits that this side could acquire now.
    pub fn available(&self) -> usize {
        self.limit().saturating_sub(self.open()).min(self.shared.available())
    }

    /// Ends when a permit is given back, by whichever side, after this was called.
    pub fn released(&self) -> impl Future<Output = ()> + use<'_> {
        self.shared.released.notified()
    }

    /// Asks the other side to give permits back that it does not need.
    pub fn request_release(&self) {
        self.shared.release_requested.notify_one();
    }

    /// Ends when another side asks for permits and this one holds more than is reserved for it.
    pub async fn release_requested(&self) {
        loop {
            self.shared.release_requested.notified().await;
            if self.open() > self.shared.capacity / RESERVED_ONE_IN {
                return;
            }
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        self.shared.open.set(self.shared.open.get() - 1);
        self.shared.released.notify_waiters();
    }
}

#[cfg(test)]
mod tests;

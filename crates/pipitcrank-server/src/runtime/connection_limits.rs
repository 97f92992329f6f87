//! Limits of open connections, shared by the replica side and the client side of a process.

use std::cell::Cell;
use std::rc::Rc;

use pipitcrank_handover::resource_split;
use tokio::sync::Notify;

/// Each side has one in this many connections reserved; either side may use the rest.
const RESERVED_ONE_IN: usize = 3;

/// The connections of both sides together.
#[derive(Default)]
struct SharedLimit {
    capacity: usize,
    open: Cell<usize>,
    /// Connections open in the other process of an upgrade.
    open_in_peer: Cell<usize>,
    released: Notify,
    release_requested: Notify,
}

impl SharedLimit {
    fn available(&self) -> usize {
        self.capacity.saturating_sub(self.open.get() + self.open_in_peer.get())
    }
}

/// Limits the open connections of one side. The limits of both sides may sum to more than the capacity, since each side may
/// use what the other does not need.
#[derive(Clone)]
pub struct ConnectionLimiter {
    capacity: usize,
    limit: Rc<Cell<usize>>,
    open: Rc<Cell<usize>>,
    open_in_peer: Rc<Cell<usize>>,
    shared: Rc<SharedLimit>,
}

/// Permit to hold one connection open; released when dropped.
pub struct ConnectionPermit {
    open: Rc<Cell<usize>>,
    shared: Rc<SharedLimit>,
}

impl ConnectionLimiter {
    /// Creates a limiter whose capacity is not shared.
    pub fn new(limit: usize) -> ConnectionLimiter {
        ConnectionLimiter::of(Rc::new(SharedLimit { capacity: limit, ..SharedLimit::default() }), limit)
    }

    /// Creates the limiters of two sides that share a capacity: a third is reserved for each, and either may use the last
    /// third.
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

    /// Acquires a permit if one is available now.
    pub fn try_acquire(&self) -> Option<ConnectionPermit> {
        (self.available() > 0).then(|| self.acquire_adopted())
    }

    /// Acquires a permit for a connection received from another process; it is granted even beyond the limit.
    pub fn acquire_adopted(&self) -> ConnectionPermit {
        self.open.set(self.open() + 1);
        self.shared.open.set(self.shared.open.get() + 1);
        ConnectionPermit { open: self.open.clone(), shared: self.shared.clone() }
    }

    /// Acquires a permit, waiting until one is available.
    pub async fn acquire(&self) -> ConnectionPermit {
        loop {
            let released = self.released();
            match self.try_acquire() {
                Some(permit) => return permit,
                None => released.await,
            }
        }
    }

    /// Number of open connections of this side.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Maximum number of open connections of this side.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Sets the limit; connections already open beyond it stay open.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.shared.released.notify_waiters();
    }

    /// Reserves capacity for the connections of this side that the other process of an upgrade holds open.
    pub fn reserve_for_peer(&self, open: usize) {
        let before = self.open_in_peer.replace(open);
        self.shared.open_in_peer.set(self.shared.open_in_peer.get() + open - before);
        self.set_limit(resource_split::split_connections(self.capacity, open).successor);
    }

    /// Releases the capacity reserved for another process.
    pub fn clear_peer_reservation(&self) {
        self.reserve_for_peer(0);
    }

    /// Number of permits that this side could acquire now.
    pub fn available(&self) -> usize {
        self.limit().saturating_sub(self.open()).min(self.shared.available())
    }

    /// Completes when either side releases a permit after this call.
    pub fn released(&self) -> impl Future<Output = ()> + use<'_> {
        self.shared.released.notified()
    }

    /// Requests the other side to release permits that it does not need.
    pub fn request_release(&self) {
        self.shared.release_requested.notify_one();
    }

    /// Completes when the other side requests permits and this side holds more than its reserved share.
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

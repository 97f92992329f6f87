//! The event loop of the one runtime thread: it gives access to the exchange and runs a batch when one is due.

use std::cell::{Cell, RefCell};

use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::sync::Notify;

use crate::exchange::{Exchange, ReplicaTransport};
use crate::runtime::clock::Clock;
use crate::runtime::connection_limits::ConnectionLimiter;
use crate::runtime::counters::Counters;

/// After a gap between two updates that is longer than this the process may have stalled, and unread events may lie in its
/// sockets: half of the 0.1 s after a client's close in which an attempt may still begin.
const STALL_THRESHOLD: TimeSpan = TimeSpan::from_millis(50);
/// Scheduler passes until what lay in the sockets has reached the exchange: connection, HTTP service, exchange.
const SCHEDULER_PASSES: u32 = 3;

/// The exchange, the clock and what is shared by all tasks of the runtime thread.
pub struct EventLoop {
    /// The process's clock.
    pub clock: Clock,
    /// The counters that `/counters` shows.
    pub counters: Counters,
    /// Limits the connections to replicas.
    pub replica_connections: ConnectionLimiter,
    exchange: RefCell<Exchange>,
    wakeup: Notify,
    last_update: Cell<Timestamp>,
    /// An update came long after the one before it, and nobody has caught up since.
    stalled: Cell<bool>,
}

impl EventLoop {
    /// An event loop around an exchange; `run` has to be polled for batches to happen.
    pub fn new(
        clock: Clock,
        counters: Counters,
        replica_connections: ConnectionLimiter,
        exchange: Exchange,
    ) -> EventLoop {
        let last_update = Cell::new(clock.now());
        EventLoop {
            clock,
            counters,
            replica_connections,
            exchange: RefCell::new(exchange),
            wakeup: Notify::new(),
            last_update,
            stalled: Cell::default(),
        }
    }

    /// Gives access to the exchange, at the present time; a batch follows if that left events.
    pub fn update<R>(&self, access: impl FnOnce(&mut Exchange) -> R) -> R {
        let now = self.clock.now();
        self.stalled.set(self.stalled.get() || now - self.last_update.replace(now) > STALL_THRESHOLD);
        let mut exchange = self.exchange.borrow_mut();
        exchange.set_now(now);
        let result = access(&mut exchange);
        if !exchange.has_no_events() {
            self.wakeup.notify_one();
        }
        result
    }

    /// Gives read-only access to the exchange.
    pub fn read<R>(&self, access: impl FnOnce(&Exchange) -> R) -> R {
        access(&self.exchange.borrow())
    }

    /// To be awaited before anything is begun for a client. After a stall the client's close may lie unread in its socket
    /// beside the event that asks for the attempt; this lets the sockets be read first.
    pub async fn yield_after_stall(&self) {
        if !self.stalled.get() && self.clock.now() - self.last_update.get() <= STALL_THRESHOLD {
            return;
        }
        for _ in 0..SCHEDULER_PASSES {
            tokio::task::yield_now().await;
        }
        // Only now: a second caller that comes while the first one waits has to wait as well.
        self.last_update.set(self.clock.now());
        self.stalled.set(false);
    }

    /// Runs batches for ever. Events within one `tick` share a batch; the first event after a pause is handled at once.
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
            self.yield_after_stall().await;
            let now = self.clock.now();
            earliest = now + tick;
            self.exchange.borrow_mut().run_batch(now, &mut *transport.borrow_mut());
        }
    }
}

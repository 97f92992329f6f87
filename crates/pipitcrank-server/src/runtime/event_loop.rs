//! The event loop of the runtime's only thread: it provides access to the exchange and runs a batch when one is due.

use std::cell::{Cell, RefCell};

use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::sync::Notify;

use crate::exchange::{Exchange, ReplicaTransport};
use crate::runtime::clock::Clock;
use crate::runtime::connection_limits::ConnectionLimiter;
use crate::runtime::counters::Counters;
use crate::runtime::memory_budget::MemoryBudget;
use crate::runtime::memory_plan::MemoryPlan;

/// Longest gap between two updates that does not count as a stall; after a stall, sockets may hold unread events. The value
/// is half of the 0.1 s after a client's close within which an attempt may still begin.
const STALL_THRESHOLD: TimeSpan = TimeSpan::from_millis(50);
/// Scheduler passes that input takes from a socket to the exchange: connection, HTTP service, exchange.
const SCHEDULER_PASSES: u32 = 3;

/// The exchange and the other state shared by all tasks of the runtime thread.
pub struct EventLoop {
    /// The process's clock.
    pub clock: Clock,
    /// The counters served at `/counters`.
    pub counters: Counters,
    /// Limits the connections to replicas.
    pub replica_connections: ConnectionLimiter,
    /// Limits the memory kept for clients and replicas.
    pub memory: MemoryBudget,
    /// Maximum length of an endpoint list, in bytes.
    pub max_list_bytes: usize,
    exchange: RefCell<Exchange>,
    wakeup: Notify,
    last_update: Cell<Timestamp>,
    /// Whether a stall was detected since `yield_after_stall` last completed.
    stalled: Cell<bool>,
}

impl EventLoop {
    /// Creates the event loop of an exchange; batches happen only while `run` is polled.
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
            memory: MemoryBudget::unlimited(),
            max_list_bytes: usize::MAX,
            exchange: RefCell::new(exchange),
            wakeup: Notify::new(),
            last_update,
            stalled: Cell::default(),
        }
    }

    /// Applies the memory limits of the plan.
    pub fn with_memory_plan(mut self, plan: &MemoryPlan) -> EventLoop {
        self.memory = MemoryBudget::new(plan);
        self.max_list_bytes = plan.list_bytes;
        self.exchange.get_mut().set_memory_budget(self.memory.clone());
        self
    }

    /// Accesses the exchange at the current time, and wakes up `run` if there are events to process.
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

    /// Accesses the exchange for reading.
    pub fn read<R>(&self, access: impl FnOnce(&Exchange) -> R) -> R {
        access(&self.exchange.borrow())
    }

    /// Lets the sockets be read first after a stall. Must be awaited before work is started for a client, since the
    /// client's close may be unread while an earlier event already requests an attempt.
    pub async fn yield_after_stall(&self) {
        if !self.stalled.get() && self.clock.now() - self.last_update.get() <= STALL_THRESHOLD {
            return;
        }
        for _ in 0..SCHEDULER_PASSES {
            tokio::task::yield_now().await;
        }
        // Set after the passes, so that a second caller in the meantime waits as well.
        self.last_update.set(self.clock.now());
        self.stalled.set(false);
    }

    /// Runs batches forever. Events within one `tick` share a batch; the first event after a pause is processed at once.
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

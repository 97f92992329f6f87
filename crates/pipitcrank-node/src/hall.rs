//! Where everything meets on the one runtime thread: the exchange, the clock, and the bell that calls for a turn.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pipitcrank::time::{At, Span};
use pipitcrank_handover::division;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::counters::Counters;
use crate::exchange::{Exchange, LeafSide};

pub struct Hall {
    pub clock: Clock,
    pub counters: Counters,
    pub sockets: Sockets,
    exchange: RefCell<Exchange>,
    bell: Notify,
}

/// Sockets open, of the number that this side may hold at most.
#[derive(Clone)]
pub struct Sockets {
    all: usize,
    most: Rc<Cell<usize>>,
    open: Rc<(Cell<usize>, Notify)>,
}

/// One socket's place; given back when dropped.
pub struct Place(Rc<(Cell<usize>, Notify)>);

impl Sockets {
    pub fn new(most: usize) -> Sockets {
        Sockets { all: most, most: Rc::new(Cell::new(most)), open: Rc::default() }
    }

    pub fn place(&self) -> Option<Place> {
        (self.open() < self.most()).then(|| self.place_taken_over())
    }

    /// For a socket that is open already, as another process had it: it counts even where that is too many.
    pub fn place_taken_over(&self) -> Place {
        self.open.0.set(self.open() + 1);
        Place(self.open.clone())
    }

    pub fn open(&self) -> usize {
        self.open.0.get()
    }

    pub fn most(&self) -> usize {
        self.most.get()
    }

    /// Where another process holds some of them. What is open over that stays.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
        self.open.1.notify_one();
    }

    /// The other process holds so many of them.
    pub fn leave_to_other(&self, open: usize) {
        self.set_most(division::sockets_for_new(self.all, open));
    }

    /// There is no other process.
    pub fn set_all(&self) {
        self.set_most(self.all);
    }

    pub fn free(&self) -> usize {
        self.most().saturating_sub(self.open())
    }

    /// Ends when a place was given back.
    pub async fn freed(&self) {
        self.open.1.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
        self.0.1.notify_one();
    }
}

impl Hall {
    pub fn new(clock: Clock, counters: Counters, sockets: Sockets, exchange: Exchange) -> Hall {
        Hall { clock, counters, sockets, exchange: RefCell::new(exchange), bell: Notify::new() }
    }

    /// Tells the exchange of something that happened, and sees to it that a turn follows.
    pub fn tell<R>(&self, what: impl FnOnce(&mut Exchange) -> R) -> R {
        let mut exchange = self.exchange.borrow_mut();
        let told = what(&mut exchange);
        if !exchange.idle() {
            self.bell.notify_one();
        }
        told
    }

    pub fn ask<R>(&self, what: impl FnOnce(&Exchange) -> R) -> R {
        what(&self.exchange.borrow())
    }

    /// Takes turns for ever. What happens within one `tick` shares a turn, as the module is used to: the first
    /// event after a pause is handled at once.
    pub async fn take_turns(&self, tick: Span, leaf_side: &RefCell<dyn LeafSide>) {
        let mut earliest = At::default();
        loop {
            let due =
                if self.ask(Exchange::idle) { self.ask(Exchange::next_turn) } else { Some(At::default()) };
            match due {
                Some(due) => tokio::select! {
                    () = self.bell.notified() => {}
                    () = tokio::time::sleep_until(self.clock.instant(due)) => {}
                },
                None => self.bell.notified().await,
            }
            tokio::time::sleep_until(self.clock.instant(earliest)).await;
            let now = self.clock.now();
            earliest = now + tick;
            self.exchange.borrow_mut().turn(now, &mut *leaf_side.borrow_mut());
        }
    }
}

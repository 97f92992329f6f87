//! Periods during which a condition held, on the clock of the soak test.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Instant;

/// A period during which a condition held.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    /// Start of the period.
    pub from: Instant,
    /// End of the period; `None` while it lasts.
    pub to: Option<Instant>,
}

impl Period {
    fn starting_now() -> Period {
        Period { from: Instant::now(), to: None }
    }
}

/// Periods of one condition.
#[derive(Default)]
pub struct Periods(RefCell<Vec<Period>>);

impl Periods {
    /// Starts a period now.
    pub fn begin(&self) {
        self.0.borrow_mut().push(Period::starting_now());
    }

    /// Ends the latest open period now.
    pub fn end(&self) {
        if let Some(last) = self.0.borrow_mut().iter_mut().rev().find(|period| period.to.is_none()) {
            last.to = Some(Instant::now());
        }
    }

    /// Whether any period overlaps the time from `from` to `to`.
    pub fn overlap(&self, from: Instant, to: Instant) -> bool {
        self.0.borrow().iter().any(|period| period.from <= to && period.to.is_none_or(|end| end >= from))
    }

    /// All periods, in the order of their start.
    pub fn all(&self) -> Vec<Period> {
        self.0.borrow().clone()
    }
}

/// Periods of one condition, each for one replica.
#[derive(Default)]
pub struct ReplicaPeriods(RefCell<Vec<(SocketAddr, Period)>>);

impl ReplicaPeriods {
    /// Starts a period of the replica now.
    pub fn begin(&self, replica: SocketAddr) {
        self.0.borrow_mut().push((replica, Period::starting_now()));
    }

    /// Ends the earliest open period of the replica now.
    pub fn end_first(&self, replica: SocketAddr) {
        let mut periods = self.0.borrow_mut();
        if let Some((_, period)) =
            periods.iter_mut().find(|(of, period)| *of == replica && period.to.is_none())
        {
            period.to = Some(Instant::now());
        }
    }

    /// Ends the latest open period of the replica now.
    pub fn end_last(&self, replica: SocketAddr) {
        let mut periods = self.0.borrow_mut();
        let is_open = |(of, period): &&mut (SocketAddr, Period)| *of == replica && period.to.is_none();
        if let Some((_, period)) = periods.iter_mut().rev().find(is_open) {
            period.to = Some(Instant::now());
        }
    }

    /// Ends all open periods of the replica at the given time.
    pub fn end_all(&self, replica: SocketAddr, at: Instant) {
        for (_, period) in self.0.borrow_mut().iter_mut().filter(|(of, _)| *of == replica) {
            period.to = period.to.or(Some(at));
        }
    }

    /// Whether any period of that replica satisfies the condition.
    pub fn any(&self, replica: SocketAddr, condition: impl Fn(Period) -> bool) -> bool {
        self.0.borrow().iter().any(|(of, period)| *of == replica && condition(*period))
    }
}

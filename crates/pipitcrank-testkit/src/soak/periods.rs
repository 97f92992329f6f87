//! Periods in which something held, on the clock of the soak test.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Instant;

/// A period; without an end while it lasts.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Option<Instant>,
}

impl Period {
    fn starting_now() -> Period {
        Period { from: Instant::now(), to: None }
    }
}

/// Periods of one kind.
#[derive(Default)]
pub struct Periods(RefCell<Vec<Period>>);

impl Periods {
    /// One begins now.
    pub fn begin(&self) {
        self.0.borrow_mut().push(Period::starting_now());
    }

    /// The last one that lasts ends now.
    pub fn end(&self) {
        if let Some(last) = self.0.borrow_mut().iter_mut().rev().find(|period| period.to.is_none()) {
            last.to = Some(Instant::now());
        }
    }

    /// Whether any of them overlaps the time between.
    pub fn overlap(&self, from: Instant, to: Instant) -> bool {
        self.0.borrow().iter().any(|period| period.from <= to && period.to.is_none_or(|end| end >= from))
    }

    /// All of them, in the order of their beginning.
    pub fn all(&self) -> Vec<Period> {
        self.0.borrow().clone()
    }
}

/// Periods of one kind, each of one replica.
#[derive(Default)]
pub struct ReplicaPeriods(RefCell<Vec<(SocketAddr, Period)>>);

impl ReplicaPeriods {
    /// One of that replica begins now.
    pub fn begin(&self, replica: SocketAddr) {
        self.0.borrow_mut().push((replica, Period::starting_now()));
    }

    /// The first of that replica that lasts ends now.
    pub fn end_first(&self, replica: SocketAddr) {
        let mut periods = self.0.borrow_mut();
        if let Some((_, period)) =
            periods.iter_mut().find(|(of, period)| *of == replica && period.to.is_none())
        {
            period.to = Some(Instant::now());
        }
    }

    /// The last of that replica that lasts ends now.
    pub fn end_last(&self, replica: SocketAddr) {
        let mut periods = self.0.borrow_mut();
        let lasting = |(of, period): &&mut (SocketAddr, Period)| *of == replica && period.to.is_none();
        if let Some((_, period)) = periods.iter_mut().rev().find(lasting) {
            period.to = Some(Instant::now());
        }
    }

    /// All of that replica that last ended at that time.
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

//! Slow start: how much work may go to a replica that has just started (rule 10).

use std::collections::VecDeque;

use crate::rng::Rng;
use crate::time::{TimeSpan, Timestamp};

/// What this co-ordinator may send to a replica that has just started.
#[derive(Clone, Debug, Default)]
pub struct SlowStartConfig {
    /// Fraction of its capacity that a replica has at its start.
    pub initial_capacity: f64,
    /// Time in which the capacity rises to all of it.
    pub warm_up: TimeSpan,
    /// Multiple of its capacity that a replica bears.
    pub overload_factor: f64,
    /// Length of the sliding window over which work sent is counted.
    pub window: TimeSpan,
    /// How many co-ordinators there are, this one counted.
    pub coordinators: u32,
}

/// Work sent to a replica during slow start.
#[derive(Clone, Copy)]
pub(super) struct SlowStartSend {
    pub(super) at: Timestamp,
    pub(super) work: f64,
}

/// The random threshold of one window: the fraction of a part for which there has to be room.
enum Threshold {
    Drawn(f64),
    /// Not needed yet; the windows that have passed without one.
    Pending {
        idle_windows: f64,
    },
}

/// The slow-start budget.
pub(super) struct SlowStart {
    pub(super) config: SlowStartConfig,
    /// Nothing goes to replicas warming up before then: another process has the budget, or had it.
    closed_until: Timestamp,
    /// Until then some replica may be warming up.
    warming_until: Timestamp,
    window_began: Timestamp,
    threshold: Threshold,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart {
            config: SlowStartConfig::default(),
            closed_until: Timestamp::default(),
            warming_until: Timestamp::default(),
            window_began: Timestamp::default(),
            threshold: Threshold::Drawn(0.0),
        }
    }
}

impl SlowStart {
    /// Fraction of the budget that is used; the rest is for co-ordinators of uneven load and for small replicas.
    const USED_FRACTION: f64 = 0.8;
    /// Least length of a span that is divided by, in seconds.
    const MIN_SPAN_S: f64 = 1e-6;
    /// Most idle windows whose budget is saved.
    const MAX_IDLE_WINDOWS: f64 = 2.0;

    pub(super) fn new(config: SlowStartConfig) -> SlowStart {
        SlowStart { config, closed_until: Timestamp::from_micros(i64::MIN), ..SlowStart::default() }
    }

    pub(super) fn is_warming_up(&self, started: Option<Timestamp>, now: Timestamp) -> bool {
        started.is_some_and(|t| now - t < self.config.warm_up)
    }

    /// A replica is listed with that start.
    pub(super) fn note_start(&mut self, started: Option<Timestamp>) {
        if let Some(started) = started {
            self.warming_until = self.warming_until.max(started + self.config.warm_up);
        }
    }

    pub(super) fn close(&mut self) {
        self.closed_until = Timestamp::from_micros(i64::MAX);
    }

    /// Opens it again when all that another process may have sent has left the window.
    pub(super) fn reopen(&mut self, now: Timestamp) {
        self.closed_until = now + self.config.window;
    }

    /// Draws the threshold of a new window once some replica may be warming up. Windows without a query lower it: with
    /// hundreds of co-ordinators each is asked in few of them.
    pub(super) fn draw_threshold(&mut self, now: Timestamp, rng: &mut Rng) {
        let window = self.config.window.as_secs_f64().max(Self::MIN_SPAN_S);
        let windows = (now - self.window_began).as_secs_f64() / window;
        if windows > 1.0 {
            self.window_began = now;
            self.threshold = Threshold::Pending { idle_windows: windows.min(Self::MAX_IDLE_WINDOWS) };
        }
        if let Threshold::Pending { idle_windows } = self.threshold
            && now < self.warming_until
        {
            self.threshold = Threshold::Drawn(rng.fraction() / idle_windows);
        }
    }

    /// Work that may go to the replica now, infinite where it is not warming up. `carried` is the work a second that a
    /// replica carries for this co-ordinator, an estimate of its share of the capacity that errs low; `part_work` is the
    /// work of a usual part of the query. The slowest legal warm-up is assumed; at least one part may be out at a time.
    /// A fraction of a part is allowed by chance, by one threshold for all replicas: a query needs all of its replicas.
    pub(super) fn allowance(
        &self,
        now: Timestamp,
        started: Option<Timestamp>,
        sends: &VecDeque<SlowStartSend>,
        carried: f64,
        part_work: f64,
    ) -> f64 {
        let Some(started) = started.filter(|_| self.is_warming_up(started, now)) else {
            return f64::INFINITY;
        };
        if now < self.closed_until {
            return 0.0;
        }
        let capacity = self.capacity(now - started);
        let threshold = self.threshold() * part_work;
        let window = self.config.window;
        let sent = sends.iter().filter(|s| now - s.at <= window).map(|s| s.work).sum::<f64>();
        let budget = |carried: f64| {
            Self::USED_FRACTION * self.config.overload_factor * capacity * carried * window.as_secs_f64()
        };
        let least_carried = 1.0 / f64::from(self.config.coordinators.max(1));
        let is_first = sent == 0.0 && threshold < budget(carried.max(least_carried));
        if is_first { budget(carried).max(f64::MIN_POSITIVE) } else { budget(carried) - sent - threshold }
    }

    /// Fraction of its capacity that a replica has at that age.
    fn capacity(&self, age: TimeSpan) -> f64 {
        let progress =
            (age.as_secs_f64() / self.config.warm_up.as_secs_f64().max(Self::MIN_SPAN_S)).clamp(0.0, 1.0);
        self.config.initial_capacity + (1.0 - self.config.initial_capacity) * progress
    }

    fn threshold(&self) -> f64 {
        match self.threshold {
            Threshold::Drawn(fraction) => fraction,
            // Drawn before any replica that is warming up is looked at.
            Threshold::Pending { .. } => 0.0,
        }
    }
}

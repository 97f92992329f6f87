//! Slow start: limits the work sent to a replica that has just started (rule 10).

use std::collections::VecDeque;

use crate::rng::Rng;
use crate::time::{TimeSpan, Timestamp};

/// Limits on the work that this co-ordinator may send to a replica that has just started.
#[derive(Clone, Debug, Default)]
pub struct SlowStartConfig {
    /// Fraction of its full capacity that a replica has when it starts.
    pub initial_capacity: f64,
    /// Time in which the capacity rises to its full value.
    pub warm_up: TimeSpan,
    /// Multiple of its current capacity that a replica can sustain.
    pub overload_factor: f64,
    /// Length of the sliding window over which sent work is counted.
    pub window: TimeSpan,
    /// Number of co-ordinators, including this one.
    pub coordinators: u32,
}

/// Work sent to a replica during slow start.
#[derive(Clone, Copy)]
pub(super) struct SlowStartSend {
    pub(super) at: Timestamp,
    pub(super) work: f64,
}

/// Random threshold of one window, as a fraction of a part: the budget must exceed this fraction before a
/// part is sent.
enum Threshold {
    Drawn(f64),
    /// A threshold that is not drawn yet, with the number of windows since the last draw.
    Pending {
        idle_windows: f64,
    },
}

/// Slow-start budget of this co-ordinator.
pub(super) struct SlowStart {
    pub(super) config: SlowStartConfig,
    /// Nothing is sent to replicas in slow start before this time, because another process holds the budget
    /// or has held it.
    closed_until: Timestamp,
    /// No known replica is in slow start after this time.
    warming_until: Timestamp,
    window_start: Timestamp,
    threshold: Threshold,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart {
            config: SlowStartConfig::default(),
            closed_until: Timestamp::default(),
            warming_until: Timestamp::default(),
            window_start: Timestamp::default(),
            threshold: Threshold::Drawn(0.0),
        }
    }
}

impl SlowStart {
    /// Fraction of the budget that is used. The rest allows for uneven load among co-ordinators and for small
    /// replicas.
    const USED_FRACTION: f64 = 0.8;
    /// Lower bound of divisors that are time spans, in seconds.
    const MIN_SPAN_S: f64 = 1e-6;
    /// Maximum number of idle windows whose budget is carried over.
    const MAX_IDLE_WINDOWS: f64 = 2.0;

    pub(super) fn new(config: SlowStartConfig) -> SlowStart {
        SlowStart { config, closed_until: Timestamp::from_micros(i64::MIN), ..SlowStart::default() }
    }

    pub(super) fn is_warming_up(&self, started: Option<Timestamp>, now: Timestamp) -> bool {
        started.is_some_and(|t| now - t < self.config.warm_up)
    }

    /// Records that a listed replica may be in slow start until the end of its warm-up.
    pub(super) fn record_start(&mut self, started: Option<Timestamp>) {
        if let Some(started) = started {
            self.warming_until = self.warming_until.max(started + self.config.warm_up);
        }
    }

    pub(super) fn close(&mut self) {
        self.closed_until = Timestamp::from_micros(i64::MAX);
    }

    /// Reopens the budget once all work that the other process may have sent has left the window.
    pub(super) fn reopen(&mut self, now: Timestamp) {
        self.closed_until = now + self.config.window;
    }

    /// Draws the threshold of a new window if any replica may be in slow start. Windows without a query lower
    /// the threshold, because with hundreds of co-ordinators each one receives a query in few of the windows.
    pub(super) fn draw_threshold(&mut self, now: Timestamp, rng: &mut Rng) {
        let window = self.config.window.as_secs_f64().max(Self::MIN_SPAN_S);
        let windows = (now - self.window_start).as_secs_f64() / window;
        if windows > 1.0 {
            self.window_start = now;
            self.threshold = Threshold::Pending { idle_windows: windows.min(Self::MAX_IDLE_WINDOWS) };
        }
        if let Threshold::Pending { idle_windows } = self.threshold
            && now < self.warming_until
        {
            self.threshold = Threshold::Drawn(rng.fraction() / idle_windows);
        }
    }

    /// Returns the work that may be sent to the replica now, or infinity if it is not in slow start.
    ///
    /// `throughput` is the work per second that a replica completes for this co-ordinator. It is a low
    /// estimate of this co-ordinator's share of the capacity. `part_work` is the work of a typical part of
    /// the query. The slowest permitted warm-up is assumed, and at least one part may be outstanding at a
    /// time. A fraction of a part is allowed with the matching probability. All replicas share one threshold,
    /// because a query needs all of its replicas.
    pub(super) fn allowance(
        &self,
        now: Timestamp,
        started: Option<Timestamp>,
        sends: &VecDeque<SlowStartSend>,
        throughput: f64,
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
        let budget = |throughput: f64| {
            Self::USED_FRACTION * self.config.overload_factor * capacity * throughput * window.as_secs_f64()
        };
        let min_throughput = 1.0 / f64::from(self.config.coordinators.max(1));
        let is_first = sent == 0.0 && threshold < budget(throughput.max(min_throughput));
        if is_first {
            budget(throughput).max(f64::MIN_POSITIVE)
        } else {
            budget(throughput) - sent - threshold
        }
    }

    /// Returns the fraction of its full capacity that a replica has at this age.
    fn capacity(&self, age: TimeSpan) -> f64 {
        let progress =
            (age.as_secs_f64() / self.config.warm_up.as_secs_f64().max(Self::MIN_SPAN_S)).clamp(0.0, 1.0);
        self.config.initial_capacity + (1.0 - self.config.initial_capacity) * progress
    }

    fn threshold(&self) -> f64 {
        match self.threshold {
            Threshold::Drawn(fraction) => fraction,
            // Not used for replicas in slow start, whose threshold is drawn before the budget is checked.
            Threshold::Pending { .. } => 0.0,
        }
    }
}

//! The one clock: the module's points in time on the machine's monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pipitcrank::time::{At, Span};

/// Counts from its making; Unix times told by others are placed on it by the wall clock of that moment.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix_us: i64,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_unix_us: unix.as_micros() as i64 }
    }

    pub fn now(&self) -> At {
        At::from_us(self.start.elapsed().as_micros() as i64)
    }

    /// The moment of a Unix time in milliseconds; it may lie before this clock's start.
    pub fn at_unix_ms(&self, ms: i64) -> At {
        At::from_us(ms.saturating_mul(1000).saturating_sub(self.start_unix_us))
    }

    /// That point in time for the runtime's timers.
    pub fn instant(&self, at: At) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.us().max(0) as u64)).into()
    }
}

pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.us().max(0) as u64)
}

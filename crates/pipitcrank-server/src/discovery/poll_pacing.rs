//! Pacing of calls to a discovery service that has a cost per call and refuses calls when there are too many.

use std::cell::RefCell;
use std::time::Duration;

use pipitcrank_core::rng::Rng;

/// Poll interval beside a healthy watch. It leaves time for one more call before a change must be known.
const POLL_INTERVAL: Duration = Duration::from_millis(4000);
/// Base of the pause after a failed call, which doubles with each consecutive failure.
const BASE_PAUSE: Duration = Duration::from_millis(250);
/// Maximum pause in a fleet of up to `BASE_FLEET_SIZE` co-ordinators.
const MAX_PAUSE: Duration = Duration::from_millis(2000);
/// Largest number of co-ordinators that use the unscaled intervals, since the service can answer all of them. Larger
/// fleets use longer intervals.
const BASE_FLEET_SIZE: u32 = 8;
/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 8;

/// Pauses between calls, with jitter so that co-ordinators refused at the same time do not retry at the same time.
pub struct PollPacing {
    rng: RefCell<Rng>,
    /// Number of co-ordinators divided by `BASE_FLEET_SIZE`, at least 1.
    fleet_ratio: f64,
}

impl PollPacing {
    /// Creates the pacing for one co-ordinator in a fleet of `coordinators`. `seed`: seed of the jitter.
    pub fn new(seed: u64, coordinators: u32) -> PollPacing {
        let fleet_ratio = (f64::from(coordinators) / f64::from(BASE_FLEET_SIZE)).max(1.0);
        PollPacing { rng: RefCell::new(Rng::new(seed)), fleet_ratio }
    }

    /// Pause after `failures` consecutive failed calls.
    pub fn pause(&self, failures: u32) -> Duration {
        // The first pauses grow only with the square root of the fleet's size: a service that refuses thirty calls at
        // once may still serve a fleet of three hundred.
        let pause = BASE_PAUSE.mul_f64(self.fleet_ratio.sqrt()) * 2u32.pow(failures.min(MAX_DOUBLINGS));
        let limited = pause.min(MAX_PAUSE.mul_f64(self.fleet_ratio));
        limited.mul_f64(0.5 + 0.5 * self.rng.borrow_mut().fraction())
    }

    /// Random pause before the first call, which spreads the calls of a fleet whose processes start at the same time.
    pub fn initial_pause(&self) -> Duration {
        let added_pause = BASE_PAUSE.mul_f64(self.fleet_ratio.sqrt()).saturating_sub(BASE_PAUSE);
        (added_pause * 2).mul_f64(self.rng.borrow_mut().fraction())
    }

    /// Time until the next poll beside a healthy watch, after `failures` consecutive failed polls.
    pub fn poll_interval(&self, failures: u32) -> Duration {
        let backoff = f64::from(2u32.pow(failures.min(MAX_DOUBLINGS)));
        POLL_INTERVAL.mul_f64(self.fleet_ratio * backoff * (0.75 + 0.5 * self.rng.borrow_mut().fraction()))
    }
}

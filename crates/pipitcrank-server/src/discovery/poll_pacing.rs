//! Pacing of calls to a discovery service that pays for each call and refuses them when there are too many.

use std::cell::RefCell;
use std::time::Duration;

use pipitcrank_core::rng::Rng;

/// Interval of polls beside a healthy watch: it leaves time for one more call before a change has to be known.
const POLL_INTERVAL: Duration = Duration::from_millis(4000);
/// Pause after the first call that failed, doubled by each further one.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(2000);
/// Coordinators that may call as often as that: the service answers all of them, and more of them call more rarely.
const COORDINATORS: u32 = 8;
/// Most doublings.
const MAX_DOUBLINGS: u32 = 8;

/// Pauses between calls, jittered so that coordinators refused together do not return together.
pub struct PollPacing {
    rng: RefCell<Rng>,
    /// Number of coordinators, as a multiple of those that may call often; 1 at least.
    crowd: f64,
}

impl PollPacing {
    /// Pacing of one of so many coordinators; `seed` of its jitter.
    pub fn new(seed: u64, coordinators: u32) -> PollPacing {
        let crowd = (f64::from(coordinators) / f64::from(COORDINATORS)).max(1.0);
        PollPacing { rng: RefCell::new(Rng::new(seed)), crowd }
    }

    /// The pause after so many calls in a row that failed.
    pub fn pause(&self, failed: u32) -> Duration {
        // The first ones grow with the root of the crowd only: what refuses thirty at once may bear three hundred.
        let pause = PAUSE.mul_f64(self.crowd.sqrt()) * 2u32.pow(failed.min(MAX_DOUBLINGS));
        let longest = pause.min(MAX_PAUSE.mul_f64(self.crowd));
        longest.mul_f64(0.5 + 0.5 * self.rng.borrow_mut().fraction())
    }

    /// The pause before the first call: a fleet that starts at once does not call at once.
    pub fn initial_pause(&self) -> Duration {
        let beyond_eight = PAUSE.mul_f64(self.crowd.sqrt()).saturating_sub(PAUSE);
        (beyond_eight * 2).mul_f64(self.rng.borrow_mut().fraction())
    }

    /// Time until the next poll beside a healthy watch, after so many in a row that failed.
    pub fn poll_interval(&self, failed: u32) -> Duration {
        let doubled = f64::from(2u32.pow(failed.min(MAX_DOUBLINGS)));
        POLL_INTERVAL.mul_f64(self.crowd * doubled * (0.75 + 0.5 * self.rng.borrow_mut().fraction()))
    }
}

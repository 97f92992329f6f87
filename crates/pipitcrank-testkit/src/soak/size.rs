//! How large a soak test is.

use std::time::Duration;

/// How large a soak test is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Processes of the program.
    pub processes: usize,
    /// How long clients send requests.
    pub duration: Duration,
    /// Requests a second to each process.
    pub rate: f64,
    /// Faults that are under way at once.
    pub concurrent_faults: usize,
}

impl Size {
    /// Some dozens of processes: for seeds by hand.
    pub const FULL: Size =
        Size { processes: 24, duration: Duration::from_secs(16), rate: 8.0, concurrent_faults: 3 };
    /// More of them, for longer, with more faults at once.
    pub const HARD: Size =
        Size { processes: 36, duration: Duration::from_secs(24), rate: 8.0, concurrent_faults: 6 };
    /// The same in short, for CI.
    pub const SHORT: Size =
        Size { processes: 6, duration: Duration::from_secs(8), rate: 6.0, concurrent_faults: 2 };
}

//! Size of a soak test.

use std::time::Duration;

/// Size of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of processes of the program.
    pub processes: usize,
    /// How long clients send requests.
    pub duration: Duration,
    /// Requests per second to each process.
    pub rate: f64,
    /// Number of concurrent faults.
    pub concurrent_faults: usize,
}

impl Size {
    /// Two dozen processes, for manual runs.
    pub const FULL: Size =
        Size { processes: 24, duration: Duration::from_secs(16), rate: 8.0, concurrent_faults: 3 };
    /// Three dozen processes, with twice as many concurrent faults as `FULL` and for longer.
    pub const HARD: Size =
        Size { processes: 36, duration: Duration::from_secs(24), rate: 8.0, concurrent_faults: 6 };
    /// Six processes for a short time, for CI.
    pub const SHORT: Size =
        Size { processes: 6, duration: Duration::from_secs(8), rate: 6.0, concurrent_faults: 2 };
}

//! The load of the upgrade trial.

use std::time::Duration;

use crate::process::UpgradeTimes;
use crate::replica::Work;

/// Queries a second; a debug build serves them as well.
pub(super) const RATE: f64 = 150.0;
/// Work of a part; sixteen at once at each replica.
pub(super) const USUAL: Work = Work { mean_time: Duration::from_millis(8), concurrency: 16 };
/// Fraction of sales that is in flight through most of a handover: one or two at any time. With many more the core takes
/// their replicas to lag.
pub(super) const SLOW_SALES: f64 = 0.03;
/// Load before the first upgrade, in seconds.
pub(super) const QUIET_S: f64 = 5.0;
/// Times of an upgrade's steps.
pub(super) const UPGRADE_TIMES: UpgradeTimes =
    UpgradeTimes { start: 3.0, settle: 0.6, silent: 0.5, finish: 8.0 };
/// Longest time from SIGTERM to the process's exit.
pub(super) const TERM_LIMIT: Duration = Duration::from_secs(15);

/// The load of one run.
#[derive(Clone, Copy)]
pub(super) struct LoadProfile {
    /// Work of a part at a replica.
    pub work: Work,
    /// Queries a second.
    pub rate: f64,
    /// Connections that send one query at first, and then one every ten rounds.
    pub idle_clients: usize,
}

impl LoadProfile {
    /// What replicas can serve with ease.
    pub(super) const USUAL: LoadProfile = LoadProfile { work: USUAL, rate: RATE, idle_clients: 200 };
    /// Twice as much as twelve replicas can do: they do 600 parts a second, some 110 queries.
    pub(super) const OVERLOAD: LoadProfile = LoadProfile {
        work: Work { mean_time: Duration::from_millis(40), concurrency: 2 },
        rate: 220.0,
        idle_clients: 0,
    };
}

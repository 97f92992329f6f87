//! The load of the upgrade trial.

use std::time::Duration;

use crate::process::UpgradeTimes;
use crate::replica::Work;

/// Load in queries per second, low enough for a debug build.
pub(super) const RATE: f64 = 150.0;
/// Usual work of a replica: 8 ms per part, with up to 16 parts at a time.
pub(super) const USUAL: Work = Work { mean_time: Duration::from_millis(8), concurrency: 16 };
/// Fraction of queries that are slow sales, which leaves one or two in flight at any time, also through most of a
/// handover. With many more, the core counts their replicas as lagging.
pub(super) const SLOW_SALES: f64 = 0.03;
/// Time under load before the first upgrade, in seconds.
pub(super) const BASELINE_S: f64 = 5.0;
/// Time limits of an upgrade's steps.
pub(super) const UPGRADE_TIMES: UpgradeTimes =
    UpgradeTimes { start: 3.0, settle: 0.6, silent: 0.5, finish: 8.0 };
/// Time limit from SIGTERM to the exit of the process.
pub(super) const TERM_LIMIT: Duration = Duration::from_secs(15);

/// The load of one run.
#[derive(Clone, Copy)]
pub(super) struct LoadProfile {
    /// Work of a part at a replica.
    pub work: Work,
    /// Load in queries per second.
    pub rate: f64,
    /// Number of connections that send one query at the start and then one every ten rounds.
    pub idle_clients: usize,
}

impl LoadProfile {
    /// Load well below the capacity of the replicas.
    pub(super) const USUAL: LoadProfile = LoadProfile { work: USUAL, rate: RATE, idle_clients: 200 };
    /// Load of twice the capacity of the twelve replicas, which serve 600 parts or about 110 queries per second.
    pub(super) const OVERLOAD: LoadProfile = LoadProfile {
        work: Work { mean_time: Duration::from_millis(40), concurrency: 2 },
        rate: 220.0,
        idle_clients: 0,
    };
}

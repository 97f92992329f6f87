//! Section `upgrade`: time limits for the steps of an upgrade under load.

use std::time::Duration;

use serde::Deserialize;

use crate::checks::duration;
use crate::error::ConfigError;

/// Time limits for the steps of an upgrade under load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpgradeConfig {
    /// Longest time for a new process to read and check its configuration.
    pub start_timeout: Duration,
    /// Shortest trial of a new process before the old one is drained.
    pub trial_time: Duration,
    /// Longest time without a heartbeat from a process on trial.
    pub heartbeat_timeout: Duration,
    /// Longest time for the old process to finish its own queries, and then again to send its last answers.
    pub drain_timeout: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UpgradeForm {
    start_s: f64,
    settle_s: f64,
    silent_s: f64,
    finish_s: f64,
}

impl UpgradeForm {
    /// Checks the section. Heartbeats are sent every 0.05 s, so with the shortest time-out ten are missing before a
    /// process counts as hung. A trial of more than ten minutes detects no further faults, and a trial doubles the
    /// memory in use.
    pub(crate) fn checked(self) -> Result<UpgradeConfig, ConfigError> {
        Ok(UpgradeConfig {
            start_timeout: duration("/upgrade/start_s", self.start_s, 0.1, 600.0)?,
            trial_time: duration("/upgrade/settle_s", self.settle_s, 0.0, 600.0)?,
            heartbeat_timeout: duration("/upgrade/silent_s", self.silent_s, 0.5, 60.0)?,
            drain_timeout: duration("/upgrade/finish_s", self.finish_s, 0.1, 600.0)?,
        })
    }
}

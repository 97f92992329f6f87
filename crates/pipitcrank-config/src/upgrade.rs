//! Section `upgrade`: time limits of the steps of an upgrade under load.

use std::time::Duration;

use serde::Deserialize;

use crate::checks::duration;
use crate::error::ConfigError;

/// Upgrade under load: time limits of its steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpgradeConfig {
    /// Time for a new process to read and check its configuration.
    pub start_timeout: Duration,
    /// Shortest time that a new process is on trial before the old one is drained.
    pub trial_time: Duration,
    /// Longest time without a heartbeat of a process on trial.
    pub heartbeat_timeout: Duration,
    /// Time for the old process to finish its own queries, and again for its last answers.
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
    /// Heartbeats come every 0.05 s: ten may be late before a process counts as hung. A trial longer than ten minutes
    /// tells no more, and two processes need twice the memory as long.
    pub(crate) fn checked(self) -> Result<UpgradeConfig, ConfigError> {
        Ok(UpgradeConfig {
            start_timeout: duration("/upgrade/start_s", self.start_s, 0.1, 600.0)?,
            trial_time: duration("/upgrade/settle_s", self.settle_s, 0.0, 600.0)?,
            heartbeat_timeout: duration("/upgrade/silent_s", self.silent_s, 0.5, 60.0)?,
            drain_timeout: duration("/upgrade/finish_s", self.finish_s, 0.1, 600.0)?,
        })
    }
}

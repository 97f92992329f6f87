//! Configured limits on attempts, hedged requests and probes.

use crate::time::TimeSpan;

/// Configured limits on attempts, hedged requests and probes.
#[derive(Clone, Debug, Default)]
pub struct RetryPolicy {
    /// Maximum number of attempts of one part.
    pub max_attempts: u32,
    /// Whether a part may have several outstanding attempts.
    pub may_hedge: bool,
    /// Whether outstanding attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether load probes may be sent.
    pub may_probe: bool,
    /// Maximum retry-after, or `None` if no retry-after may be sent.
    pub max_retry_after: Option<TimeSpan>,
    /// Maximum time that an attempt may take to reach its replica.
    pub max_network_delay: TimeSpan,
}

//! What attempts, hedged requests and probes are allowed, by configuration.

use crate::time::TimeSpan;

/// What attempts, hedged requests and probes are allowed.
#[derive(Clone, Debug, Default)]
pub struct RetryPolicy {
    /// Most attempts of one part.
    pub max_attempts: u32,
    /// Whether a part may have several attempts out at a time.
    pub may_hedge: bool,
    /// Whether attempts out may be cancelled.
    pub may_cancel: bool,
    /// Whether load probes may be sent.
    pub may_probe: bool,
    /// Longest retry-after that may be stated; none where none may be.
    pub max_retry_after: Option<TimeSpan>,
    /// Longest time that an attempt may take to reach its replica.
    pub max_network_delay: TimeSpan,
}

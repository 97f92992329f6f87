//! Health of one replica: fault rate, ejection as an outlier, and unresponsiveness.

use crate::ids::AttemptOutcome;
use crate::time::{TimeSpan, Timestamp};

/// The most recent load probe.
#[derive(Clone, Copy)]
pub(super) struct LoadProbe {
    pub(super) sent_at: Timestamp,
    pub(super) is_outstanding: bool,
}

/// Health of a replica, derived from its attempts and probes.
#[derive(Default)]
pub(super) struct ReplicaHealth {
    /// Moving average of the fraction of attempts that end in a fault, 0 to 1.
    pub(super) fault_rate: f64,
    /// End of the ejection as an outlier, after which the replica is tried again.
    pub(super) ejected_until: Option<Timestamp>,
    /// Consecutive attempts and probes without any response.
    consecutive_unanswered: u32,
    /// Time of the last response of any kind.
    pub(super) last_response: Option<Timestamp>,
    pub(super) last_probe: Option<LoadProbe>,
}

impl ReplicaHealth {
    /// Fault rate from which a replica is ejected: two faults in a row reach it, a single one does not.
    const EJECTION_RATE: f64 = 0.3;
    /// Weight of the newest answer or fault in the fault rate.
    const NEWEST_WEIGHT: f64 = 0.2;
    /// Weight of a closed connection in the fault rate. It is low because some replicas close connections
    /// often.
    const DISCONNECT_WEIGHT: f64 = 0.03;
    /// Duration of an ejection.
    const EJECTION_TIME: TimeSpan = TimeSpan::from_millis(1000);
    /// Time for which a load report is valid. Replicas refresh their reports at about this interval.
    pub(super) const REPORT_VALID_FOR: TimeSpan = TimeSpan::from_millis(300);
    /// Time after which an outstanding probe counts as unanswered.
    pub(super) const PROBE_TIMEOUT: TimeSpan = TimeSpan::from_millis(30);
    /// Time after which an outstanding probe counts as lost, even across regions.
    const PROBE_LOST_AFTER: TimeSpan = TimeSpan::from_millis(200);
    /// Consecutive unanswered attempts and probes from which a replica is unresponsive. A single one may have
    /// been lost on the network.
    const UNRESPONSIVE_THRESHOLD: u32 = 2;

    /// Clears the state because a new process runs at the replica's address.
    pub(super) fn reset(&mut self) {
        self.fault_rate = 0.0;
        self.ejected_until = None;
        self.consecutive_unanswered = 0;
        self.last_response = None;
    }

    pub(super) fn record_success(&mut self) {
        self.fault_rate *= 1.0 - Self::NEWEST_WEIGHT;
        self.ejected_until = self.ejected_until.filter(|_| self.fault_rate >= Self::EJECTION_RATE);
    }

    pub(super) fn record_fault(&mut self, now: Timestamp) {
        self.add_fault(now, Self::NEWEST_WEIGHT);
    }

    pub(super) fn record_disconnect(&mut self, now: Timestamp) {
        self.add_fault(now, Self::DISCONNECT_WEIGHT);
    }

    fn add_fault(&mut self, now: Timestamp, weight: f64) {
        self.fault_rate += weight * (1.0 - self.fault_rate);
        if self.fault_rate >= Self::EJECTION_RATE {
            self.eject(now);
        }
    }

    pub(super) fn record_unreachable(&mut self, now: Timestamp) {
        self.fault_rate = self.fault_rate.max(2.0 * Self::EJECTION_RATE);
        self.eject(now);
    }

    pub(super) fn eject(&mut self, now: Timestamp) {
        self.ejected_until = Some(now + Self::EJECTION_TIME);
    }

    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|t| t > now)
    }

    /// Returns whether the replica is ejected or its fault rate reaches the ejection rate.
    pub(super) fn is_failing(&self, now: Timestamp) -> bool {
        self.is_ejected(now) || self.fault_rate >= Self::EJECTION_RATE
    }

    /// Records that a probe is sent. The previous one may still be unanswered.
    pub(super) fn probe_sent(&mut self, now: Timestamp) {
        let is_unanswered = self.last_probe.is_some_and(|p| self.no_response_since(p.sent_at));
        self.consecutive_unanswered += u32::from(is_unanswered);
        self.last_probe = Some(LoadProbe { sent_at: now, is_outstanding: true });
    }

    pub(super) fn probe_answered(&mut self) {
        if let Some(probe) = &mut self.last_probe {
            probe.is_outstanding = false;
        }
    }

    /// Returns whether the last load report has expired, so that a new probe is needed.
    pub(super) fn needs_probe(&self, now: Timestamp) -> bool {
        self.last_probe.is_none_or(|p| now - p.sent_at >= Self::REPORT_VALID_FOR)
    }

    /// Returns whether the last probe has been answered or has timed out.
    pub(super) fn is_probe_done(&self, now: Timestamp) -> bool {
        self.last_probe.is_some_and(|p| !p.is_outstanding || now - p.sent_at >= Self::PROBE_TIMEOUT)
    }

    /// Returns whether the last probe has timed out: the replica has exited, is stalled or cannot be reached.
    pub(super) fn is_probe_timed_out(&self, now: Timestamp) -> bool {
        self.last_probe.is_some_and(|p| p.is_outstanding && now - p.sent_at >= Self::PROBE_TIMEOUT)
    }

    /// Records the end of an attempt or probe. An overdue attempt that was cancelled or disconnected counts
    /// as unanswered. An unanswered probe is counted when the next one is sent.
    pub(super) fn record_end(&mut self, now: Timestamp, outcome: AttemptOutcome, is_overdue: bool) {
        match outcome {
            AttemptOutcome::Success | AttemptOutcome::Fault | AttemptOutcome::NoCapacity => {
                self.consecutive_unanswered = 0;
                self.last_response = Some(now);
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Disconnected
                if is_overdue =>
            {
                self.consecutive_unanswered += 1;
            }
            _ => {}
        }
    }

    pub(super) fn no_response_since(&self, since: Timestamp) -> bool {
        self.last_response.is_none_or(|responded_at| responded_at < since)
    }

    pub(super) fn responded_within(&self, now: Timestamp, span: TimeSpan) -> bool {
        self.last_response.is_some_and(|responded_at| now - responded_at < span)
    }

    fn is_probe_lost(&self, now: Timestamp) -> bool {
        self.last_probe
            .is_some_and(|p| now - p.sent_at > Self::PROBE_LOST_AFTER && self.no_response_since(p.sent_at))
    }

    /// Returns whether enough consecutive attempts and probes were unanswered.
    pub(super) fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.consecutive_unanswered + u32::from(self.is_probe_lost(now)) >= Self::UNRESPONSIVE_THRESHOLD
    }

    /// Returns whether at least the last attempt or probe was unanswered.
    pub(super) fn is_suspected(&self, now: Timestamp) -> bool {
        self.consecutive_unanswered > 0 || self.is_probe_lost(now)
    }
}

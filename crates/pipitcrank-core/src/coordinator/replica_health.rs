//! The health of one replica: faults, ejection as an outlier, and silence.

use crate::ids::AttemptOutcome;
use crate::time::{TimeSpan, Timestamp};

/// The last load probe sent.
#[derive(Clone, Copy)]
pub(super) struct LoadProbe {
    pub(super) sent_at: Timestamp,
    pub(super) is_outstanding: bool,
}

/// What attempts and probes tell of a replica's health.
#[derive(Default)]
pub(super) struct ReplicaHealth {
    /// Moving average of faults among the attempts, 0 to 1.
    pub(super) fault_rate: f64,
    /// Ejected as an outlier, and to be tried again from then on.
    pub(super) ejected_until: Option<Timestamp>,
    /// Attempts and probes in a row that nothing was heard of.
    unheard_in_a_row: u32,
    /// When something was last heard of it.
    pub(super) last_heard: Option<Timestamp>,
    pub(super) last_probe: Option<LoadProbe>,
}

impl ReplicaHealth {
    /// Fault rate from which a replica is ejected: two faults in a row, not a single one.
    const EJECTION_RATE: f64 = 0.3;
    /// Weight of the newest answer or fault in the fault rate.
    const NEWEST_WEIGHT: f64 = 0.2;
    /// Weight of a part whose connection was closed: some replicas close connections often.
    const DISCONNECT_WEIGHT: f64 = 0.03;
    /// Time for which an outlier is ejected.
    const EJECTION_TIME: TimeSpan = TimeSpan::from_millis(1000);
    /// A load report is valid for so long: replicas renew theirs about as often.
    pub(super) const REPORT_VALID_FOR: TimeSpan = TimeSpan::from_millis(300);
    /// A probe out for longer is held to be unanswered.
    pub(super) const PROBE_TIMEOUT: TimeSpan = TimeSpan::from_millis(30);
    /// A probe out for longer was lost, whatever regions it had to cross.
    const PROBE_LOST_AFTER: TimeSpan = TimeSpan::from_millis(200);
    /// Attempts and probes in a row that nothing was heard of and that make a replica silent: one may be lost.
    const SILENT_FROM: u32 = 2;

    /// A new process runs at the replica's address.
    pub(super) fn reset(&mut self) {
        self.fault_rate = 0.0;
        self.ejected_until = None;
        self.unheard_in_a_row = 0;
        self.last_heard = None;
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

    /// Ejected, or with faults enough to be.
    pub(super) fn is_failing(&self, now: Timestamp) -> bool {
        self.is_ejected(now) || self.fault_rate >= Self::EJECTION_RATE
    }

    /// A probe goes out; one before it may still be unanswered.
    pub(super) fn probe_sent(&mut self, now: Timestamp) {
        let is_unheard = self.last_probe.is_some_and(|p| self.nothing_heard_since(p.sent_at));
        self.unheard_in_a_row += u32::from(is_unheard);
        self.last_probe = Some(LoadProbe { sent_at: now, is_outstanding: true });
    }

    pub(super) fn probe_answered(&mut self) {
        if let Some(probe) = &mut self.last_probe {
            probe.is_outstanding = false;
        }
    }

    /// Whether it has to be probed again for its load.
    pub(super) fn needs_probe(&self, now: Timestamp) -> bool {
        self.last_probe.is_none_or(|p| now - p.sent_at >= Self::REPORT_VALID_FOR)
    }

    /// The last probe has been answered, or has been out for too long to be waited for.
    pub(super) fn is_probe_done(&self, now: Timestamp) -> bool {
        self.last_probe.is_some_and(|p| !p.is_outstanding || now - p.sent_at >= Self::PROBE_TIMEOUT)
    }

    /// The last probe was not answered in time: gone, stalled, or out of reach.
    pub(super) fn is_silent_to_probe(&self, now: Timestamp) -> bool {
        self.last_probe.is_some_and(|p| p.is_outstanding && now - p.sent_at >= Self::PROBE_TIMEOUT)
    }

    /// An attempt or a probe ended. An overdue attempt that was cancelled or cut off left nothing to be heard either; a
    /// probe that came to nothing is counted when the next goes out.
    pub(super) fn record_end(&mut self, now: Timestamp, outcome: AttemptOutcome, is_overdue: bool) {
        match outcome {
            AttemptOutcome::Success | AttemptOutcome::Fault | AttemptOutcome::NoCapacity => {
                self.unheard_in_a_row = 0;
                self.last_heard = Some(now);
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Disconnected
                if is_overdue =>
            {
                self.unheard_in_a_row += 1;
            }
            _ => {}
        }
    }

    pub(super) fn nothing_heard_since(&self, since: Timestamp) -> bool {
        self.last_heard.is_none_or(|heard| heard < since)
    }

    pub(super) fn heard_within(&self, now: Timestamp, span: TimeSpan) -> bool {
        self.last_heard.is_some_and(|heard| now - heard < span)
    }

    fn is_probe_lost(&self, now: Timestamp) -> bool {
        self.last_probe
            .is_some_and(|p| now - p.sent_at > Self::PROBE_LOST_AFTER && self.nothing_heard_since(p.sent_at))
    }

    /// Enough attempts and probes in a row came to nothing.
    pub(super) fn is_silent(&self, now: Timestamp) -> bool {
        self.unheard_in_a_row + u32::from(self.is_probe_lost(now)) >= Self::SILENT_FROM
    }

    /// At least one of them came to nothing.
    pub(super) fn is_suspected(&self, now: Timestamp) -> bool {
        self.unheard_in_a_row > 0 || self.is_probe_lost(now)
    }
}

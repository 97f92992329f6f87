//! Evidence reports of this node.

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::{EvidenceReport, REPORT_INTERVAL, ReplicaCounts, is_reporter};
use pipitcrank_membership::members::Members;
use pipitcrank_membership::peer::Peer;

/// Minimum time between selections of the reporters while members join or depart.
const SELECTION_INTERVAL: TimeSpan = TimeSpan::from_millis(1000);

/// Observations of this node, and whether it is a reporter of its zone.
pub(super) struct EvidenceReporter {
    /// Latest observations, by zone.
    replica_counts: Vec<ReplicaCounts>,
    reported_at: Timestamp,
    sequence: u64,
    is_reporter: bool,
    /// Membership change count and time of the last selection of reporters.
    selected_at_change: u64,
    selected_at: Timestamp,
}

impl EvidenceReporter {
    pub(super) fn new(distant_past: Timestamp, zone_count: usize) -> EvidenceReporter {
        EvidenceReporter {
            replica_counts: vec![ReplicaCounts::default(); zone_count],
            reported_at: distant_past,
            sequence: 0,
            is_reporter: true,
            selected_at_change: 0,
            selected_at: distant_past,
        }
    }

    pub(super) fn replica_counts(&self) -> &[ReplicaCounts] {
        &self.replica_counts
    }

    pub(super) fn is_reporter(&self) -> bool {
        self.is_reporter
    }

    pub(super) fn next_deadline(&self) -> Timestamp {
        self.reported_at + REPORT_INTERVAL
    }

    /// Whether the next report is due; it then counts as sent.
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.reported_at >= REPORT_INTERVAL;
        if is_due {
            self.reported_at = now;
        }
        is_due
    }

    /// Records new observations, and returns a report if this node is a reporter. `demand` is the demand of
    /// its clients in parts per second.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        members: &Members,
        own: &Peer,
        replica_counts: Vec<ReplicaCounts>,
        demand: u32,
    ) -> Option<EvidenceReport> {
        self.replica_counts = replica_counts;
        self.select_reporters(now, members, own);
        if !self.is_reporter {
            return None;
        }
        self.sequence += 1;
        Some(EvidenceReport {
            zone: own.zone,
            sequence: self.sequence,
            replica_counts: self.replica_counts.clone(),
            demand,
            nodes: members.count_in_zone(own.zone).min(usize::from(u16::MAX)) as u16,
        })
    }

    fn select_reporters(&mut self, now: Timestamp, members: &Members, own: &Peer) {
        let changed = self.selected_at_change != members.membership_changes;
        if changed && now - self.selected_at >= SELECTION_INTERVAL {
            let of_zone = members.live_members().filter(|peer| peer.zone == own.zone).cloned();
            self.is_reporter = is_reporter(own, of_zone);
            (self.selected_at_change, self.selected_at) = (members.membership_changes, now);
        }
    }
}

//! This node's part in reporting evidence.

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_membership::evidence::{EvidenceReport, REPORT_INTERVAL, ReplicaCounts, is_reporter};
use pipitcrank_membership::members::Members;
use pipitcrank_membership::peer::Peer;

/// Time between two choices of the reporters, when many members join or depart.
const CHOICE_INTERVAL: TimeSpan = TimeSpan::from_millis(1000);

/// What this node observes, and whether it is among the reporters of its zone.
pub(super) struct EvidenceReporter {
    /// The newest of its own evidence, by zone.
    replica_counts: Vec<ReplicaCounts>,
    reported_at: Timestamp,
    sequence: u64,
    is_reporter: bool,
    /// The state of membership, and the time, at which the reporters were chosen.
    chosen_for_change: u64,
    chosen_at: Timestamp,
}

impl EvidenceReporter {
    pub(super) fn new(long_ago: Timestamp, zone_count: usize) -> EvidenceReporter {
        EvidenceReporter {
            replica_counts: vec![ReplicaCounts::default(); zone_count],
            reported_at: long_ago,
            sequence: 0,
            is_reporter: true,
            chosen_for_change: 0,
            chosen_at: long_ago,
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

    /// Whether the next report is due; it counts as made.
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        let is_due = now - self.reported_at >= REPORT_INTERVAL;
        if is_due {
            self.reported_at = now;
        }
        is_due
    }

    /// Takes over new evidence; the report, if this node is a reporter. `demand`: parts per second of its clients.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        members: &Members,
        own: &Peer,
        replica_counts: Vec<ReplicaCounts>,
        demand: u32,
    ) -> Option<EvidenceReport> {
        self.replica_counts = replica_counts;
        self.choose_reporters(now, members, own);
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

    fn choose_reporters(&mut self, now: Timestamp, members: &Members, own: &Peer) {
        let changed = self.chosen_for_change != members.membership_changes;
        if changed && now - self.chosen_at >= CHOICE_INTERVAL {
            let of_zone = members.live_members().filter(|peer| peer.zone == own.zone).cloned();
            self.is_reporter = is_reporter(own, of_zone);
            (self.chosen_for_change, self.chosen_at) = (members.membership_changes, now);
        }
    }
}

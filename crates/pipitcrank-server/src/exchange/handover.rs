//! Handover of state between two processes of one co-ordinator, and recovery of the state of a dead process.

use std::collections::BTreeMap;

use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_handover::resource_split::{self, DelegatedRetries};
use pipitcrank_handover::snapshot::{ReplicaRecord, Snapshot};

use super::endpoint::Endpoint;
use super::event::EndpointChange;
use super::state::Exchange;

impl Exchange {
    /// Takes the state for the successor at `now`. From then on this process only finishes its open queries, within
    /// `max_duration`. `taken_us`: `now` on the machine's monotonic clock, in microseconds.
    pub fn begin_handover(
        &mut self,
        now: Timestamp,
        taken_us: i64,
        revision: Option<u64>,
        max_duration: TimeSpan,
    ) -> Snapshot {
        self.apply_pending_endpoint_changes();
        let mut learned = self.coordinator.learned_state(now);
        let budget = self.coordinator.retry_budget_config();
        let delegated_retries = resource_split::split_retry_budget(budget, max_duration, &mut learned);
        let until = now + delegated_retries.valid_for;
        self.coordinator.limit_to_delegated_retries(delegated_retries.count, until);
        let replicas = self.replica_records(now);
        Snapshot { taken_us, revision, replicas, learned, delegated_retries }
    }

    /// Takes the state that a later process restores if this one ends without a handover. No retries are delegated.
    pub fn snapshot(&mut self, now: Timestamp, taken_us: i64, revision: Option<u64>) -> Snapshot {
        self.apply_pending_endpoint_changes();
        let learned = self.coordinator.learned_state(now);
        let (replicas, delegated_retries) = (self.replica_records(now), DelegatedRetries::default());
        Snapshot { taken_us, revision, replicas, learned, delegated_retries }
    }

    fn replica_records(&self, now: Timestamp) -> Vec<ReplicaRecord> {
        let records = self.table.local_replicas().map(|(index, entry)| ReplicaRecord {
            index,
            uid: self.table.replica_uids.name(index).to_string(),
            address: entry.address,
            cell: entry.cell,
            zone: entry.zone.clone(),
            uptime: entry.started.map(|at| now - at),
            draining_for: entry.down_since.map(|at| now - at),
        });
        records.collect()
    }

    /// Continues from the predecessor's state, which was taken `age` ago.
    pub fn resume_from_predecessor(&mut self, now: Timestamp, age: TimeSpan, snapshot: Snapshot) {
        let DelegatedRetries { count, valid_for } = snapshot.delegated_retries;
        self.apply_snapshot(now, age, true, snapshot);
        self.coordinator.delegate_to_predecessor(count, now - age + valid_for);
    }

    /// Continues from the state of a dead process, which was taken `age` ago. `use_list`: whether its endpoint list is
    /// newer than the one in the node configuration. The last sends of that process are unknown, so all retries
    /// available to it count as used.
    pub fn restore(&mut self, now: Timestamp, age: TimeSpan, use_list: bool, snapshot: Snapshot) {
        self.apply_pending_endpoint_changes();
        self.apply_snapshot(now, age, use_list, snapshot);
        self.coordinator.resume_without_peer(now);
    }

    fn apply_snapshot(&mut self, now: Timestamp, age: TimeSpan, use_list: bool, snapshot: Snapshot) {
        let to_timestamp = |span: TimeSpan| now - span - age;
        let mut indices = BTreeMap::new();
        let mut endpoints = Vec::new();
        let mut down = Vec::new();
        for ReplicaRecord { index, uid, address, cell, zone, uptime, draining_for } in snapshot.replicas {
            // A replica that is no longer listed gets no index, since the index would never be released.
            let uids = &mut self.table.replica_uids;
            let local_index = if use_list { Some(uids.intern(&uid)) } else { uids.find(&uid) };
            let Some(local_index) = local_index else { continue };
            indices.insert(index, local_index);
            down.extend(draining_for.map(|span| (local_index, to_timestamp(span))));
            let (up, started) = (draining_for.is_none(), uptime.map(to_timestamp));
            endpoints.push(Endpoint { uid, address, cell, zone, up, started });
        }
        if use_list {
            self.apply_endpoint_change(EndpointChange { at: now, complete: true, endpoints });
            for (replica, since) in down {
                if let Some(entry) = self.table.replicas.get_mut(&replica) {
                    entry.down_since = Some(since);
                }
            }
        }
        let mut learned = snapshot.learned;
        let replicas = std::mem::take(&mut learned.replicas);
        learned.replicas =
            replicas.into_iter().filter_map(|(index, state)| Some((*indices.get(&index)?, state))).collect();
        self.coordinator.restore_learned_state(now, age, learned);
    }

    /// Records that the predecessor has exited after using `used` of the retries delegated to it.
    pub fn settle_with_predecessor(&mut self, now: Timestamp, used: u32) {
        self.coordinator.settle_with_predecessor(now, used);
        self.open_in_peer = 0;
    }

    /// Number of the `delegated` retries that this process has used.
    pub fn delegated_retries_used(&self, delegated: u32) -> u32 {
        delegated.saturating_sub(self.coordinator.delegated_retries_left())
    }

    /// Resumes after the other process of this co-ordinator has exited without reporting the retries that it used.
    pub fn resume_without_peer(&mut self, now: Timestamp) {
        self.coordinator.resume_without_peer(now);
        self.open_in_peer = 0;
    }

    /// Sets the number of queries and parts open in the other process.
    pub fn set_open_in_peer(&mut self, open: usize) {
        self.open_in_peer = open;
    }
}

//! Maintains the set of replicas from the endpoint list.

use super::state::{State, Timer};
use crate::ids::ReplicaId;
use crate::output::CoordinatorOutput;
use crate::time::{TimeSpan, Timestamp};

impl State {
    /// Time after which a broken watch is restarted.
    const WATCH_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(2000);

    pub(super) fn start(&mut self, output: &mut dyn CoordinatorOutput) {
        if self.watch_endpoints {
            output.watch_endpoints();
        }
    }

    pub(super) fn begin_endpoint_list(&mut self, is_complete: bool) {
        if is_complete {
            self.replicas.values_mut().for_each(|r| r.is_listed = false);
        }
    }

    pub(super) fn list_replica(&mut self, id: ReplicaId, cell: u32, is_up: bool, started: Option<Timestamp>) {
        let replica = self.replicas.entry(id).or_default();
        let is_new_process = started > replica.started;
        if is_new_process {
            replica.health.reset();
        }
        replica.cell = cell;
        replica.is_listed = is_up;
        replica.started = started;
        self.slow_start.record_start(started);
    }

    pub(super) fn finish_endpoint_list(&mut self, output: &mut dyn CoordinatorOutput) {
        self.replica_index.clear();
        for (&id, replica) in self.replicas.iter().filter(|(_, r)| r.is_listed) {
            self.replica_index.insert(replica.cell, id);
        }
        self.listed_replicas = self.replicas.values().filter(|r| r.is_listed && r.is_local()).count();
        let unused: Vec<ReplicaId> =
            self.replicas.iter().filter(|(_, r)| r.is_unused()).map(|(&id, _)| id).collect();
        for id in unused {
            self.remove_replica(output, id);
        }
        self.needs_dispatch = true;
    }

    /// Schedules a restart of the watch after a failed fetch or a broken watch. The previous list stays in
    /// use.
    pub(super) fn endpoint_list_failed(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp) {
        if self.watch_endpoints {
            self.set_timer(output, now + Self::WATCH_RETRY_AFTER, Timer::WatchEndpoints);
        }
    }

    pub(super) fn remove_replica(&mut self, output: &mut dyn CoordinatorOutput, id: ReplicaId) {
        self.replicas.remove(&id);
        output.release_replica(id);
    }
}

//! Index of the replicas that hold a shard. Cells form a ring, and each shard is held by a run of consecutive
//! cells.

use crate::ids::ReplicaId;
use crate::time::TimeSpan;

/// The ring of cells and the limits of one call.
#[derive(Clone, Debug, Default)]
pub struct SetCoverConfig {
    /// Number of cells in the ring.
    pub cells: u32,
    /// Number of consecutive cells that hold one shard.
    pub cells_per_shard: u32,
    /// Maximum number of parts in one call.
    pub call_size: usize,
    /// Work of a call in addition to the work of its parts.
    pub call_cost: TimeSpan,
}

/// Limits on grouping the attempts of one dispatch pass to one replica into calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallLimits {
    /// Maximum number of parts in one call.
    pub(super) max_parts: usize,
    /// Work of a call in addition to the work of its parts, in seconds.
    pub(super) cost: f64,
}

impl CallLimits {
    pub(super) fn new(config: &SetCoverConfig) -> CallLimits {
        CallLimits { max_parts: config.call_size.max(1), cost: config.call_cost.as_secs_f64() }
    }
}

/// Listed replicas by cell.
#[derive(Default)]
pub(super) struct ReplicaIndex {
    pub(super) cells: u32,
    pub(super) cells_per_shard: u32,
    /// Replicas of each cell, rebuilt on each change of the endpoint list.
    by_cell: Vec<Vec<ReplicaId>>,
}

impl ReplicaIndex {
    pub(super) fn new(config: &SetCoverConfig) -> ReplicaIndex {
        let by_cell = vec![Vec::new(); config.cells as usize];
        ReplicaIndex { cells: config.cells, cells_per_shard: config.cells_per_shard, by_cell }
    }

    pub(super) fn clear(&mut self) {
        self.by_cell.iter_mut().for_each(Vec::clear);
    }

    pub(super) fn insert(&mut self, cell: u32, replica: ReplicaId) {
        self.by_cell[(cell % self.cells) as usize].push(replica);
    }

    /// Returns whether the replicas of the cell hold the shard.
    pub(super) fn holds(&self, cell: u32, shard: u32) -> bool {
        (cell + self.cells - shard % self.cells) % self.cells < self.cells_per_shard
    }

    /// Returns the replicas that hold the shard.
    pub(super) fn holders(&self, shard: u32) -> impl Iterator<Item = ReplicaId> + '_ {
        (0..self.cells_per_shard.min(self.cells))
            .flat_map(move |offset| self.by_cell[((shard + offset) % self.cells) as usize].iter().copied())
    }
}

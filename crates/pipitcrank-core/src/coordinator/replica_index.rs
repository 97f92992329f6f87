//! Which replicas hold a shard. Cells stand in a ring; a shard is held by a run of consecutive cells.

use crate::ids::ReplicaId;
use crate::time::TimeSpan;

/// The ring of cells and the limits of one call.
#[derive(Clone, Debug, Default)]
pub struct SetCoverConfig {
    /// Cells of the ring.
    pub cells: u32,
    /// Consecutive cells that hold one shard.
    pub cells_per_shard: u32,
    /// Most parts in one call.
    pub call_size: usize,
    /// Work of a call beside its parts'.
    pub call_cost: TimeSpan,
}

/// How attempts of one pass to one replica are grouped into calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallLimits {
    /// Most parts in one call.
    pub(super) max_parts: usize,
    /// Work of a call beside its parts', in seconds.
    pub(super) cost: f64,
}

impl CallLimits {
    pub(super) fn new(config: &SetCoverConfig) -> CallLimits {
        CallLimits { max_parts: config.call_size.max(1), cost: config.call_cost.as_secs_f64() }
    }
}

/// The listed replicas by cell.
#[derive(Default)]
pub(super) struct ReplicaIndex {
    pub(super) cells: u32,
    pub(super) cells_per_shard: u32,
    /// Rebuilt at each change of the endpoint list.
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

    /// Whether replicas of the cell hold the shard.
    pub(super) fn holds(&self, cell: u32, shard: u32) -> bool {
        (cell + self.cells - shard % self.cells) % self.cells < self.cells_per_shard
    }

    /// The replicas that hold the shard.
    pub(super) fn holders(&self, shard: u32) -> impl Iterator<Item = ReplicaId> + '_ {
        (0..self.cells_per_shard.min(self.cells))
            .flat_map(move |offset| self.by_cell[((shard + offset) % self.cells) as usize].iter().copied())
    }
}

//! Decision logic of a co-ordinator that reads many shards for one query.
//!
//! `coordinator::Coordinator` makes the decisions; it does no I/O and reads no clock. `config` creates one
//! from settings, `output::CoordinatorOutput` receives the actions that it requests, and `ids` and `time`
//! define the types shared with the caller.

pub mod config;
pub mod coordinator;
pub mod ids;
pub mod interner;
pub mod output;
pub mod rng;
pub mod sliding_count;
pub mod time;

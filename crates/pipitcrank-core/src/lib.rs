//! The decisions of a co-ordinator that reads many shards for one query.
//!
//! `coordinator::Coordinator` decides; it does no I/O and reads no clock. `config` makes one from settings,
//! `output::CoordinatorOutput` is what it asks to be done, `ids` and `time` are the types that both sides share.

pub mod config;
pub mod coordinator;
pub mod ids;
pub mod interner;
pub mod output;
pub mod rng;
pub mod time;

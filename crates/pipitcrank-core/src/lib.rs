//! The decisions of a co-ordinator that reads many shards for one query.

pub mod config;
pub mod coordinator;
pub mod ids;
pub mod interner;
pub mod output;
pub mod rng;
pub mod time;

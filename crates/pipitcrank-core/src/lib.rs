//! The decisions of a co-ordinator that reads many shards for one query.

pub mod chance;
pub mod decide;
pub mod ids;
pub mod names;
pub mod port;
pub mod time;
pub mod told;

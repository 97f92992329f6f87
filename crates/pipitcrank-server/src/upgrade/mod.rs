//! The upgrade worker: hands this process's work over to a successor, or takes it over from a predecessor.

mod class_mapping;
pub mod context;
mod predecessor;
pub mod relay;
mod relayed;
mod successor;
pub mod worker;

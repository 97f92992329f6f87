//! The upgrade worker: hands the work over to a successor process, or takes it over from a predecessor.

pub mod context;
mod predecessor;
pub mod relay;
mod relayed;
mod successor;
pub mod worker;

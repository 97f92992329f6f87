//! The upgrade worker: hands the work over to a successor process, or takes it over from a predecessor.

pub mod relay;
pub mod worker;

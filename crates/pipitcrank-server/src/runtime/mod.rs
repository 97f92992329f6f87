//! Shared foundations of the server: clock, event loop, connection limits, TCP streams, counters, system errors and the
//! shutdown schedule.

pub mod clock;
pub mod connection_limits;
pub mod counter_names;
pub mod counters;
pub mod dial;
pub mod event_loop;
pub mod listener;
pub mod memory_budget;
pub mod memory_plan;
pub mod memory_usage;
pub mod shutdown;
pub mod stall_detector;
pub mod stream;
pub mod system_errors;

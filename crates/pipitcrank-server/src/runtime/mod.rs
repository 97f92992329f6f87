//! What every part stands on: clock, event loop, connection limits, TCP streams, counters, system errors, shutdown times.

pub mod clock;
pub mod connection_limits;
pub mod counter_names;
pub mod counters;
pub mod dial;
pub mod event_loop;
pub mod shutdown;
pub mod stall_detector;
pub mod stream;
pub mod system_errors;

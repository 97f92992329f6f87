//! Upgrade under load. `upgrade_state` decides who serves when, `resource_split` what each of two processes may spend, `snapshot`
//! is the form in which what is known passes; `descriptor_passing` carries messages with descriptors. Only `descriptor_passing` does I/O.

pub mod descriptor_passing;
pub mod messages;
pub mod resource_split;
pub mod snapshot;
pub mod upgrade_state;

//! Upgrade under load: a worker process hands over to its successor without losing a request.
//!
//! | module | purpose |
//! | --- | --- |
//! | `upgrade_event`, `upgrade_state` | state machine that decides which worker serves; no I/O |
//! | `resource_split` | division of retries and connections between two running processes |
//! | `snapshot` | encoding of the learned state, for the successor and for the store |
//! | `messages` | messages between supervisor, predecessor and successor |
//! | `descriptor_passing` | links that carry messages and file descriptors; the only module with socket I/O |
//! | `exact_decode`, `clock` | decoding of complete buffers; the machine's monotonic clock |

pub mod clock;
mod crash_history;
pub mod descriptor_passing;
pub mod exact_decode;
pub mod messages;
pub mod resource_split;
pub mod snapshot;
pub mod upgrade_event;
pub mod upgrade_state;

//! Upgrade under load: one worker process hands over to its successor without a lost request.
//!
//! | module | job |
//! | --- | --- |
//! | `upgrade_event`, `upgrade_state` | which worker serves, and when that changes: a state machine without I/O |
//! | `resource_split` | what each of two processes may use while both live |
//! | `snapshot` | the form in which learned state passes to the successor, and is stored |
//! | `messages` | what supervisor, predecessor and successor send each other |
//! | `descriptor_passing` | a link that carries messages with descriptors; the only module with I/O |
//! | `exact_decode`, `clock` | decoding of whole buffers; the machine's monotonic clock |

pub mod clock;
mod crash_history;
pub mod descriptor_passing;
pub mod exact_decode;
pub mod messages;
pub mod resource_split;
pub mod snapshot;
pub mod upgrade_event;
pub mod upgrade_state;

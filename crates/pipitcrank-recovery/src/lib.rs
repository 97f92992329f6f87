//! Return to service after a restart.
//!
//! | module | job |
//! | --- | --- |
//! | `store` | what is kept on disk, written by a thread of its own |
//! | `last_known_state` | which parts of the state kept on disk are recent enough to be used; no I/O, no clock |
//! | `restart_waves` | which nodes may be restarted at once in a rolling restart; no I/O, no clock |

pub mod last_known_state;
pub mod restart_waves;
pub mod store;

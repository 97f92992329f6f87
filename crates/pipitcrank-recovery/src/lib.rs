//! Recovery after a restart: persistent state, its reuse, and the order of a rolling restart.
//!
//! | module | purpose |
//! | --- | --- |
//! | `store` | persistent state in one file, written by a dedicated thread |
//! | `last_known_state` | selects the parts of the stored state that are recent enough to be used; no I/O, no clock |
//! | `restart_waves` | groups the nodes of a rolling restart into waves; no I/O, no clock |

pub mod last_known_state;
pub mod restart_waves;
pub mod store;

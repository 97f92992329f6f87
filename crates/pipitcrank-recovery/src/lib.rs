//! Coming back after a restart: what is kept on disk (`store.rs`, a thread of its own), what of it may be gone by
//! (`last_known_state.rs`), and how many copies may be away at once when they are restarted on purpose (`restart_waves.rs`); the latter two
//! are books without I/O and clock.

pub mod last_known_state;
pub mod restart_waves;
pub mod store;

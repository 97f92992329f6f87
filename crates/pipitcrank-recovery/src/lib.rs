//! Coming back after a restart: what is kept on disk (`store.rs`, a thread of its own), what of it may be gone by
//! (`beliefs.rs`), and how many copies may be away at once when they are restarted on purpose (`turns.rs`); the latter two
//! are books without I/O and clock.

pub mod beliefs;
pub mod store;
pub mod turns;

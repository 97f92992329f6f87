//! Connections to replicas: the pool, one connection, the frames on it and how it ends.

pub mod connection;
pub mod connection_end;
pub mod connection_state;
pub mod frames;
pub mod pool;

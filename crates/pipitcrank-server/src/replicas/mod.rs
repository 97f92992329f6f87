//! Connections to replicas: the pool, the task of one connection, its frames and its end.

pub mod connection;
pub mod connection_end;
pub mod connection_state;
pub mod finished_parts;
pub mod frames;
pub mod pool;

//! The endpoint list: the client of the discovery service and the decoding of its updates.

pub mod client;
pub mod endpoint_update;
pub mod http;
pub mod json_objects;
pub mod poll_pacing;
mod source;

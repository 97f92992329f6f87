//! The endpoint list: the client of the discovery service and the parsing of what it sends.

pub mod client;
pub mod json_objects;

//! Stand-ins written from the protocol, on loopback alone: replicas, discovery, clients; faults by script; a ledger that
//! knows how each query ended and how often each part ran; and the trials that are played on them. Never linked into
//! what serves.

pub mod client;
pub mod demo;
pub mod discovery;
pub mod faults;
pub mod fleet;
pub mod ledger;
pub mod link;
pub mod net;
pub mod process;
pub mod replica;
pub mod soak;
pub mod trial;
pub mod zoned;

//! Test kit that uses loopback only: stand-in replicas, discovery and clients, each written from the protocol and not
//! from the code under test; scripted faults; a query log that records how each query ended and how often each part
//! ran; and the trials and the soak test. Serving code uses none of it.

#![warn(missing_docs)]

pub mod client;
pub mod crowd;
pub mod datagram_network;
pub mod demo;
pub mod discovery;
pub mod fleet;
pub mod link;
pub mod outcome;
pub mod process;
pub mod query_log;
pub mod query_outcome;
mod query_utility;
pub mod replica;
pub mod runtime;
pub mod soak;
pub mod syscall_faults;
pub mod trial;
pub mod zoned_fleet;

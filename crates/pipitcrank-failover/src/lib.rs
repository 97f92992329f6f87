//! Zone failover. Every node reports its observations of all zones (`pipitcrank-membership`). A few voters,
//! spread over the zones, agree on one numbered decision at a time. Each node routes by the newest decision
//! that it has received and never by an older one.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`controller`] | computes the next decision: zone states, steps, hold-down, operators' orders |
//! | [`routing_table`] | computes the fraction of each zone's queries that is routed to each zone |
//! | [`follower`] | selects what a node acts on: the decision or, if isolated, local evidence within bounds |
//! | [`voter`] | drives the Raft library and determines which processes are voters; zones are opaque to it |
//! | [`node`] | connects the parts of one node; the caller passes in datagrams and times |
//!
//! This package opens no sockets and reads no clock, so the program (`pipitcrank-cli`), the emulator and the
//! tests run the same code.

mod constants;
pub mod controller;
pub mod decision;
#[cfg(test)]
#[path = "../../../fixtures/mod.rs"]
mod fixtures;
pub mod follower;
pub mod node;
pub mod routing_table;
pub mod voter;

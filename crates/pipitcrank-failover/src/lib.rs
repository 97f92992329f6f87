//! The common decision on zones. Each node reports what it observes (`pipitcrank-membership`); few voters, spread over the
//! zones, agree on one numbered decision at a time; all nodes act on the newest they know, and on none that is older.
//!
//! | module | decides |
//! | --- | --- |
//! | [`controller`] | what the next decision is: states of zones, steps, hold-down; which operators' orders are accepted |
//! | [`routing_table`] | which fraction of each zone's queries is routed to which zone |
//! | [`follower`] | what one node acts on: the decision, or, isolated for long, its own evidence within bounds |
//! | [`voter`] | nothing about zones: drives the Raft library, and decides who belongs to the voters |
//! | [`node`] | nothing: connects the parts of one node; fed datagrams and times |
//!
//! No sockets and no clock anywhere here: the program (`pipitcrank-cli`), the emulator and the tests drive the same code.

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

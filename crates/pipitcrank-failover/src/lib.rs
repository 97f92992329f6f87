//! The common decision on zones. Each copy says what it sees (`pipitcrank-membership`); few voters, spread over the zones,
//! agree on one numbered decision at a time; all copies act on the newest they know, and on none that is older.
//!
//! | file | decides |
//! | --- | --- |
//! | `controller.rs` | what the next decision is: states of zones, steps, hold-down; what operators may order |
//! | `routing_table.rs` | which share of each zone's queries is meant for which zone |
//! | `follower.rs` | what one copy acts on: the decision, or, cut off for long, its own evidence within bounds |
//! | `voter.rs` | nothing: the adapter round the agreement's library, and who belongs to the voters |
//! | `node.rs` | nothing: joins the parts of one copy; fed datagrams and times |
//!
//! No sockets and no clock anywhere here: the program's hands (`pipitcrank-cli`), the emulator and the tests drive the same.

pub mod controller;
pub mod decision;
pub mod follower;
pub mod node;
pub mod routing_table;
pub mod voter;

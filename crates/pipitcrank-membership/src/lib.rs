//! Membership of the co-ordinator's nodes: which nodes are live ([`members`], SWIM by `foca`), what each observes of every
//! zone ([`evidence`]), and how a datagram between them is sealed ([`envelope`]). No sockets and no clock.
//!
//! All of it is soft state: aged, and possibly wrong. What the nodes have agreed on belongs to `pipitcrank-failover`.

pub mod envelope;
pub mod evidence;
pub mod members;
pub mod peer;
mod replay_filter;

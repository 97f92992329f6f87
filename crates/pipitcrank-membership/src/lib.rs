//! Copies of the co-ordinator that know of each other: who is there (`members.rs`, SWIM by `foca`), what each sees of
//! every zone (`evidence.rs`), and how a datagram between them is sealed (`envelope.rs`). No sockets, no clock.
//!
//! All of it is belief: soft, aged, perhaps wrong. What all have agreed on is `pipitcrank-failover`'s.

pub mod envelope;
pub mod evidence;
pub mod members;
pub mod peer;

//! Membership of the co-ordinator's nodes: the live nodes ([`members`], SWIM by `foca`), the observations of
//! each node on every zone ([`evidence`]), and the sealing of datagrams between nodes ([`envelope`]). The
//! package opens no sockets and reads no clock.
//!
//! All of this is soft state: it expires and may be wrong. State that nodes agree on belongs to
//! `pipitcrank-failover`.

pub mod envelope;
pub mod evidence;
pub mod members;
pub mod peer;
mod replay_filter;

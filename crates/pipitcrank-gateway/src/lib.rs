//! The gateway between sites. Books, without I/O: `route` (may parts go there, and what does the hop cost), `forwards`
//! (what of ours is out on a lane, and what became of it when the link broke), `ledger` (what others sent us, so that
//! nothing runs twice), `credit`. `frames` is the link's protocol. Hands: `near` sends parts, `far` answers them.

pub mod credit;
pub mod far;
pub mod forwards;
pub mod frames;
pub mod ledger;
pub mod near;
pub mod route;

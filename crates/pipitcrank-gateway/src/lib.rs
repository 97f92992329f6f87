//! The gateway between sites: parts of a query go over a link to another site and are answered there.
//!
//! State machines, without I/O: [`site_health`] (may parts be sent there, and what does the detour cost),
//! [`sent_forwards`] (what of ours is outstanding on a stream, and what becomes of it when the link breaks),
//! [`received_forwards`] (what others sent us, so that nothing runs twice), [`flow_control`]. [`frames`] is the link's
//! protocol. Drivers: [`link_client`] sends parts, [`link_server`] answers them.

pub mod flow_control;
mod forward_service;
pub mod frames;
pub mod link_client;
mod link_connection;
mod link_end;
pub mod link_server;
mod link_session;
mod message_sender;
pub mod received_forwards;
mod remote_site;
pub mod sent_forwards;
pub mod site_health;

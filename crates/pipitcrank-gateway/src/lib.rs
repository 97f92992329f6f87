//! The gateway between sites: parts of a query are forwarded over a link to another site, which answers them.
//!
//! State machines without I/O:
//! - [`site_health`] decides whether parts may be sent to a site and which delay the site's cells have.
//! - [`sent_forwards`] tracks the outstanding forwards of a stream and their outcomes when its connection breaks.
//! - [`received_forwards`] records the forwards received from other sites, so that none runs twice.
//! - [`flow_control`] limits the bytes in flight in each direction.
//!
//! [`frames`] defines the link protocol. Drivers: [`link_client`] sends forwards, [`link_server`] answers them.

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

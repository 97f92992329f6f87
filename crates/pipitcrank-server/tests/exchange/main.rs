//! The exchange driven by hand: no socket, no clock but the one in the test.

mod handover;
mod harness;
mod properties;
mod queries;
mod remote_sites;
mod send_guard;

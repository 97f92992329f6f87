//! Tests of the exchange without sockets and with times set by the tests.

mod handover;
mod harness;
mod properties;
mod queries;
mod remote_sites;
mod send_guard;

//! Client connections: accepting them, reading HTTP requests, writing answers.

pub mod accept_queue;
pub mod acceptor;
pub mod client_connections;
pub mod connection;
pub mod http;
pub mod request_reader;

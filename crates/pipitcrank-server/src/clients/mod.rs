//! Client connections: accepting connections, reading HTTP requests and writing responses.

pub mod accept_queue;
pub mod acceptor;
pub mod arrival;
pub mod body_reader;
pub mod client_connections;
pub mod connection;
mod connection_server;
pub mod head_tracker;
pub mod http;
mod linger;
pub mod query_body;
pub mod request_error;
pub mod request_reader;

//! What the co-ordinator on sockets is made of, one job a file.

pub mod acceptor;
pub mod audit;
pub mod awake;
pub mod charter;
pub mod client_connections;
pub mod clock;
pub mod counters;
pub mod dial;
pub mod discovery;
pub mod ends;
pub mod exchange;
pub mod frames;
pub mod front;
pub mod hall;
pub mod leaves;
pub mod objects;
pub mod reasons;
pub mod relay;
pub mod reload;
pub mod request_reader;
pub mod serve;
pub mod shutdown;
pub mod stream;
pub mod system_errors;
pub mod wire;
pub mod worker;

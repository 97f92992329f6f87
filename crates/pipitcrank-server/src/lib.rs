//! The coordinator on sockets, as a library.
//!
//! A request passes through the modules in this order: `clients` reads it, `exchange` hands it to the decision module of
//! `pipitcrank-core`, `replicas` sends the attempts; the answers come back the same way. `discovery` keeps the endpoint
//! list, `upgrade` replaces the process, `audit` checks the rules while it runs, `runtime` is what all of them stand on.

pub mod audit;
pub mod clients;
pub mod discovery;
pub mod exchange;
pub mod node_config;
pub mod reasons;
pub mod reload;
pub mod replicas;
pub mod runtime;
pub mod serve;
pub mod server_context;
mod server_parts;
mod start_error;
pub mod upgrade;

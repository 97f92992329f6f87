//! The co-ordinator's server, as a library.
//!
//! A request passes through the modules in this order: `clients` reads it, `exchange` submits it to the `Coordinator`
//! of `pipitcrank-core`, and `replicas` sends the attempts; answers take the reverse path. `discovery` maintains the
//! endpoint list, `upgrade` replaces the process, `audit` checks the rules at run time, and `runtime` holds the shared
//! foundations.

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

//! The exchange connects the client side to the replica side and holds the decision module; it owns no socket.
//!
//! Whatever happens outside becomes an [`event`](Exchange::submit) in a queue. [`Exchange::run_batch`] hands all queued
//! events to the coordinator, then the timers that are due, lets it dispatch what waits, and executes the commands that
//! it gave. Nothing is decided here, but every send passes one guard ([`Exchange::authorize_send`]).
//!
//! One file for each concern: `state` (the type, its inputs and its read-only view), `batch`, `admission`, `send_guard`,
//! `endpoint_list`, `remote_sites`, `zones`, `handover`; `request_table` and `coordinator_output` hold queries, parts and
//! attempts and are what the coordinator calls.

mod admission;
mod batch;
mod coordinator_output;
mod endpoint;
mod endpoint_list;
mod event;
mod handover;
mod query;
mod remote_sites;
mod request_table;
mod send_guard;
mod state;
mod transport;
mod zones;

pub use endpoint::Endpoint;
pub use pipitcrank_core::ids::AttemptId;
pub use query::{
    DelegatedRequest, PartSink, QueryPart, QueryRequest, QueryResponse, REQUEST_LOG_TARGET, ResponseSink,
};
pub use remote_sites::{OutgoingForward, OutgoingPart};
pub use state::Exchange;
pub use transport::ReplicaTransport;

//! The exchange connects the client side to the replica side. It owns no sockets. All decisions are made by the
//! [`Coordinator`](pipitcrank_core::coordinator::Coordinator) that it contains.
//!
//! Each input, such as [`submit`](Exchange::submit), queues an event. [`Exchange::run_batch`] passes all queued events
//! and then the due timers to the `Coordinator`, calls its `dispatch` for the waiting parts, and executes its commands.
//! [`Exchange::authorize_send`] checks each send once more.
//!
//! The replica side names attempts by their [`AttemptHandle`]. What it reports of an attempt that is not outstanding any
//! more is dropped.
//!
//! `state` defines the type, its inputs and its read-only view. `batch`, `admission`, `send_guard`, `endpoint_list`,
//! `remote_sites`, `zones` and `handover` implement one concern each. `request_table` stores queries, parts and
//! attempts, and `coordinator_output` implements the `Coordinator`'s output interface on it.

mod admission;
mod attempt_handle;
mod batch;
mod coordinator_output;
mod endpoint;
mod endpoint_list;
mod event;
mod handover;
mod query;
mod recent_queries;
mod remote_sites;
mod request_table;
mod send_guard;
mod state;
mod transport;
mod zones;

pub use attempt_handle::{AttemptHandle, PartIds};
pub use endpoint::Endpoint;
pub use query::{
    DelegatedRequest, PartSink, QueryPart, QueryRequest, QueryResponse, REQUEST_LOG_TARGET, ResponseSink,
};
pub use remote_sites::{OutgoingForward, OutgoingPart};
pub use state::Exchange;
pub use transport::ReplicaTransport;

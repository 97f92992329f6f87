//! What a coordinator asks to be done.

use crate::ids::{AttemptId, PartId, QueryId, RejectReason, ReplicaId};
use crate::time::{TimeSpan, Timestamp};

/// Carries out what a coordinator asks for, as it stands and in the order of the calls; nothing here is decided.
pub trait CoordinatorOutput {
    /// Sends the part to the replica, as its next attempt, and stops waiting for it at `deadline`. Attempts of one
    /// dispatch pass to one replica share calls, up to the configured call size.
    fn send_attempt(&mut self, part: PartId, replica: ReplicaId, deadline: Timestamp);
    /// Stops waiting for that attempt.
    fn cancel_attempt(&mut self, attempt: AttemptId);
    /// Answers the query from the parts answered so far.
    fn answer(&mut self, query: QueryId, is_complete: bool);
    /// Rejects the query: repeating it is harmless, after that time.
    fn reject(&mut self, query: QueryId, retry_after: TimeSpan, reason: RejectReason);
    /// Ends the query and promises nothing about its effect.
    fn abort(&mut self, query: QueryId, reason: RejectReason);
    /// Calls `Coordinator::timer_fired` with this label at that time.
    fn set_timer(&mut self, at: Timestamp, label: u64);
    /// Asks the replica for its load.
    fn send_load_probe(&mut self, replica: ReplicaId);
    /// Watches the endpoint list for changes.
    fn watch_endpoints(&mut self);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
    /// The index is free: the coordinator names it no more.
    fn release_query(&mut self, query: QueryId);
    /// The index is free: the coordinator names it no more.
    fn release_part(&mut self, part: PartId);
    /// The index is free: the coordinator names it no more.
    fn release_replica(&mut self, replica: ReplicaId);
}

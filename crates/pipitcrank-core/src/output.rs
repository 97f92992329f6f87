//! Actions requested by a co-ordinator.

use crate::ids::{AttemptId, PartId, QueryId, RejectReason, ReplicaId};
use crate::time::{TimeSpan, Timestamp};

/// Carries out the actions requested by a co-ordinator, in the order of the calls. Implementations make no
/// decisions.
pub trait CoordinatorOutput {
    /// Sends the part to the replica as its next attempt, and stops waiting for the answer at `deadline`.
    /// Attempts of one dispatch pass to one replica share calls, up to the configured call size.
    fn send_attempt(&mut self, part: PartId, replica: ReplicaId, deadline: Timestamp);
    /// Cancels an outstanding attempt.
    fn cancel_attempt(&mut self, attempt: AttemptId);
    /// Answers the query with the parts answered so far.
    fn answer(&mut self, query: QueryId, is_complete: bool);
    /// Rejects the query. The client may safely repeat it after `retry_after`.
    fn reject(&mut self, query: QueryId, retry_after: TimeSpan, reason: RejectReason);
    /// Aborts the query. Whether it took effect is not known.
    fn abort(&mut self, query: QueryId, reason: RejectReason);
    /// Calls `Coordinator::timer_fired` with this label at the given time.
    fn set_timer(&mut self, at: Timestamp, label: u64);
    /// Sends a load probe to the replica.
    fn send_load_probe(&mut self, replica: ReplicaId);
    /// Starts to watch the endpoint list for changes.
    fn watch_endpoints(&mut self);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
    /// Releases the index of a query. The co-ordinator no longer uses it.
    fn release_query(&mut self, query: QueryId);
    /// Releases the index of a part. The co-ordinator no longer uses it.
    fn release_part(&mut self, part: PartId);
    /// Releases the index of a replica. The co-ordinator no longer uses it.
    fn release_replica(&mut self, replica: ReplicaId);
}

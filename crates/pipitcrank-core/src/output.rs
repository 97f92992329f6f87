//! What the decision module asks of the outside. Whoever implements it carries out each call as it stands and
//! in the order made; nothing here is decided.

use crate::ids::{AttemptId, PartId, QueryId, RejectReason, ReplicaId};
use crate::time::{TimeSpan, Timestamp};

pub trait CoordinatorOutput {
    /// Sends the part to the replica; the outside gives up waiting at `until`. Calls of one turn to one replica
    /// travel together, up to the set call size.
    fn send_attempt(&mut self, part: PartId, replica: ReplicaId, until: Timestamp);
    /// Stops waiting for that attempt.
    fn cancel_attempt(&mut self, attempt: AttemptId);
    /// Answers the query from the parts that are in.
    fn answer(&mut self, query: QueryId, whole: bool);
    /// Turns the query away and says that asking again is harmless.
    fn reject(&mut self, query: QueryId, retry_after: TimeSpan, why: RejectReason);
    /// Ends the query and promises nothing about its effect.
    fn abort(&mut self, query: QueryId, why: RejectReason);
    /// Asks for `Coordinator::woken` with this label at that time.
    fn set_timer(&mut self, at: Timestamp, label: u64);
    fn send_load_probe(&mut self, replica: ReplicaId);
    /// Subscribes to changes of the list of replicas.
    fn watch_endpoints(&mut self);
    fn log(&mut self, text: &str);
    /// The index is free: the module will not name it again.
    fn release_query(&mut self, query: QueryId);
    fn release_part(&mut self, part: PartId);
    fn release_replica(&mut self, replica: ReplicaId);
}

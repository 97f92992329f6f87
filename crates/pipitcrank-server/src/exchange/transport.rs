//! What the exchange asks of the replica side.

use std::net::SocketAddr;

use pipitcrank_core::ids::{AttemptId, ReplicaId};

/// The replica side: sends attempts and load probes, and reports their ends to the exchange.
///
/// All methods are called within a batch: an implementation reports nothing before the batch is over.
pub trait ReplicaTransport {
    /// The replica is reached at that address from now on.
    fn set_address(&mut self, replica: ReplicaId, address: SocketAddr);
    /// The replica is not needed any more; its id may come to stand for another one.
    fn remove_replica(&mut self, replica: ReplicaId);
    /// Sends these attempts in one call. They pass `Exchange::authorize_send` before the first byte is written.
    fn send_attempts(&mut self, replica: ReplicaId, attempts: Vec<AttemptId>);
    /// Nobody waits for the attempt any more.
    fn cancel_attempt(&mut self, replica: ReplicaId, attempt: AttemptId);
    /// Asks the replica for its load.
    fn send_load_probe(&mut self, replica: ReplicaId);
}

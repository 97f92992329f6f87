//! The exchange's interface to the replica side.

use std::net::SocketAddr;

use pipitcrank_core::ids::ReplicaId;

use super::attempt_handle::{AttemptHandle, PartIds};

/// The replica side: sends attempts and load probes, and reports their ends to the exchange.
///
/// All methods are called within a batch. An implementation must not report to the exchange before the batch ends.
pub trait ReplicaTransport {
    /// Sets the address of the replica.
    fn set_address(&mut self, replica: ReplicaId, address: SocketAddr);
    /// Removes the replica. Its id may be reused for another replica.
    fn remove_replica(&mut self, replica: ReplicaId);
    /// Sends the attempts in one call. They pass `Exchange::authorize_send` before the first byte is written.
    fn send_attempts(&mut self, replica: ReplicaId, attempts: Vec<AttemptHandle>, part_ids: &dyn PartIds);
    /// Cancels an attempt whose answer is no longer needed.
    fn cancel_attempt(&mut self, replica: ReplicaId, attempt: AttemptHandle);
    /// Sends a load probe to the replica.
    fn send_load_probe(&mut self, replica: ReplicaId);
}

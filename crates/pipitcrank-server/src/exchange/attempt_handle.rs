//! Handles of attempts, by which the replica side names them to the exchange.

use std::rc::Rc;

use pipitcrank_core::ids::AttemptId;

/// Names one attempt for the whole life of the process. An [`AttemptId`] is reused once its part is released, while the
/// replica side may still report on the attempt that had it before; a handle is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptHandle {
    /// Id of the attempt in the `Coordinator`.
    pub id: AttemptId,
    /// Distinguishes the attempt from all others that have had this id.
    pub generation: u64,
}

/// Looks up the ids by which replicas name parts.
pub trait PartIds {
    /// Id of the attempt's part. The attempt must be outstanding.
    fn part_id(&self, attempt: AttemptHandle) -> Rc<str>;
}

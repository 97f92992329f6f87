//! What the decision module asks of the outside. Whoever implements it carries out each call as it stands and
//! in the order made; nothing here is decided.

use crate::ids::{PartId, QueryId, RejectReason, ReplicaId};
use crate::time::{TimeSpan, Timestamp};

pub trait CoordinatorOutput {
    /// Sends the part to the leaf; the outside gives up waiting at `until`. Calls of one turn to one leaf
    /// travel together, up to the set call size.
    fn leaf_call(&mut self, part: PartId, leaf: ReplicaId, until: Timestamp);
    /// Stops waiting for the part's leaf call of that number, counted from 0.
    fn abandon(&mut self, part: PartId, nth: u32);
    /// Answers the query from the parts that are in.
    fn merge(&mut self, query: QueryId, whole: bool);
    /// Turns the query away and says that asking again is harmless.
    fn reject(&mut self, query: QueryId, stay_away: TimeSpan, why: RejectReason);
    /// Ends the query and promises nothing about its effect.
    fn abort(&mut self, query: QueryId, why: RejectReason);
    /// Asks for `Coordinator::woken` with this label at that time.
    fn wake_me(&mut self, at: Timestamp, label: u64);
    fn probe(&mut self, leaf: ReplicaId);
    /// Subscribes to changes of the list of leaves.
    fn watch(&mut self);
    fn note(&mut self, text: &str);
    /// The index is free: the module will not name it again.
    fn let_go_query(&mut self, query: QueryId);
    fn let_go_part(&mut self, part: PartId);
    fn let_go_leaf(&mut self, leaf: ReplicaId);
}

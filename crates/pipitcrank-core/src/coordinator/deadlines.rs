//! The time by which all that is held has to be answered, where this process is to end before its clients' own times.
//! Nothing is decided here: how each query ends by its time is said in `tend`, for this time as for the client's.

use super::Coordinator;
use crate::time::Timestamp;

impl Coordinator {
    /// Whatever is held ends by then at the latest. Guards against queries whose clients would wait for longer than the
    /// platform does before it kills: they got nothing, not even what was in.
    pub fn cap_deadlines(&mut self, by: Timestamp) {
        for open in self.queries.values_mut().filter(|open| by < open.ends) {
            open.ends = by;
            open.slo = open.slo.min(by);
            open.answer_by = open.answer_by.min(by - self.tick);
        }
    }
}

//! What was known last, as it is kept, and how far a process that comes back may go by it. No I/O, no clock: both clocks'
//! readings come in.
//!
//! ```text
//! age not known (a clock was set back)  --> nothing but the decision's number, under which none is followed any more
//! older than told                       --> the same, and whom to ask
//! younger                               --> all of it, by its age
//! ```

use pipitcrank_core::time::TimeSpan;
use pipitcrank_failover::decision::Decision;
use pipitcrank_handover::snapshot::Snapshot;
use pipitcrank_membership::peer::Peer;
use serde::{Deserialize, Serialize};

/// Two clocks tell the same time that has passed if they differ by no more: one that was set, by any amount that matters.
const CLOCKS_AGREE: i64 = 2_000_000;
/// Most members kept, as many as an operators' file may name: whom to ask first. Each takes some twenty bytes.
pub const MOST_MEMBERS: usize = 4096;

/// Now, by the machine's clock of the day, in microseconds since 1970, and by the one that runs since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clocks {
    pub day_us: i64,
    pub since_boot_us: i64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beliefs {
    written: Clocks,
    /// In the form in which one process hands over to another; empty where that could not be had.
    snapshot: Vec<u8>,
    pub decision: Option<Decision>,
    pub members: Vec<Peer>,
}

/// What of it is gone by.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recalled {
    /// How long ago, and what was known of replicas.
    pub known: Option<(TimeSpan, Snapshot)>,
    pub decision: Option<Decision>,
    pub members: Vec<Peer>,
}

/// How old something written then is now; none where no clock can be believed.
pub fn age(written: Clocks, now: Clocks) -> Option<TimeSpan> {
    let (day, boot) = (now.day_us - written.day_us, now.since_boot_us - written.since_boot_us);
    let span = |us: i64| TimeSpan::from_millis(us / 1000);
    match (day >= 0, boot >= 0) {
        // The machine was started anew: only the day's clock goes on.
        (true, false) => Some(span(day)),
        // The day's clock was set back, or the machine started and the clock not yet set.
        (false, _) => None,
        // Of two that differ the larger: taken for older than it is, it is left sooner.
        (true, true) if (day - boot).abs() <= CLOCKS_AGREE => Some(span(boot)),
        (true, true) => Some(span(day.max(boot))),
    }
}

impl Beliefs {
    pub fn new(
        now: Clocks,
        snapshot: &Snapshot,
        decision: Option<Decision>,
        mut members: Vec<Peer>,
    ) -> Beliefs {
        members.truncate(MOST_MEMBERS);
        Beliefs { written: now, snapshot: snapshot.encode().unwrap_or_default(), decision, members }
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// What is kept, if it can be read whole.
    pub fn decode(bytes: &[u8]) -> Option<Beliefs> {
        let (beliefs, rest): (Beliefs, _) = postcard::take_from_bytes(bytes).ok()?;
        (rest.is_empty() && beliefs.members.len() <= MOST_MEMBERS).then_some(beliefs)
    }

    /// What of it may be gone by now. `oldest`: what is older is no knowledge of replicas.
    pub fn recall(self, now: Clocks, oldest: TimeSpan) -> Recalled {
        let age = age(self.written, now);
        let young = age.filter(|age| *age <= oldest);
        let known = young.and_then(|age| Some((age, Snapshot::decode(&self.snapshot).ok()?)));
        let members = if age.is_some() { self.members } else { Vec::new() };
        Recalled { known, decision: self.decision, members }
    }
}

#[cfg(test)]
mod tests;

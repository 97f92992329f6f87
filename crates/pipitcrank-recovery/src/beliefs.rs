//! What was known last, as it is kept, and how far a process that comes back may go by it. No I/O, no clock: both clocks'
//! readings come in.
//!
//! ```text
//! age not known (a clock was set back)  --> nothing but the decision's number, under which none is followed any more
//! older than told                       --> the same, and whom to ask
//! younger                               --> all of it, by its age
//! ```

use pipitcrank::time::Span;
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
    /// How long ago, and what was known of leaves.
    pub known: Option<(Span, Snapshot)>,
    pub decision: Option<Decision>,
    pub members: Vec<Peer>,
}

/// How old something written then is now; none where no clock can be believed.
pub fn age(written: Clocks, now: Clocks) -> Option<Span> {
    let (day, boot) = (now.day_us - written.day_us, now.since_boot_us - written.since_boot_us);
    let span = |us: i64| Span::from_ms(us / 1000);
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

    /// What of it may be gone by now. `oldest`: what is older is no knowledge of leaves.
    pub fn recall(self, now: Clocks, oldest: Span) -> Recalled {
        let age = age(self.written, now);
        let young = age.filter(|age| *age <= oldest);
        let known = young.and_then(|age| Some((age, Snapshot::decode(&self.snapshot).ok()?)));
        let members = if age.is_some() { self.members } else { Vec::new() };
        Recalled { known, decision: self.decision, members }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const OLDEST: Span = Span::from_ms(60_000);

    fn clocks(day_s: i64, boot_s: i64) -> Clocks {
        Clocks { day_us: day_s * 1_000_000, since_boot_us: boot_s * 1_000_000 }
    }

    fn some(now: Clocks) -> Beliefs {
        let peer = Peer { address: ([127, 0, 0, 1], 9).into(), instance: 5, zone: 0 };
        let known = pipitcrank::decide::Root::new(
            pipitcrank::chance::Chance::new(1),
            Default::default(),
            Default::default(),
            Default::default(),
            Default::default(),
            false,
            Span::from_ms(5),
        )
        .known(pipitcrank::time::At::default());
        let snapshot = Snapshot { known, ..Snapshot::default() };
        Beliefs::new(now, &snapshot, Some(Decision::first(3, 7 << 32)), vec![peer; MOST_MEMBERS + 80])
    }

    #[test]
    fn young_all_of_it_old_whom_to_ask_and_without_a_clock_the_number_alone() {
        let written = clocks(1_000_000, 500);
        for (now, known, members) in [
            (clocks(1_000_010, 510), true, true),
            (clocks(1_000_100, 600), false, true),
            // Started anew ten seconds ago.
            (clocks(1_000_020, 10), true, true),
            // The day's clock was set back, with the machine up and after a start.
            (clocks(999_000, 510), false, false),
            (clocks(999_000, 10), false, false),
            // It was set ahead: held to be as old as that.
            (clocks(2_000_000, 510), false, true),
        ] {
            let kept = Beliefs::decode(&some(written).encode()).unwrap();
            let recalled = kept.recall(now, OLDEST);
            assert_eq!((recalled.known.is_some(), !recalled.members.is_empty()), (known, members), "{now:?}");
            assert_eq!(recalled.decision.map(|d| d.number), Some(7 << 32));
        }
        assert_eq!(some(written).members.len(), MOST_MEMBERS);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Never younger than it is by the clock that was not touched.
        #[test]
        fn nothing_is_taken_for_younger_than_it_is(passed in 0i64..100_000, set in -50_000i64..50_000, booted in any::<bool>()) {
            let written = clocks(1_000_000, 5_000);
            let now = clocks(1_000_000 + passed + set, if booted { 1 } else { 5_000 + passed });
            let age = age(written, now);
            // With the machine started anew and its clock set back by less than has passed nothing tells.
            if let Some(age) = age.filter(|_| !booted || set >= 0) {
                prop_assert!(age.s() >= passed as f64 - 2.0, "{age:?} for {passed}");
            }
        }

        #[test]
        fn cut_or_longer_it_is_left(cut in 0usize..4000, more in 1usize..9) {
            let bytes = some(clocks(9, 9)).encode();
            prop_assert!(Beliefs::decode(&bytes[..cut % bytes.len()]).is_none());
            prop_assert!(Beliefs::decode(&[&bytes[..], &vec![0; more][..]].concat()).is_none());
        }

        #[test]
        fn noise_does_no_harm(noise in proptest::collection::vec(any::<u8>(), 0..300)) {
            if let Some(beliefs) = Beliefs::decode(&noise) {
                prop_assert!(beliefs.recall(clocks(9, 9), OLDEST).members.len() <= MOST_MEMBERS);
            }
        }
    }
}

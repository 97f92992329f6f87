//! What other sites forwarded to this one, by link and number, for as long as a repeat can come: nothing is begun twice.
//! No I/O. A peer whose link broke asks by number what became of its forwards and is answered from here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pipitcrank::time::{At, Span};

use crate::frames::{Forward, How};

/// One lane of one instance of a site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lane {
    pub site: String,
    pub instance: u64,
    pub lane: u16,
}

/// Most sites that a forward may have crossed when it comes: one, its origin. Each hop costs a round trip of the client's
/// time, and a site that is asked answers from its own leaves.
const MOST_CROSSED: usize = 1;
/// Less time than this is no time: a tick there and a leaf's quickest answer.
const LEAST_LEFT: Span = Span::from_ms(5);
/// Forwards held over all lanes. Beyond that none is taken: forgetting one that may be asked for is worse.
pub const MOST: usize = 20_000;
/// Bytes of answers held for lanes that may ask again, at most; beyond it the oldest are told as aborted.
pub const MOST_BYTES: usize = 16 << 20;

#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// It is begun, under that mark.
    Begin(u64),
    /// It is in hand, or done: what is known goes out again.
    Again,
    /// It is not begun, and never will be.
    Refuse(How),
}

struct Entry {
    mark: u64,
    /// Answers so far, until the lane has had them all.
    answers: Vec<(u32, String)>,
    end: Option<(How, u32)>,
    forget_at: At,
}

/// What is told again of a forward.
#[derive(Debug, PartialEq)]
pub struct Told {
    pub answers: Vec<(u32, String)>,
    pub end: Option<(How, u32)>,
}

#[derive(Default)]
struct OfLane {
    entries: BTreeMap<u64, Entry>,
    /// Numbers that were asked for and had not come: they may still be on an old connection and are not begun.
    barred: BTreeSet<u64>,
    /// Below this all are forgotten and none is begun.
    floor: u64,
    heard: At,
}

#[derive(Default)]
pub struct Ledger {
    lanes: BTreeMap<Lane, OfLane>,
    /// Where each mark belongs.
    marks: BTreeMap<u64, (Lane, u64)>,
    /// By when they are forgotten, oldest first.
    order: VecDeque<(At, Lane, u64)>,
    next: u64,
    bytes: usize,
    own: String,
    /// How long a repeat can come: the longest deadline.
    longest: Span,
}

/// Lanes held, at most: four of each of a thousand copies. The one not heard of for longest goes, of those with nothing held.
const MOST_LANES: usize = 4096;

impl Ledger {
    pub fn new(own: &str, longest: Span) -> Ledger {
        Ledger { own: own.to_string(), longest, ..Ledger::default() }
    }

    pub fn held(&self) -> usize {
        self.marks.len()
    }

    /// A forward came on a lane. `known`: its vertical and shards are.
    pub fn came(&mut self, now: At, lane: &Lane, forward: &Forward, known: bool) -> Verdict {
        self.forget(now);
        self.make_room(lane);
        let of = self.lanes.entry(lane.clone()).or_default();
        of.heard = now;
        if of.entries.contains_key(&forward.number) {
            return Verdict::Again;
        }
        // Guards against a forward that was said to be unknown and comes late, or so late that it is forgotten.
        if of.barred.contains(&forward.number) || forward.number < of.floor {
            return Verdict::Refuse(How::Unknown);
        }
        let circle = forward.crossed.len() > MOST_CROSSED || forward.crossed.contains(&self.own);
        if circle || !known || forward.crossed.first() != Some(&lane.site) {
            return Verdict::Refuse(How::NotHere);
        }
        if forward.left < LEAST_LEFT {
            return Verdict::Refuse(How::Late);
        }
        if self.marks.len() >= MOST {
            return Verdict::Refuse(How::Rejected { stay_away: Span::from_ms(100) });
        }
        self.next += 1;
        let forget_at = now + forward.left.max(self.longest);
        let entry = Entry { mark: self.next, answers: Vec::new(), end: None, forget_at };
        of.entries.insert(forward.number, entry);
        self.marks.insert(self.next, (lane.clone(), forward.number));
        self.order.push_back((forget_at, lane.clone(), forward.number));
        Verdict::Begin(self.next)
    }

    /// A part is answered. False where its forward is over or forgotten.
    pub fn answered(&mut self, mark: u64, shard: u32, value: &str) -> bool {
        let Some(entry) = self.entry(mark).filter(|e| e.end.is_none()) else { return false };
        if entry.answers.iter().any(|(s, _)| *s == shard) {
            return false;
        }
        entry.answers.push((shard, value.to_string()));
        self.bytes += value.len();
        self.keep_within(mark);
        true
    }

    pub fn ended(&mut self, mark: u64, how: How, made: u32) -> bool {
        let Some(entry) = self.entry(mark).filter(|e| e.end.is_none()) else { return false };
        entry.end = Some((how, made));
        true
    }

    /// The peer has all of it, as it gave it up: no more is told.
    pub fn given_up(&mut self, lane: &Lane, number: u64) -> Option<u64> {
        let entry = self.lanes.get_mut(lane)?.entries.get_mut(&number)?;
        let (mark, bytes) = (entry.mark, entry.answers.drain(..).map(|(_, v)| v.len()).sum::<usize>());
        self.bytes -= bytes;
        self.entry(mark).is_some_and(|e| e.end.is_none()).then_some(mark)
    }

    /// Asked by number after a break: what is known, or that it never came, after which it is never begun.
    pub fn asked(&mut self, now: At, lane: &Lane, number: u64) -> Option<Told> {
        self.forget(now);
        self.make_room(lane);
        let of = self.lanes.entry(lane.clone()).or_default();
        of.heard = now;
        match of.entries.get(&number) {
            Some(entry) => Some(Told { answers: entry.answers.clone(), end: entry.end }),
            None => {
                if of.barred.len() >= MOST {
                    // All below are as good as forgotten.
                    of.floor = of.floor.max(of.barred.pop_first().map_or(0, |n| n + 1));
                }
                of.barred.insert(number);
                None
            }
        }
    }

    /// Where an answer goes.
    pub fn lane_of(&self, mark: u64) -> Option<(Lane, u64)> {
        self.marks.get(&mark).cloned()
    }

    fn entry(&mut self, mark: u64) -> Option<&mut Entry> {
        let (lane, number) = self.marks.get(&mark)?;
        self.lanes.get_mut(lane)?.entries.get_mut(number)
    }

    fn forget(&mut self, now: At) {
        while let Some((at, lane, number)) = self.order.pop_front() {
            // Not in strict order, as deadlines differ: one kept a little longer holds up those behind it.
            if at > now {
                self.order.push_front((at, lane, number));
                return;
            }
            let Some(of) = self.lanes.get_mut(&lane) else { continue };
            if let Some(entry) = of.entries.remove(&number) {
                debug_assert!(entry.forget_at <= now);
                self.marks.remove(&entry.mark);
                self.bytes -= entry.answers.iter().map(|(_, v)| v.len()).sum::<usize>();
                of.floor = of.floor.max(number + 1);
            }
        }
    }

    /// Guards against answers kept by the hundred megabytes for peers that never ask: what can't be told again any more
    /// is said to be aborted, so it may have run.
    fn keep_within(&mut self, newest: u64) {
        while self.bytes > MOST_BYTES {
            let oldest = self.marks.iter().find(|(m, (lane, n))| {
                **m != newest && self.lanes[lane].entries.get(n).is_some_and(|e| !e.answers.is_empty())
            });
            let Some((&mark, _)) = oldest else { return };
            let Some(entry) = self.entry(mark) else { return };
            let bytes = entry.answers.drain(..).map(|(_, v)| v.len()).sum::<usize>();
            let made = entry.end.map_or(0, |(_, made)| made);
            entry.end = Some((How::Aborted, made));
            self.bytes -= bytes;
        }
    }

    fn make_room(&mut self, lane: &Lane) {
        if self.lanes.len() < MOST_LANES || self.lanes.contains_key(lane) {
            return;
        }
        let idle = self.lanes.iter().filter(|(_, of)| of.entries.is_empty()).min_by_key(|(_, of)| of.heard);
        if let Some(gone) = idle.map(|(l, _)| l.clone()) {
            self.lanes.remove(&gone);
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const LONGEST: Span = Span::from_ms(5000);

    fn lane(instance: u64) -> Lane {
        Lane { site: "north".into(), instance, lane: 0 }
    }

    fn forward(number: u64) -> Forward {
        Forward {
            number,
            id: "q".into(),
            vertical: "sale".into(),
            left: Span::from_ms(800),
            further: 0,
            crossed: vec!["north".into()],
            parts: vec![(1, 1.0, None)],
            text: String::new(),
        }
    }

    #[test]
    fn a_repeat_is_known_and_answered_from_what_is_held() {
        let (mut ledger, now) = (Ledger::new("south", LONGEST), At::from_us(0));
        let Verdict::Begin(mark) = ledger.came(now, &lane(1), &forward(1), true) else { panic!("it is new") };
        assert_eq!(ledger.came(now, &lane(1), &forward(1), true), Verdict::Again);
        assert_eq!(ledger.asked(now, &lane(1), 1), Some(Told { answers: vec![], end: None }));
        assert!(ledger.answered(mark, 1, "v"));
        assert!(!ledger.answered(mark, 1, "w"), "once");
        assert!(ledger.ended(mark, How::Done, 2));
        assert!(!ledger.ended(mark, How::Aborted, 0), "one last word");
        let told = Told { answers: vec![(1, "v".into())], end: Some((How::Done, 2)) };
        assert_eq!(ledger.asked(now, &lane(1), 1), Some(told));
        assert!(
            matches!(ledger.came(now, &lane(2), &forward(1), true), Verdict::Begin(_)),
            "another instance's"
        );
    }

    #[test]
    fn what_was_said_not_to_have_come_is_never_begun() {
        let (mut ledger, now) = (Ledger::new("south", LONGEST), At::from_us(0));
        assert_eq!(ledger.asked(now, &lane(1), 4), None);
        assert_eq!(ledger.came(now, &lane(1), &forward(4), true), Verdict::Refuse(How::Unknown));
    }

    #[test]
    fn circles_strange_parts_and_too_little_time_are_refused() {
        let (mut ledger, now) = (Ledger::new("south", LONGEST), At::from_us(0));
        let mut come = |change: &dyn Fn(&mut Forward), known| {
            let mut f = forward(1);
            change(&mut f);
            ledger.came(now, &lane(1), &f, known)
        };
        let not_here = Verdict::Refuse(How::NotHere);
        assert_eq!(come(&|f| f.crossed = vec!["south".into()], true), not_here);
        assert_eq!(come(&|f| f.crossed = vec!["north".into(), "west".into()], true), not_here);
        assert_eq!(come(&|f| f.crossed = vec!["west".into()], true), not_here, "it names another origin");
        assert_eq!(come(&|f| f.crossed.clear(), true), not_here);
        assert_eq!(come(&|_| (), false), not_here);
        assert_eq!(come(&|f| f.left = Span::from_ms(2), true), Verdict::Refuse(How::Late));
        assert!(matches!(come(&|_| (), true), Verdict::Begin(_)), "none of that was begun");
    }

    #[test]
    fn answers_held_are_bounded_and_those_dropped_are_said_to_be_aborted() {
        let (mut ledger, now) = (Ledger::new("south", LONGEST), At::from_us(0));
        let value = "x".repeat(64 * 1024);
        for n in 1..=300 {
            let Verdict::Begin(mark) = ledger.came(now, &lane(1), &forward(n), true) else {
                panic!("it is new")
            };
            ledger.answered(mark, 1, &value);
            ledger.ended(mark, How::Done, 1);
        }
        assert!(ledger.bytes <= MOST_BYTES);
        assert_eq!(ledger.asked(now, &lane(1), 1).unwrap().end, Some((How::Aborted, 1)));
        assert_eq!(ledger.asked(now, &lane(1), 300).unwrap().end, Some((How::Done, 1)));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Beside a plain set of all that was ever begun: nothing twice, nothing after it was said not to have come, and
        /// nothing is held for longer than it can be asked for.
        #[test]
        fn nothing_is_begun_twice(steps in proptest::collection::vec((0u8..5, 1u64..12, 0u64..2, 0i64..3000), 0..300)) {
            let (mut ledger, mut now) = (Ledger::new("south", LONGEST), At::from_us(0));
            let (mut begun, mut denied) = (BTreeSet::new(), BTreeSet::new());
            for (kind, number, instance, ms) in steps {
                match kind {
                    0 | 1 => match ledger.came(now, &lane(instance), &forward(number), true) {
                        Verdict::Begin(_) => {
                            prop_assert!(begun.insert((instance, number)), "begun twice");
                            prop_assert!(!denied.contains(&(instance, number)), "begun after it was denied");
                        }
                        Verdict::Again => prop_assert!(begun.contains(&(instance, number))),
                        Verdict::Refuse(how) => prop_assert_eq!(how, How::Unknown),
                    },
                    2 => if ledger.asked(now, &lane(instance), number).is_none() { denied.insert((instance, number)); },
                    3 => { ledger.given_up(&lane(instance), number); }
                    _ => now = now + Span::from_ms(ms),
                }
            }
            now = now + LONGEST + LONGEST;
            ledger.forget(now);
            prop_assert_eq!((ledger.held(), ledger.bytes), (0, 0));
        }
    }
}

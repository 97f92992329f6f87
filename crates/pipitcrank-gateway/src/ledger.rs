//! What other sites forwarded to this one, by link and number, for as long as a repeat can come: nothing is begun twice.
//! No I/O. A peer whose link broke asks by number what became of its forwards and is answered from here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pipitcrank_core::time::{TimeSpan, Timestamp};

use crate::frames::{Forward, How};

/// One lane of one instance of a site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lane {
    pub site: String,
    pub instance: u64,
    pub lane: u16,
}

/// Most sites that a forward may have crossed when it comes: one, its origin. Each hop costs a round trip of the client's
/// time, and a site that is asked answers from its own replicas.
const MOST_CROSSED: usize = 1;
/// Less time than this is no time: a tick there and a replica's quickest answer.
const LEAST_LEFT: TimeSpan = TimeSpan::from_millis(5);
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
    forget_at: Timestamp,
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
    heard: Timestamp,
}

#[derive(Default)]
pub struct Ledger {
    lanes: BTreeMap<Lane, OfLane>,
    /// Where each mark belongs.
    marks: BTreeMap<u64, (Lane, u64)>,
    /// By when they are forgotten, oldest first.
    order: VecDeque<(Timestamp, Lane, u64)>,
    next: u64,
    bytes: usize,
    own: String,
    /// How long a repeat can come: the longest deadline.
    longest: TimeSpan,
}

/// Lanes held, at most: four of each of a thousand copies. The one not heard of for longest goes, of those with nothing held.
const MOST_LANES: usize = 4096;

impl Ledger {
    pub fn new(own: &str, longest: TimeSpan) -> Ledger {
        Ledger { own: own.to_string(), longest, ..Ledger::default() }
    }

    pub fn held(&self) -> usize {
        self.marks.len()
    }

    /// A forward came on a lane. `known`: its request class and shards are.
    pub fn came(&mut self, now: Timestamp, lane: &Lane, forward: &Forward, known: bool) -> Verdict {
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
            return Verdict::Refuse(How::Rejected { stay_away: TimeSpan::from_millis(100) });
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
    pub fn asked(&mut self, now: Timestamp, lane: &Lane, number: u64) -> Option<Told> {
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

    fn forget(&mut self, now: Timestamp) {
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
mod tests;

//! What other sites forwarded to this one, by stream and number, for as long as a repeat can arrive: nothing is begun
//! twice. No I/O. A peer whose link broke asks by number what became of its forwards and is answered from here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pipitcrank_core::time::{TimeSpan, Timestamp};

use crate::frames::{Forward, ForwardOutcome};

/// Most sites that a forward may have crossed when it arrives: one, its origin. Each hop costs a round trip of the
/// client's time, and a site that is asked answers from its own replicas.
const MAX_SITES_CROSSED: usize = 1;
/// With less time left a forward is not begun: a tick here and a replica's quickest answer.
const MIN_TIME_LEFT: TimeSpan = TimeSpan::from_millis(5);
/// Forwards recorded over all streams. Beyond that none is accepted: forgetting one that may be asked for is worse.
pub const MAX_FORWARDS: usize = 20_000;
/// Retry-after of a peer whose forward is rejected as too many are recorded.
const RETRY_AFTER: TimeSpan = TimeSpan::from_millis(100);
/// Bytes of answers kept for streams that may ask again; beyond it the oldest are reported as aborted.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Streams recorded: four of each of a thousand co-ordinators. Of those without a forward the one not heard from for
/// longest is removed.
const MAX_STREAMS: usize = 4096;

/// One stream of one process of a site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId {
    /// The peer's site.
    pub site: String,
    /// Tells the peer's process from any other of its site.
    pub incarnation: u64,
    /// Number of the stream.
    pub stream: u16,
}

/// A forward as its peer knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardKey {
    /// The stream it came on.
    pub stream: StreamId,
    /// Its number there.
    pub number: u64,
}

/// What is to be done with a forward that arrived.
#[derive(Debug, PartialEq)]
pub enum Admission {
    /// It is begun, under that id.
    Begin(u64),
    /// It runs, or has ended: what is known is sent again.
    Repeat,
    /// It is not begun, and never will be.
    Refuse(ForwardOutcome),
}

/// The answer to one part.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedAnswer {
    /// The part's shard.
    pub shard: u32,
    /// The answer.
    pub value: String,
}

/// How a forward ended here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardEnd {
    /// What becomes of the parts that were not answered.
    pub outcome: ForwardOutcome,
    /// Retries made of those delegated with it.
    pub retries_made: u32,
}

/// What is known of a forward.
#[derive(Debug, PartialEq)]
pub struct ForwardStatus {
    /// Parts answered so far.
    pub answers: Vec<RecordedAnswer>,
    /// Its end, where it has ended.
    pub end: Option<ForwardEnd>,
}

struct Entry {
    id: u64,
    answers: Vec<RecordedAnswer>,
    end: Option<ForwardEnd>,
    expires: Timestamp,
}

impl Entry {
    /// Drops the answers; how many bytes they had.
    fn drop_answers(&mut self) -> usize {
        self.answers.drain(..).map(|answer| answer.value.len()).sum()
    }
}

#[derive(Default)]
struct StreamRecord {
    entries: BTreeMap<u64, Entry>,
    /// Numbers that were asked for and had not arrived: they may still be on an old connection and are not begun.
    barred: BTreeSet<u64>,
    /// All below are forgotten and none of them is begun.
    first_open: u64,
    last_heard: Timestamp,
}

/// Record of the forwards of all peers.
#[derive(Default)]
pub struct ReceivedForwards {
    streams: BTreeMap<StreamId, StreamRecord>,
    /// Where the entry of each id is.
    keys: BTreeMap<u64, ForwardKey>,
    /// When entries expire, oldest first.
    expiries: VecDeque<(Timestamp, ForwardKey)>,
    last_id: u64,
    answer_bytes: usize,
    own_site: String,
    /// How long a repeat can arrive: the longest deadline.
    max_query_time: TimeSpan,
}

impl ReceivedForwards {
    /// An empty record of the site `own_site`; `max_query_time` is the longest deadline of a query.
    pub fn new(own_site: &str, max_query_time: TimeSpan) -> ReceivedForwards {
        ReceivedForwards { own_site: own_site.to_string(), max_query_time, ..ReceivedForwards::default() }
    }

    /// How many forwards are recorded.
    pub fn count(&self) -> usize {
        self.keys.len()
    }

    /// A forward arrived. `is_known`: its request class and shards are.
    pub fn admit(
        &mut self,
        now: Timestamp,
        stream: &StreamId,
        forward: &Forward,
        is_known: bool,
    ) -> Admission {
        let record = self.record(now, stream);
        if record.entries.contains_key(&forward.number) {
            return Admission::Repeat;
        }
        // It was reported as unknown and arrives late, or so late that it is forgotten.
        if record.barred.contains(&forward.number) || forward.number < record.first_open {
            return Admission::Refuse(ForwardOutcome::Unknown);
        }
        let crossed = &forward.sites_crossed;
        let is_loop = crossed.len() > MAX_SITES_CROSSED || crossed.contains(&self.own_site);
        if is_loop || !is_known || crossed.first() != Some(&stream.site) {
            return Admission::Refuse(ForwardOutcome::NotServed);
        }
        if forward.time_left < MIN_TIME_LEFT {
            return Admission::Refuse(ForwardOutcome::TooLate);
        }
        if self.keys.len() >= MAX_FORWARDS {
            return Admission::Refuse(ForwardOutcome::Rejected { retry_after: RETRY_AFTER });
        }
        Admission::Begin(self.add(now, stream, forward))
    }

    fn add(&mut self, now: Timestamp, stream: &StreamId, forward: &Forward) -> u64 {
        self.last_id += 1;
        let expires = now + forward.time_left.max(self.max_query_time);
        let entry = Entry { id: self.last_id, answers: Vec::new(), end: None, expires };
        self.streams.entry(stream.clone()).or_default().entries.insert(forward.number, entry);
        let key = ForwardKey { stream: stream.clone(), number: forward.number };
        self.keys.insert(self.last_id, key.clone());
        self.expiries.push_back((expires, key));
        self.last_id
    }

    /// A part is answered. False where its forward has ended or is forgotten.
    pub fn record_answer(&mut self, id: u64, shard: u32, value: &str) -> bool {
        let Some(entry) = self.open_entry(id) else { return false };
        if entry.answers.iter().any(|answer| answer.shard == shard) {
            return false;
        }
        entry.answers.push(RecordedAnswer { shard, value: value.to_string() });
        self.answer_bytes += value.len();
        self.limit_answer_bytes(id);
        true
    }

    /// The forward has ended. False where it had before, or is forgotten.
    pub fn record_end(&mut self, id: u64, end: ForwardEnd) -> bool {
        let Some(entry) = self.open_entry(id) else { return false };
        entry.end = Some(end);
        true
    }

    /// The peer cancelled it: answers are dropped. Its id where it still runs.
    pub fn cancel(&mut self, stream: &StreamId, number: u64) -> Option<u64> {
        let entry = self.streams.get_mut(stream)?.entries.get_mut(&number)?;
        let (id, bytes) = (entry.id, entry.drop_answers());
        self.answer_bytes -= bytes;
        self.open_entry(id).map(|_| id)
    }

    /// Asked by number after a break: what is known; or none, as it never arrived, after which it is never begun.
    pub fn status_or_mark_unknown(
        &mut self,
        now: Timestamp,
        stream: &StreamId,
        number: u64,
    ) -> Option<ForwardStatus> {
        let record = self.record(now, stream);
        if let Some(entry) = record.entries.get(&number) {
            return Some(ForwardStatus { answers: entry.answers.clone(), end: entry.end });
        }
        if record.barred.len() >= MAX_FORWARDS {
            // All below are as good as forgotten.
            record.first_open = record.first_open.max(record.barred.pop_first().map_or(0, |n| n + 1));
        }
        record.barred.insert(number);
        None
    }

    /// Where messages on the forward of that id go.
    pub fn key(&self, id: u64) -> Option<ForwardKey> {
        self.keys.get(&id).cloned()
    }

    /// The record of a stream that a message came on.
    fn record(&mut self, now: Timestamp, stream: &StreamId) -> &mut StreamRecord {
        self.remove_expired(now);
        self.evict_idle_stream(stream);
        let record = self.streams.entry(stream.clone()).or_default();
        record.last_heard = now;
        record
    }

    fn entry(&mut self, id: u64) -> Option<&mut Entry> {
        let key = self.keys.get(&id)?;
        self.streams.get_mut(&key.stream)?.entries.get_mut(&key.number)
    }

    /// The entry of a forward that has not ended.
    fn open_entry(&mut self, id: u64) -> Option<&mut Entry> {
        self.entry(id).filter(|entry| entry.end.is_none())
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((expires, key)) = self.expiries.pop_front() {
            // Not in strict order, as deadlines differ: one kept a little longer holds up those behind it.
            if expires > now {
                self.expiries.push_front((expires, key));
                return;
            }
            let Some(record) = self.streams.get_mut(&key.stream) else { continue };
            if let Some(mut entry) = record.entries.remove(&key.number) {
                debug_assert!(entry.expires <= now);
                self.keys.remove(&entry.id);
                self.answer_bytes -= entry.drop_answers();
                record.first_open = record.first_open.max(key.number + 1);
            }
        }
    }

    /// Bounds the answers kept for peers that never ask: a forward whose answers are dropped is reported as aborted, so it
    /// may have run.
    fn limit_answer_bytes(&mut self, newest: u64) {
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let has_answers = |key: &ForwardKey| {
                self.streams[&key.stream].entries.get(&key.number).is_some_and(|e| !e.answers.is_empty())
            };
            let oldest = self.keys.iter().find(|(id, key)| **id != newest && has_answers(key));
            let Some((&id, _)) = oldest else { return };
            let Some(entry) = self.entry(id) else { return };
            let bytes = entry.drop_answers();
            let retries_made = entry.end.map_or(0, |end| end.retries_made);
            entry.end = Some(ForwardEnd { outcome: ForwardOutcome::Aborted, retries_made });
            self.answer_bytes -= bytes;
        }
    }

    /// Makes room for a stream that is not recorded yet.
    fn evict_idle_stream(&mut self, stream: &StreamId) {
        if self.streams.len() < MAX_STREAMS || self.streams.contains_key(stream) {
            return;
        }
        let idle = self.streams.iter().filter(|(_, record)| record.entries.is_empty());
        let oldest = idle.min_by_key(|(_, record)| record.last_heard);
        if let Some(evicted) = oldest.map(|(id, _)| id.clone()) {
            self.streams.remove(&evicted);
        }
    }
}

#[cfg(test)]
mod tests;

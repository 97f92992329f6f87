//! Record of the forwards received from other sites, by stream and number. Entries are kept for as long as a repeat can
//! arrive, so that no forward is started twice. The record also answers the status requests that peers send after a
//! connection broke. No I/O.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pipitcrank_core::time::{TimeSpan, Timestamp};

use crate::frames::{Forward, ForwardOutcome};

/// Maximum number of sites that an arriving forward may have crossed: its origin only. Each hop costs a round trip of
/// the client's time, so a site answers forwards from its own replicas.
const MAX_SITES_CROSSED: usize = 1;
/// Minimum time left with which a forward is started: one tick of this process plus the fastest answer of a replica.
const MIN_TIME_LEFT: TimeSpan = TimeSpan::from_millis(5);
/// Maximum number of recorded forwards over all streams. Further forwards are rejected, since removing an entry whose
/// status can still be requested would be worse.
pub const MAX_FORWARDS: usize = 20_000;
/// Retry-after of a forward that is rejected because the record is full.
const RETRY_AFTER: TimeSpan = TimeSpan::from_millis(100);
/// Maximum total size of the recorded answers, in bytes. Beyond it the answers of the oldest forwards are dropped, and
/// these forwards are reported as aborted.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum number of recorded streams: four for each of a thousand co-ordinators. Beyond it the least recently used
/// stream without forwards is removed.
const MAX_STREAMS: usize = 4096;

/// One stream of one process of a site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId {
    /// The peer's site.
    pub site: String,
    /// Distinguishes the peer's process from all other processes of its site.
    pub incarnation: u64,
    /// Number of the stream.
    pub stream: u16,
}

/// Identity of a forward between the two sites.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardKey {
    /// Stream on which the forward was received.
    pub stream: StreamId,
    /// Number of the forward on the stream.
    pub number: u64,
}

/// Decision about an arriving forward.
#[derive(Debug, PartialEq)]
pub enum Admission {
    /// The forward is new and is started under this id.
    Begin(u64),
    /// The forward is running or has ended: its status is sent again.
    Repeat,
    /// The forward is not started, now or later, and ends with this outcome.
    Refuse(ForwardOutcome),
}

/// A recorded answer to one part.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedAnswer {
    /// The part's shard.
    pub shard: u32,
    /// The answer.
    pub value: String,
}

/// The end of a forward on this site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwardEnd {
    /// Outcome of the forward, which applies to its unanswered parts.
    pub outcome: ForwardOutcome,
    /// Number of delegated retries that were made.
    pub retries_made: u32,
}

/// Recorded status of a forward.
#[derive(Debug, PartialEq)]
pub struct ForwardStatus {
    /// Answers so far.
    pub answers: Vec<RecordedAnswer>,
    /// End of the forward; `None` while it is running.
    pub end: Option<ForwardEnd>,
}

struct Entry {
    id: u64,
    answers: Vec<RecordedAnswer>,
    end: Option<ForwardEnd>,
    expires: Timestamp,
}

impl Entry {
    /// Drops the answers and returns their size in bytes.
    fn drop_answers(&mut self) -> usize {
        self.answers.drain(..).map(|answer| answer.value.len()).sum()
    }
}

#[derive(Default)]
struct StreamRecord {
    entries: BTreeMap<u64, Entry>,
    /// Numbers whose forwards were reported as unknown. They may still arrive from an old connection and are not
    /// started.
    reported_unknown: BTreeSet<u64>,
    /// Lowest number that can still be started; entries of lower numbers may have been removed already.
    min_startable: u64,
    last_message: Timestamp,
}

/// Record of the forwards of all peers.
#[derive(Default)]
pub struct ReceivedForwards {
    streams: BTreeMap<StreamId, StreamRecord>,
    /// Stream and number of each recorded forward, by id.
    keys: BTreeMap<u64, ForwardKey>,
    /// Expiry times of the entries, in order of insertion.
    expiries: VecDeque<(Timestamp, ForwardKey)>,
    last_id: u64,
    answer_bytes: usize,
    own_site: String,
    /// Maximum deadline of a query, and so the time within which a repeat can arrive.
    max_query_time: TimeSpan,
}

impl ReceivedForwards {
    /// An empty record of the site `own_site`; `max_query_time` is the maximum deadline of a query.
    pub fn new(own_site: &str, max_query_time: TimeSpan) -> ReceivedForwards {
        ReceivedForwards { own_site: own_site.to_string(), max_query_time, ..ReceivedForwards::default() }
    }

    /// Number of recorded forwards.
    pub fn count(&self) -> usize {
        self.keys.len()
    }

    /// Decides about an arriving forward. `is_known` is whether its request class and shards exist on this site.
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
        // The forward was reported as unknown, or its entry may have expired already, so it may be a repeat.
        if record.reported_unknown.contains(&forward.number) || forward.number < record.min_startable {
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

    /// Records the answer to a part. Returns false if the part has an answer, or the forward has ended or was removed.
    pub fn record_answer(&mut self, id: u64, shard: u32, value: &str) -> bool {
        let Some(entry) = self.running_entry(id) else { return false };
        if entry.answers.iter().any(|answer| answer.shard == shard) {
            return false;
        }
        entry.answers.push(RecordedAnswer { shard, value: value.to_string() });
        self.answer_bytes += value.len();
        self.limit_answer_bytes(id);
        true
    }

    /// Records the end of a forward. Returns false if it had ended before or was removed.
    pub fn record_end(&mut self, id: u64, end: ForwardEnd) -> bool {
        let Some(entry) = self.running_entry(id) else { return false };
        entry.end = Some(end);
        true
    }

    /// Drops the answers of a forward that its peer cancelled. Returns the forward's id if it is still running.
    pub fn cancel(&mut self, stream: &StreamId, number: u64) -> Option<u64> {
        let entry = self.streams.get_mut(stream)?.entries.get_mut(&number)?;
        let (id, bytes) = (entry.id, entry.drop_answers());
        self.answer_bytes -= bytes;
        self.running_entry(id).map(|_| id)
    }

    /// Returns the status of a forward. Returns `None` if the forward never arrived; it is then marked as unknown and
    /// not started if it arrives later.
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
        if record.reported_unknown.len() >= MAX_FORWARDS {
            // Bounds the set: the lowest number and all numbers below it can't be started any more.
            record.min_startable =
                record.min_startable.max(record.reported_unknown.pop_first().map_or(0, |n| n + 1));
        }
        record.reported_unknown.insert(number);
        None
    }

    /// Stream and number of the forward `id`, to which messages about it are addressed.
    pub fn key(&self, id: u64) -> Option<ForwardKey> {
        self.keys.get(&id).cloned()
    }

    /// Record of the stream that a message was received on; created if it does not exist.
    fn record(&mut self, now: Timestamp, stream: &StreamId) -> &mut StreamRecord {
        self.remove_expired(now);
        self.make_room_for_stream(stream);
        let record = self.streams.entry(stream.clone()).or_default();
        record.last_message = now;
        record
    }

    fn entry(&mut self, id: u64) -> Option<&mut Entry> {
        let key = self.keys.get(&id)?;
        self.streams.get_mut(&key.stream)?.entries.get_mut(&key.number)
    }

    /// Entry of a forward that is still running.
    fn running_entry(&mut self, id: u64) -> Option<&mut Entry> {
        self.entry(id).filter(|entry| entry.end.is_none())
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((expires, key)) = self.expiries.pop_front() {
            // Deadlines differ, so the queue is only roughly in order of expiry: an entry with a late expiry delays the
            // removal of those behind it.
            if expires > now {
                self.expiries.push_front((expires, key));
                return;
            }
            let Some(record) = self.streams.get_mut(&key.stream) else { continue };
            if let Some(mut entry) = record.entries.remove(&key.number) {
                debug_assert!(entry.expires <= now);
                self.keys.remove(&entry.id);
                self.answer_bytes -= entry.drop_answers();
                record.min_startable = record.min_startable.max(key.number + 1);
            }
        }
    }

    /// Drops the oldest answers above [`MAX_ANSWER_BYTES`], except those of the forward `newest`, to bound the memory
    /// for answers that no peer requests again. A forward whose answers are dropped is reported as aborted, so the peer
    /// treats it as a forward that may have run.
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

    /// Removes the least recently used stream without forwards if the record is full and `stream` is not in it yet.
    fn make_room_for_stream(&mut self, stream: &StreamId) {
        if self.streams.len() < MAX_STREAMS || self.streams.contains_key(stream) {
            return;
        }
        let idle = self.streams.iter().filter(|(_, record)| record.entries.is_empty());
        let oldest = idle.min_by_key(|(_, record)| record.last_message);
        if let Some(evicted) = oldest.map(|(id, _)| id.clone()) {
            self.streams.remove(&evicted);
        }
    }
}

#[cfg(test)]
mod tests;

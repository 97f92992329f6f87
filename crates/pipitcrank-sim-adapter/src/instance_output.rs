//! Encodes the actions of a co-ordinator as lines of output.

use std::collections::BTreeMap;
use std::io::{self, Write};

use pipitcrank_core::ids::{AttemptId, PartId, QueryId, RejectReason, ReplicaId};
use pipitcrank_core::interner::Interner;
use pipitcrank_core::output::CoordinatorOutput;
use pipitcrank_core::time::{TimeSpan, Timestamp};

/// Names used by one instance, and the pending part of its reply.
#[derive(Default)]
pub struct InstanceOutput {
    instance: String,
    pub queries: Interner,
    pub parts: Interner,
    pub replicas: Interner,
    /// Queries that are not released, by the number (`ask_no`) that the simulator assigned.
    pub queries_by_number: BTreeMap<u64, QueryId>,
    /// Lines that are not written yet.
    reply: String,
}

impl InstanceOutput {
    pub fn new(instance: &str) -> InstanceOutput {
        InstanceOutput { instance: instance.to_string(), ..InstanceOutput::default() }
    }

    /// Writes the pending lines and clears them.
    pub fn write_reply(&mut self, output: &mut dyn Write) -> io::Result<()> {
        output.write_all(self.reply.as_bytes())?;
        self.reply.clear();
        Ok(())
    }

    /// Appends a line to the reply: the keyword, the instance and the given fields.
    fn push_line(&mut self, keyword: &str, fields: &str) {
        self.reply.push_str(&format!("{keyword} i={} {fields}\n", self.instance));
    }
}

impl CoordinatorOutput for InstanceOutput {
    fn send_attempt(&mut self, part: PartId, replica: ReplicaId, deadline: Timestamp) {
        let (job, replica) = (self.parts.name(part.0), self.replicas.name(replica.0));
        let deadline_s = deadline.as_secs_f64();
        let fields = format!("job={job} replica={replica} abandon_at_s={deadline_s:.6}");
        self.push_line("SEND", &fields);
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let job = self.parts.name(attempt.part.0);
        let fields = format!("job={job} trial={}", attempt.number);
        self.push_line("ABANDON", &fields);
    }

    fn answer(&mut self, query: QueryId, is_complete: bool) {
        let job = self.queries.name(query.0);
        let fields = format!("job={job} complete={}", u8::from(is_complete));
        self.push_line("RESPOND", &fields);
    }

    fn reject(&mut self, query: QueryId, retry_after: TimeSpan, _reason: RejectReason) {
        let job = self.queries.name(query.0);
        let fields = format!("job={job} stay_away_s={:.6}", retry_after.as_secs_f64());
        self.push_line("DECLINE", &fields);
    }

    fn abort(&mut self, query: QueryId, _reason: RejectReason) {
        let fields = format!("job={}", self.queries.name(query.0));
        self.push_line("DROP_REQUEST", &fields);
    }

    fn set_timer(&mut self, at: Timestamp, label: u64) {
        let fields = format!("alarm_time_s={:.6} label={label}", at.as_secs_f64());
        self.push_line("NOTIFY_ME", &fields);
    }

    fn send_load_probe(&mut self, replica: ReplicaId) {
        let fields = format!("replica={}", self.replicas.name(replica.0));
        self.push_line("CHECK", &fields);
    }

    fn watch_endpoints(&mut self) {
        self.push_line("KEEP_INFORMED", "complete=1");
    }

    fn log(&mut self, text: &str) {
        let fields = format!("body_text={text}");
        self.push_line("TRACE", &fields);
    }

    fn release_query(&mut self, query: QueryId) {
        self.queries.release(query.0);
        self.queries_by_number.retain(|_, held| *held != query);
    }

    fn release_part(&mut self, part: PartId) {
        self.parts.release(part.0);
    }

    fn release_replica(&mut self, replica: ReplicaId) {
        self.replicas.release(replica.0);
    }
}

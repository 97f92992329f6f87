//! One co-ordinator of a session: decodes its events and collects its actions.

use std::collections::BTreeMap;
use std::io::{self, Write};

use pipitcrank_core::config::{ConfigError, SettingsReader};
use pipitcrank_core::coordinator::zones::ZoneId;
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{AttemptId, AttemptOutcome, PartId, QueryId, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use serde_json::Value;

use crate::endpoint_row::EndpointRow;
use crate::instance_output::InstanceOutput;
use crate::line::Line;
use crate::protocol_error::ProtocolError;

/// Endpoint lists by reference number.
pub type EndpointLists = BTreeMap<u32, Vec<EndpointRow>>;

/// A co-ordinator with its pending output and the names of its request classes and zones.
pub struct Instance {
    output: InstanceOutput,
    coordinator: Coordinator,
    classes: Vec<String>,
    zones: Vec<String>,
}

/// Fields of a new query or a new part.
struct WorkItem<'a> {
    job: &'a str,
    query_number: u64,
    /// Number of parts of a query, or weight of a part as a fraction of the whole answer.
    count_or_weight: f64,
    work_hint: Option<f64>,
    /// Shard of a part; negative for a query.
    shard: i64,
}

impl<'a> WorkItem<'a> {
    fn read(line: &Line<'a>) -> Result<WorkItem<'a>, ProtocolError> {
        let (job, query_number) = (line.field("job")?, line.parse("ask_no")?);
        let count_or_weight = line.finite("share_or_count")?;
        let is_hint_valid = line.parse::<u64>("state_bits")? & 1 == 1;
        let work_hint = line.optional_finite("effort_s")?.filter(|_| is_hint_valid);
        let shard = line.parse("range_no")?;
        Ok(WorkItem { job, query_number, count_or_weight, work_hint, shard })
    }
}

impl Instance {
    /// Creates a co-ordinator from the settings and the seed in the line.
    pub fn start(line: &Line, name: &str) -> Result<Instance, ProtocolError> {
        let seed = line.parse("init_seed")?;
        let settings: Value = serde_json::from_str(line.field("conf")?)
            .map_err(|e| line.error("conf", &format!("is not valid JSON: {e}")))?;
        let invalid_settings = |error: ConfigError| line.error("conf", &error.to_string());
        let settings = SettingsReader::new(&settings);
        let coordinator = settings.coordinator(seed).map_err(invalid_settings)?;
        let classes = settings.classes().map_err(invalid_settings)?;
        let zones = settings.zones().map_err(invalid_settings)?.map_or(Vec::new(), |zones| zones.names);
        Ok(Instance { output: InstanceOutput::new(name), coordinator, classes, zones })
    }

    /// Passes one event to the co-ordinator.
    pub fn handle(
        &mut self,
        now: Timestamp,
        line: &Line,
        lists: &EndpointLists,
    ) -> Result<(), ProtocolError> {
        match line.keyword() {
            "NEW_INSTANCE" => self.coordinator.start(&mut self.output),
            "DISCOVERY" => self.update_endpoint_list(now, line, lists)?,
            "WORK_ITEM" => self.handle_work_item(now, line)?,
            "FINISHED" => self.end_attempt(now, line)?,
            "DROPPED" => self.cancel_query(now, line)?,
            "ELAPSED" => self.coordinator.timer_fired(&mut self.output, now, line.parse("label")?),
            "HEALTH" => self.end_load_probe(now, line)?,
            // Streamed answers and messages between co-ordinators do not affect decisions.
            "FIRST" | "MEMO" => {}
            keyword => return Err(line.error("i", &format!("belongs to '{keyword}', an unknown event"))),
        }
        Ok(())
    }

    /// Dispatches pending work at the end of a batch.
    pub fn dispatch(&mut self, now: Timestamp) {
        self.coordinator.dispatch(&mut self.output, now);
    }

    /// Writes the reply to the batch.
    pub fn write_reply(&mut self, output: &mut dyn Write) -> io::Result<()> {
        self.output.write_reply(output)
    }

    fn update_endpoint_list(
        &mut self,
        now: Timestamp,
        line: &Line,
        lists: &EndpointLists,
    ) -> Result<(), ProtocolError> {
        let scope = line.field("scope")?;
        if scope == "Error" {
            self.coordinator.endpoint_list_failed(&mut self.output, now);
            return Ok(());
        }
        if !["Partial", "Complete", "Persisted"].contains(&scope) {
            return Err(line.error("scope", &format!("is '{scope}', an unknown scope")));
        }
        let rows = lists.get(&line.parse("ref")?);
        let rows = rows.ok_or_else(|| line.error("ref", "does not name a registered endpoint list"))?;
        self.coordinator.begin_endpoint_list(scope != "Partial");
        for row in rows {
            self.list_replica(row);
        }
        self.coordinator.finish_endpoint_list(&mut self.output);
        Ok(())
    }

    fn list_replica(&mut self, row: &EndpointRow) {
        let replica = ReplicaId(self.output.replicas.intern(&row.replica));
        self.coordinator.list_replica(replica, row.cell, row.is_up, row.started);
        if let Some(zone) = self.zones.iter().position(|zone| Some(zone) == row.zone.as_ref()) {
            self.coordinator.set_replica_zone(replica, Some(ZoneId(zone as u16)));
        }
    }

    fn handle_work_item(&mut self, now: Timestamp, line: &Line) -> Result<(), ProtocolError> {
        let item = WorkItem::read(line)?;
        if item.shard >= 0 { self.add_part(now, line, item) } else { self.start_query(now, line, item) }
    }

    fn add_part(&mut self, now: Timestamp, line: &Line, item: WorkItem) -> Result<(), ProtocolError> {
        let shard = u32::try_from(item.shard)
            .map_err(|_| line.error("range_no", "is too large for a shard number"))?;
        let Some(&query) = self.output.queries_by_number.get(&item.query_number) else { return Ok(()) };
        if self.output.parts.find(item.job).is_some() {
            return Err(line.error("job", "repeats the id of an open part"));
        }
        let id = PartId(self.output.parts.intern(item.job));
        let part = NewPart { id, query, shard, weight: item.count_or_weight, work_hint: item.work_hint };
        self.coordinator.add_part(&mut self.output, now, part);
        Ok(())
    }

    fn start_query(&mut self, now: Timestamp, line: &Line, item: WorkItem) -> Result<(), ProtocolError> {
        let class = line.field("class")?;
        let class = self.classes.iter().position(|configured| configured == class);
        let class = class.ok_or_else(|| line.error("class", "is not a configured request class"))?;
        let is_duplicate = self.output.queries.find(item.job).is_some()
            || self.output.queries_by_number.contains_key(&item.query_number);
        if is_duplicate {
            return Err(line.error("job", "or 'ask_no' repeats the id of an open query"));
        }
        let id = QueryId(self.output.queries.intern(item.job));
        self.output.queries_by_number.insert(item.query_number, id);
        let query = NewQuery {
            id,
            class: RequestClassId(class as u16),
            time_left: TimeSpan::from_secs_f64(line.finite("remaining_s")?),
            work_hint: item.work_hint,
            part_count: item.count_or_weight,
        };
        self.coordinator.start_query(&mut self.output, now, query);
        Ok(())
    }

    fn end_attempt(&mut self, now: Timestamp, line: &Line) -> Result<(), ProtocolError> {
        let number = line.parse("trial")?;
        let outcome = outcome(line)?;
        self.record_load_report(now, line)?;
        if let Some(part) = self.output.parts.find(line.field("job")?) {
            let attempt = AttemptId { part: PartId(part), number };
            self.coordinator.attempt_ended(&mut self.output, now, attempt, outcome);
        }
        Ok(())
    }

    fn cancel_query(&mut self, now: Timestamp, line: &Line) -> Result<(), ProtocolError> {
        if let Some(query) = self.output.queries.find(line.field("job")?) {
            self.coordinator.cancel_query(&mut self.output, now, QueryId(query));
        }
        Ok(())
    }

    fn end_load_probe(&mut self, now: Timestamp, line: &Line) -> Result<(), ProtocolError> {
        self.record_load_report(now, line)?;
        let outcome = outcome(line)?;
        if let Some(replica) = self.output.replicas.find(line.field("replica")?) {
            self.coordinator.load_probe_ended(now, ReplicaId(replica), outcome);
        }
        Ok(())
    }

    /// Records the load report in the line, if there is one.
    fn record_load_report(&mut self, now: Timestamp, line: &Line) -> Result<(), ProtocolError> {
        let Some(pairs) = line.optional_field("feedback") else { return Ok(()) };
        let Some(replica) = self.output.replicas.find(line.field("replica")?) else { return Ok(()) };
        let queued = report_value(line, pairs, "backlog")?;
        let in_flight = report_value(line, pairs, "outstanding")?;
        self.coordinator.load_report(now, ReplicaId(replica), queued, in_flight);
        Ok(())
    }
}

/// Returns a value of a load report, or `None` if the report does not contain it.
fn report_value(line: &Line, pairs: &str, name: &str) -> Result<Option<f64>, ProtocolError> {
    let mut pairs = pairs.split(',').filter_map(|pair| pair.split_once(':'));
    let Some((_, text)) = pairs.find(|(key, _)| *key == name) else { return Ok(None) };
    match text.parse::<f64>().ok().filter(|value| value.is_finite()) {
        Some(value) => Ok(Some(value)),
        None => Err(line.error("feedback", &format!("has no finite number for '{name}'"))),
    }
}

fn outcome(line: &Line) -> Result<AttemptOutcome, ProtocolError> {
    Ok(match line.field("result")? {
        "pass" => AttemptOutcome::Success,
        "fault" => AttemptOutcome::Fault,
        "no_room" => AttemptOutcome::NoCapacity,
        "too_slow" => AttemptOutcome::TimedOut,
        "no_route" => AttemptOutcome::Unreachable,
        "cut" => AttemptOutcome::Disconnected,
        "undone" => AttemptOutcome::Cancelled,
        "stale_send" => AttemptOutcome::NeverSent,
        other => return Err(line.error("result", &format!("is '{other}', an unknown result"))),
    })
}

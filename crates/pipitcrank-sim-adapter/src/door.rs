//! One hosted instance: its ids at the door, its events in, its actions out.

use std::collections::BTreeMap;
use std::io::{self, Write};

use pipitcrank_core::config::{ConfigError, SettingsReader};
use pipitcrank_core::coordinator::zones::ZoneId;
use pipitcrank_core::coordinator::{Coordinator, NewPart, NewQuery};
use pipitcrank_core::ids::{
    AttemptId, AttemptOutcome, PartId, QueryId, RejectReason, ReplicaId, RequestClassId,
};
use pipitcrank_core::interner::Interner;
use pipitcrank_core::output::CoordinatorOutput;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use serde_json::Value;

use crate::line::{Line, Wrong};

/// One row of a list of replicas, kept until its list's number is used again.
pub struct Row {
    replica: String,
    zone: Option<String>,
    cell: u32,
    up: bool,
    started: Option<Timestamp>,
}

impl Row {
    pub fn read(line: &Line) -> Result<Row, Wrong> {
        if line.word() != "ROW" {
            return Err(line.wrong("rows", "counts more rows than follow"));
        }
        let state = line.field("lifecycle")?;
        if !["U", "L", "D"].contains(&state) {
            return Err(line.wrong("lifecycle", &format!("is '{state}', none of U, L, D")));
        }
        let started = line.amount_or("start_time_s", 0.0)?;
        Ok(Row {
            replica: line.field("replica")?.to_string(),
            zone: line.field("zone").ok().map(str::to_string),
            cell: if state == "D" { line.number_or("cell", 0)? } else { line.number("cell")? },
            up: state == "U",
            started: (started != 0.0).then(|| Timestamp::from_secs_f64(started)),
        })
    }
}

struct Door {
    instance: String,
    queries: Interner,
    parts: Interner,
    replicas: Interner,
    /// Queries by their number at this instance; an entry ends with the query's.
    asks: BTreeMap<u64, u32>,
    /// The reply so far; emptied when it is written.
    reply: String,
}

impl Door {
    fn say(&mut self, line: &str) {
        self.reply.push_str(line);
        self.reply.push('\n');
    }
}

impl CoordinatorOutput for Door {
    fn send_attempt(&mut self, part: PartId, replica: ReplicaId, until: Timestamp) {
        let (i, job, replica) = (&self.instance, self.parts.name(part.0), self.replicas.name(replica.0));
        let line = format!("SEND i={i} job={job} replica={replica} abandon_at_s={:.6}", until.as_secs_f64());
        self.say(&line);
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let AttemptId { part, number } = attempt;
        let line = format!("ABANDON i={} job={} trial={number}", self.instance, self.parts.name(part.0));
        self.say(&line);
    }

    fn answer(&mut self, query: QueryId, whole: bool) {
        let (i, job) = (&self.instance, self.queries.name(query.0));
        let line = format!("RESPOND i={i} job={job} complete={}", u8::from(whole));
        self.say(&line);
    }

    fn reject(&mut self, query: QueryId, stay_away: TimeSpan, _why: RejectReason) {
        let (i, job) = (&self.instance, self.queries.name(query.0));
        let line = format!("DECLINE i={i} job={job} stay_away_s={:.6}", stay_away.as_secs_f64());
        self.say(&line);
    }

    fn abort(&mut self, query: QueryId, _why: RejectReason) {
        let line = format!("DROP_REQUEST i={} job={}", self.instance, self.queries.name(query.0));
        self.say(&line);
    }

    fn set_timer(&mut self, at: Timestamp, label: u64) {
        let line =
            format!("NOTIFY_ME i={} alarm_time_s={:.6} label={label}", self.instance, at.as_secs_f64());
        self.say(&line);
    }

    fn send_load_probe(&mut self, replica: ReplicaId) {
        let line = format!("CHECK i={} replica={}", self.instance, self.replicas.name(replica.0));
        self.say(&line);
    }

    fn watch_endpoints(&mut self) {
        let line = format!("KEEP_INFORMED i={} complete=1", self.instance);
        self.say(&line);
    }

    fn log(&mut self, text: &str) {
        let line = format!("TRACE i={} body_text={text}", self.instance);
        self.say(&line);
    }

    fn release_query(&mut self, query: QueryId) {
        self.queries.release(query.0);
        self.asks.retain(|_, q| *q != query.0);
    }

    fn release_part(&mut self, part: PartId) {
        self.parts.release(part.0);
    }

    fn release_replica(&mut self, replica: ReplicaId) {
        self.replicas.release(replica.0);
    }
}

pub struct Host {
    door: Door,
    coordinator: Coordinator,
    classes: Vec<String>,
    zones: Vec<String>,
}

impl Host {
    pub fn start(line: &Line, name: &str) -> Result<Host, Wrong> {
        let seed = line.number("init_seed")?;
        let told: Value = serde_json::from_str(line.field("conf")?)
            .map_err(|e| line.wrong("conf", &format!("is not the JSON expected: {e}")))?;
        let faulty = |f: ConfigError| line.wrong("conf", &f.to_string());
        let told = SettingsReader::new(&told);
        let (coordinator, classes) =
            (told.coordinator(seed).map_err(faulty)?, told.classes().map_err(faulty)?);
        let door = Door {
            instance: name.to_string(),
            queries: Interner::default(),
            parts: Interner::default(),
            replicas: Interner::default(),
            asks: BTreeMap::new(),
            reply: String::new(),
        };
        let zones = told.zones().map_err(faulty)?.map_or(Vec::new(), |zones| zones.names);
        Ok(Host { door, coordinator, classes, zones })
    }

    pub fn event(
        &mut self,
        now: Timestamp,
        line: &Line,
        lists: &BTreeMap<u32, Vec<Row>>,
    ) -> Result<(), Wrong> {
        let Host { door, coordinator, classes, zones } = self;
        match line.word() {
            "NEW_INSTANCE" => coordinator.start(door),
            "DISCOVERY" => {
                let scope = line.field("scope")?;
                if scope == "Error" {
                    coordinator.endpoint_list_failed(door, now);
                    return Ok(());
                }
                if !["Partial", "Complete", "Persisted"].contains(&scope) {
                    return Err(line.wrong("scope", &format!("is '{scope}', which is not known")));
                }
                let rows = lists.get(&line.number("ref")?);
                let rows = rows.ok_or_else(|| line.wrong("ref", "names no list received"))?;
                coordinator.begin_endpoint_list(scope != "Partial");
                for row in rows {
                    let replica = ReplicaId(door.replicas.intern(&row.replica));
                    coordinator.list_replica(replica, row.cell, row.up, row.started);
                    let zone = zones.iter().position(|z| Some(z) == row.zone.as_ref());
                    if let Some(zone) = zone {
                        coordinator.set_replica_zone(replica, Some(ZoneId(zone as u16)));
                    }
                }
                coordinator.finish_endpoint_list(door);
            }
            "WORK_ITEM" => {
                let (job, ask) = (line.field("job")?, line.number("ask_no")?);
                let amount = line.amount("share_or_count")?;
                let hinted = line.number::<u64>("state_bits")? & 1 == 1;
                let hint = line.optional("effort_s").map(|_| line.amount("effort_s")).transpose()?;
                let hint = hint.filter(|_| hinted);
                let shard: i64 = line.number("range_no")?;
                if shard >= 0 {
                    let shard = u32::try_from(shard).map_err(|_| line.wrong("range_no", "is too large"))?;
                    if let Some(&query) = door.asks.get(&ask) {
                        if door.parts.find(job).is_some() {
                            return Err(line.wrong("job", "repeats an id that is held"));
                        }
                        let part = PartId(door.parts.intern(job));
                        let part = NewPart {
                            id: part,
                            query: QueryId(query),
                            shard,
                            weight: amount,
                            work_hint: hint,
                        };
                        coordinator.add_part(door, now, part);
                    }
                    return Ok(());
                }
                let class = line.field("class")?;
                let class = classes.iter().position(|v| v == class);
                let class = class.ok_or_else(|| line.wrong("class", "is not among the settings'"))?;
                if door.queries.find(job).is_some() || door.asks.contains_key(&ask) {
                    return Err(line.wrong("job", "repeats an id that is held"));
                }
                let query = QueryId(door.queries.intern(job));
                door.asks.insert(ask, query.0);
                let left = TimeSpan::from_secs_f64(line.amount("remaining_s")?);
                let query = NewQuery {
                    id: query,
                    class: RequestClassId(class as u16),
                    time_left: left,
                    work_hint: hint,
                    part_count: amount,
                };
                coordinator.start_query(door, now, query);
            }
            "FINISHED" => {
                let nth = line.number("trial")?;
                let outcome = outcome(line)?;
                report(coordinator, door, now, line)?;
                if let Some(part) = door.parts.find(line.field("job")?) {
                    coordinator.attempt_ended(
                        door,
                        now,
                        AttemptId { part: PartId(part), number: nth },
                        outcome,
                    );
                }
            }
            "DROPPED" => {
                if let Some(query) = door.queries.find(line.field("job")?) {
                    coordinator.cancel_query(door, now, QueryId(query));
                }
            }
            "ELAPSED" => coordinator.timer_fired(door, now, line.number("label")?),
            "HEALTH" => {
                report(coordinator, door, now, line)?;
                let outcome = outcome(line)?;
                if let Some(replica) = door.replicas.find(line.field("replica")?) {
                    coordinator.load_probe_ended(now, ReplicaId(replica), outcome);
                }
            }
            // Streamed request classes and messages between co-ordinators have no part in the decisions.
            "FIRST" | "MEMO" => {}
            word => return Err(line.wrong("i", &format!("comes with '{word}', an event that is not known"))),
        }
        Ok(())
    }

    pub fn turn(&mut self, now: Timestamp) {
        self.coordinator.dispatch(&mut self.door, now);
    }

    pub fn flush(&mut self, output: &mut dyn Write) -> io::Result<()> {
        output.write_all(self.door.reply.as_bytes())?;
        self.door.reply.clear();
        Ok(())
    }
}

/// A load report that came with a line, if one did.
fn report(coordinator: &mut Coordinator, door: &Door, now: Timestamp, line: &Line) -> Result<(), Wrong> {
    let Some(pairs) = line.optional("feedback") else { return Ok(()) };
    let Some(replica) = door.replicas.find(line.field("replica")?) else { return Ok(()) };
    let value = |name: &str| {
        let text = pairs.split(',').filter_map(|p| p.split_once(':')).find(|(key, _)| *key == name);
        let number = text.map(|(_, v)| v.parse::<f64>().ok().filter(|v| v.is_finite()));
        number
            .map(|v| v.ok_or_else(|| line.wrong("feedback", &format!("has no number for '{name}'"))))
            .transpose()
    };
    coordinator.load_report(now, ReplicaId(replica), value("backlog")?, value("outstanding")?);
    Ok(())
}

fn outcome(line: &Line) -> Result<AttemptOutcome, Wrong> {
    Ok(match line.field("result")? {
        "pass" => AttemptOutcome::Success,
        "fault" => AttemptOutcome::Fault,
        "no_room" => AttemptOutcome::NoCapacity,
        "too_slow" => AttemptOutcome::TimedOut,
        "no_route" => AttemptOutcome::Unreachable,
        "cut" => AttemptOutcome::Disconnected,
        "undone" => AttemptOutcome::Cancelled,
        "stale_send" => AttemptOutcome::NeverSent,
        other => return Err(line.wrong("result", &format!("is '{other}', which is not known"))),
    })
}

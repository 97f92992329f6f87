//! Verifies a soak test against the rules: from outside, by what clients and replicas saw, and by each process's own
//! run-time check. What this program saw late is not held against a process.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::Result;

use super::cluster::{
    DEDUP_WINDOW, DRAIN_GRACE, INITIAL_FRACTION, LOAD_WINDOW, Node, OVERLOAD_FACTOR, Replica, SoakCluster,
    WARM_UP, WORK,
};
use super::requests::{ClientBehavior, Request, RequestEnd};
use super::script::PlayedFault;
use crate::outcome::Outcome;
use crate::query_log::Arrival;

/// A final answer counts for so long after the client's time.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// What the link and this program's own timers may take.
const SEEN_LATE: Duration = Duration::from_millis(60);
/// An attempt may begin so long after its client closed.
const CLOSE_SLACK: Duration = Duration::from_millis(100);
/// A process may be held up for so long between reading its clock and writing.
const HELD_UP: Duration = Duration::from_millis(150);
/// The stated deadline may be that much more than the client has.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// What discovery has counts as announced that long after.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(6);
/// Half a request gets an error or a close within that.
const HALF_LIMIT: Duration = Duration::from_secs(3);
/// From a start until it serves.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Of the plain requests that were taken so many are served at least: a play in which nobody is served shows nothing.
const SERVED_LEAST: f64 = 0.5;
/// Examples of each violation that are named.
const EXAMPLES: usize = 4;

struct Verifier<'a> {
    cluster: &'a SoakCluster,
    found: BTreeMap<&'static str, Vec<String>>,
}

pub async fn verify(cluster: &SoakCluster, faults: Vec<PlayedFault>) -> Result<Outcome> {
    let mut verifier = Verifier { cluster, found: BTreeMap::new() };
    for request in cluster.requests.borrow().iter() {
        verifier.request(request);
    }
    let arrivals = cluster.query_log.arrivals();
    verifier.arrivals(&arrivals);
    for replica in cluster.replicas.borrow().iter().chain(cluster.retired.borrow().iter()) {
        verifier.slow_start(replica, &arrivals);
    }
    for (n, node) in cluster.nodes.iter().enumerate() {
        verifier.process(n, node).await;
    }
    Ok(verifier.outcome(&faults, arrivals.len()))
}

impl Verifier<'_> {
    fn breaks(&mut self, what: &'static str, detail: String) {
        self.found.entry(what).or_default().push(detail);
    }

    /// Seconds since the play began.
    fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.cluster.begun).as_secs_f64()
    }

    fn request(&mut self, request: &Request) {
        let node = &self.cluster.nodes[request.node];
        let over = request.sent_at + request.wait + ANSWER_SLACK;
        let killed = |until: Instant| {
            let kills = node.kills.borrow();
            kills.iter().any(|k| *k + SEEN_LATE >= request.sent_at && *k <= until)
        };
        let sent_at =
            format!("{} {:?} asked at {:.3}", request.id, request.behavior, self.at(request.sent_at));
        let named = |how: &str| format!("{sent_at} {how}");
        if request.corrupted {
            self.breaks("answers not as replicas gave them", named(""));
        }
        match &request.end {
            RequestEnd::Answered { status, at } => {
                let late = at.saturating_duration_since(over + SEEN_LATE + self.cluster.lag_at(*at));
                if late > Duration::ZERO && !killed(*at) {
                    self.breaks("answers too late", named(&format!("by {late:?} more, {status}")));
                }
                if !matches!(status, 200 | 429 | 500 | 503) {
                    self.breaks("sound requests held to be faulty", named(&format!("status {status}")));
                }
            }
            RequestEnd::Interrupted { at, kept } if !killed(*at + SEEN_LATE) => {
                let how = if *kept { "kept" } else { "new" };
                self.breaks("requests cut off", named(&format!("cut at {:.3}, {how}", self.at(*at))));
            }
            RequestEnd::NoResponse if request.behavior == ClientBehavior::PartialRequest => {
                self.breaks("halves left without a word", named("5 s"));
            }
            RequestEnd::NoResponse if !killed(over) => self.breaks("requests without an answer", named("")),
            RequestEnd::Refused { at } => {
                let took = at.saturating_duration_since(request.sent_at);
                if took > HALF_LIMIT + SEEN_LATE + self.cluster.lag_at(*at) {
                    self.breaks("halves left without a word", named(&format!("{took:?}")));
                }
            }
            _ => {}
        }
    }

    fn arrivals(&mut self, arrivals: &[Arrival]) {
        let requests = self.cluster.requests.borrow();
        let by_id: BTreeMap<&str, &Request> = requests.iter().map(|r| (r.id.as_str(), r)).collect();
        let mut first: BTreeMap<&str, Instant> = BTreeMap::new();
        for arrival in arrivals {
            let Some((id, _)) = arrival.part.rsplit_once('.') else { continue };
            if arrival.part.starts_with("pay-") {
                let since = *first.entry(&arrival.part).or_insert(arrival.at);
                self.repeat(arrival, since);
            }
            if let Some(request) = by_id.get(id) {
                self.sent_for(request, arrival);
            }
            self.drained(arrival);
        }
        drop(requests);
        let again = self.cluster.query_log.parts_run_again("sale-");
        if again > 0 {
            self.breaks("side-effecting parts run twice", format!("{again}"));
        }
    }

    /// What is to be added to a limit where the process may have been held up, or this program late.
    fn slack(&self, request: &Request, at: Instant) -> Duration {
        let node = &self.cluster.nodes[request.node];
        let held = node.was_held_up(at - Duration::from_millis(500), at);
        SEEN_LATE + self.cluster.lag_at(at) + if held { HELD_UP } else { Duration::ZERO }
    }

    /// Whether the part was in transit while its link was stalled: it arrived later than it was sent.
    fn was_stalled(&self, arrival: &Arrival) -> bool {
        let before = arrival.at - Duration::from_millis(50);
        self.cluster
            .stalls
            .any(arrival.replica, |stall| stall.from <= arrival.at && stall.to.is_none_or(|to| to >= before))
    }

    fn sent_for(&mut self, request: &Request, arrival: &Arrival) {
        if self.was_stalled(arrival) {
            return;
        }
        let slack = self.slack(request, arrival.at);
        let named = |verifier: &Verifier, how: String| {
            format!("{} {:?} arrived at {:.3} {how}", arrival.part, request.behavior, verifier.at(arrival.at))
        };
        if let RequestEnd::Disconnected { at } = request.end {
            let after = arrival.at.saturating_duration_since(at);
            if after > CLOSE_SLACK + slack {
                let named = named(self, format!("{after:?} after the close"));
                self.breaks("attempts begun after the client closed", named);
            }
        }
        let left = (request.sent_at + request.wait).saturating_duration_since(arrival.at);
        if arrival.stated_deadline > left + DEADLINE_SLACK + slack {
            let named = named(self, format!("told {:?}, left {left:?}", arrival.stated_deadline));
            self.breaks("more time told than the client had", named);
        }
        if let RequestEnd::Answered { at, .. } = request.end {
            let after = arrival.at.saturating_duration_since(at);
            if after > slack {
                let named = named(self, format!("{after:?} after the answer"));
                self.breaks("attempts begun after the answer", named);
            }
        }
    }

    fn repeat(&mut self, arrival: &Arrival, first: Instant) {
        let after = arrival.at.saturating_duration_since(first);
        let slack = SEEN_LATE + self.cluster.lag_at(arrival.at) + HELD_UP;
        if after > DEDUP_WINDOW + slack && !self.was_stalled(arrival) {
            let detail = format!("{} {after:?} after the first", arrival.part);
            self.breaks("deduplicated parts repeated beyond their window", detail);
        }
    }

    fn drained(&mut self, arrival: &Arrival) {
        if self.was_stalled(arrival) {
            return;
        }
        let excluded_by = |announced: Instant| {
            let mut by = announced;
            for period in self.cluster.discovery_outages.all() {
                if period.from <= by + ANNOUNCED_AFTER {
                    by = by.max(period.to.unwrap_or(arrival.at));
                }
            }
            by + ANNOUNCED_AFTER + DRAIN_GRACE + HELD_UP + SEEN_LATE
        };
        let sent = self.cluster.drains.any(arrival.replica, |drain| {
            arrival.at > excluded_by(drain.from) && drain.to.is_none_or(|to| arrival.at < to)
        });
        if sent {
            let detail = format!("{} at {:.3}", arrival.part, self.at(arrival.at));
            self.breaks("sent to a drained replica", detail);
        }
    }

    /// All that arrived at a replica in slow start, from all processes together.
    fn slow_start(&mut self, replica: &Replica, arrivals: &[Arrival]) {
        let Some(started) = replica.started else { return };
        let arrivals: Vec<Duration> = arrivals
            .iter()
            .filter(|a| a.replica == replica.replica.address && !self.was_stalled(a))
            .filter(|a| a.at >= started && replica.died.is_none_or(|died| a.at < died))
            .map(|a| a.at.saturating_duration_since(started))
            .collect();
        let capacity = WORK.concurrency as f64 / WORK.mean_time.as_secs_f64();
        for (n, &at) in arrivals.iter().enumerate().filter(|(_, at)| **at < WARM_UP) {
            let first = arrivals.partition_point(|t| *t + LOAD_WINDOW < at);
            let age = at.as_secs_f64() / WARM_UP.as_secs_f64();
            let warmth = INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * age;
            let allowed = OVERLOAD_FACTOR * warmth * capacity * LOAD_WINDOW.as_secs_f64();
            let spread = if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
            let count = n + 1 - first;
            if count as f64 > allowed + spread {
                let detail = format!("{} {count} at {at:?}, allowed {:.0}", replica.name, allowed + spread);
                return self.breaks("replicas in slow start sent too much", detail);
            }
        }
    }

    async fn process(&mut self, n: usize, node: &Node) {
        let mut process = node.process.lock().await;
        let log = process.log();
        let lines = |words: &str| log.lines().filter(|l| l.contains(words)).collect::<Vec<_>>();
        for line in lines("a rule is broken") {
            self.breaks("rules broken by a process's own check", format!("process {n}: {line}"));
        }
        for line in lines("panicked") {
            self.breaks("panics", format!("process {n}: {line}"));
        }
        if let Some(status) = process.exit_status() {
            let last = log.lines().last().unwrap_or("").to_string();
            self.breaks("processes that ended by themselves", format!("process {n}: {status}; {last}"));
        }
        for ready in node.ready.borrow().iter().filter(|r| **r > READY_LIMIT) {
            self.breaks("starts that took too long", format!("process {n}: {ready:?}"));
        }
    }

    fn outcome(self, faults: &[PlayedFault], arrivals: usize) -> Outcome {
        let mut outcome = Outcome::default();
        let requests = self.cluster.requests.borrow();
        let plain = || requests.iter().filter(|r| r.behavior == ClientBehavior::Plain);
        let ended = |status: u16| {
            plain().filter(|r| matches!(r.end, RequestEnd::Answered { status: s, .. } if s == status)).count()
        };
        let (served, taken) = (ended(200), plain().filter(|r| r.end != RequestEnd::NotAccepted).count());
        outcome.figure("requests", requests.len() as f64);
        outcome.figure("parts that came to replicas", arrivals as f64);
        outcome.figure("troubles", faults.len() as f64);
        outcome.figure("plain requests taken", taken as f64);
        outcome.figure("plain requests served", served as f64);
        outcome.figure("plain requests refused", ended(503) as f64);
        outcome.figure("plain requests failed", ended(500) as f64);
        let worst = self.cluster.lags.borrow().iter().map(|l| l.1).max().unwrap_or_default();
        outcome.figure("this program late by, ms", worst.as_secs_f64() * 1000.0);
        outcome.expect_that(served as f64 >= taken as f64 * SERVED_LEAST, "hardly anybody was served");
        for (what, details) in &self.found {
            outcome.expect_zero(what, details.len() as u64);
            for detail in details.iter().take(EXAMPLES) {
                eprintln!("{what}: {detail}");
            }
        }
        if !self.found.is_empty() {
            for PlayedFault { kind, on, from, to } in faults {
                eprintln!("trouble {:7.3} to {:7.3} {} {on}", self.at(*from), self.at(*to), kind.name());
            }
        }
        outcome
    }
}

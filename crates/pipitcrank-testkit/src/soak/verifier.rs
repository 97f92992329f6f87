//! Verifies a soak test against the rules, from the observations of clients and replicas and from the run-time check of
//! each process. Limits allow for the delays of this program itself.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::Result;

use super::cluster::{
    DEDUP_WINDOW, DRAIN_GRACE, INITIAL_FRACTION, LOAD_WINDOW, MEMORY_MB, Node, OVERLOAD_FACTOR, Replica,
    SoakCluster, WARM_UP, WORK,
};
use super::requests::{ClientBehavior, Request, RequestEnd};
use super::script::InjectedFault;
use crate::outcome::Outcome;
use crate::query_log::Arrival;

/// How long after the client's deadline a final answer is still in time.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Delay of observations by the link and by this program's timers.
const OBSERVATION_DELAY: Duration = Duration::from_millis(60);
/// How long after its client closed the connection an attempt may still start.
const CLOSE_SLACK: Duration = Duration::from_millis(100);
/// Longest pause of a process between reading its clock and writing.
const PAUSE_SLACK: Duration = Duration::from_millis(150);
/// How much the stated deadline may exceed the remaining time of the client.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Longest time until a process applies a change in discovery.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(6);
/// Time within which a partial request must be answered with an error or its connection closed.
const PARTIAL_REQUEST_LIMIT: Duration = Duration::from_secs(3);
/// Longest time from the start of a process until it serves.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Least fraction of the accepted plain requests that must be served; a run with fewer shows nothing about the rules.
const MIN_SERVED_FRACTION: f64 = 0.5;
/// Number of examples printed for each rule that was broken.
const MAX_EXAMPLES: usize = 4;

struct Verifier<'a> {
    cluster: &'a SoakCluster,
    violations: BTreeMap<&'static str, Vec<String>>,
}

/// Verifies the records of the cluster and returns the figures and the broken rules.
pub async fn verify(cluster: &SoakCluster, faults: Vec<InjectedFault>) -> Result<Outcome> {
    let mut verifier = Verifier { cluster, violations: BTreeMap::new() };
    for request in cluster.requests.borrow().iter() {
        verifier.check_request(request);
    }
    let arrivals = cluster.query_log.arrivals();
    verifier.check_arrivals(&arrivals);
    for replica in cluster.replicas.borrow().iter().chain(cluster.retired.borrow().iter()) {
        verifier.check_slow_start(replica, &arrivals);
    }
    for (n, node) in cluster.nodes.iter().enumerate() {
        verifier.check_process(n, node).await;
    }
    Ok(verifier.outcome(&faults, arrivals.len()))
}

impl Verifier<'_> {
    fn record(&mut self, rule: &'static str, detail: String) {
        self.violations.entry(rule).or_default().push(detail);
    }

    /// Seconds since the start of the run.
    fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.cluster.start).as_secs_f64()
    }

    fn check_request(&mut self, request: &Request) {
        let node = &self.cluster.nodes[request.node];
        let due = request.sent_at + request.wait + ANSWER_SLACK;
        let killed = |until: Instant| {
            let kills = node.kills.borrow();
            kills.iter().any(|k| *k + OBSERVATION_DELAY >= request.sent_at && *k <= until)
        };
        let sent_at =
            format!("{} {:?} asked at {:.3}", request.id, request.behavior, self.at(request.sent_at));
        let describe = |how: &str| format!("{sent_at} {how}");
        if request.corrupted {
            self.record("answers not as replicas gave them", describe(""));
        }
        match &request.end {
            RequestEnd::Answered { status, at } => {
                let late = at.saturating_duration_since(due + OBSERVATION_DELAY + self.cluster.lag_at(*at));
                if late > Duration::ZERO && !killed(*at) {
                    self.record("answers too late", describe(&format!("by {late:?} more, {status}")));
                }
                if !matches!(status, 200 | 429 | 500 | 503) {
                    self.record("sound requests held to be faulty", describe(&format!("status {status}")));
                }
            }
            RequestEnd::Interrupted { at, reused } if !killed(*at + OBSERVATION_DELAY) => {
                let how = if *reused { "kept" } else { "new" };
                self.record("requests cut off", describe(&format!("cut at {:.3}, {how}", self.at(*at))));
            }
            RequestEnd::NoResponse if request.behavior == ClientBehavior::PartialRequest => {
                self.record("halves left without a word", describe("5 s"));
            }
            RequestEnd::NoResponse if !killed(due) => self.record("requests without an answer", describe("")),
            RequestEnd::Refused { at } => {
                let took = at.saturating_duration_since(request.sent_at);
                if took > PARTIAL_REQUEST_LIMIT + OBSERVATION_DELAY + self.cluster.lag_at(*at) {
                    self.record("halves left without a word", describe(&format!("{took:?}")));
                }
            }
            _ => {}
        }
    }

    fn check_arrivals(&mut self, arrivals: &[Arrival]) {
        let requests = self.cluster.requests.borrow();
        let by_id: BTreeMap<&str, &Request> = requests.iter().map(|r| (r.id.as_str(), r)).collect();
        let mut first_arrivals: BTreeMap<&str, Instant> = BTreeMap::new();
        for arrival in arrivals {
            let Some((id, _)) = arrival.part.rsplit_once('.') else { continue };
            if arrival.part.starts_with("pay-") {
                let first = *first_arrivals.entry(&arrival.part).or_insert(arrival.at);
                self.check_deduplication(arrival, first);
            }
            if let Some(request) = by_id.get(id) {
                self.check_attempt(request, arrival);
            }
            self.check_drain(arrival);
        }
        drop(requests);
        let again = self.cluster.query_log.parts_run_again("sale-");
        if again > 0 {
            self.record("side-effecting parts run twice", format!("{again}"));
        }
    }

    /// Allowance on a limit for a pause of the process and for delays of this program.
    fn slack(&self, request: &Request, at: Instant) -> Duration {
        let node = &self.cluster.nodes[request.node];
        let was_paused = node.was_paused(at - Duration::from_millis(500), at);
        OBSERVATION_DELAY + self.cluster.lag_at(at) + if was_paused { PAUSE_SLACK } else { Duration::ZERO }
    }

    /// Whether the link was stalled while the part was in transit, so that the part arrived long after it was sent.
    fn was_stalled(&self, arrival: &Arrival) -> bool {
        let before = arrival.at - Duration::from_millis(50);
        self.cluster
            .stalls
            .any(arrival.replica, |stall| stall.from <= arrival.at && stall.to.is_none_or(|to| to >= before))
    }

    /// Checks that the attempt started before its client closed the connection or got its answer, and that its stated
    /// deadline is within the remaining time of the client.
    fn check_attempt(&mut self, request: &Request, arrival: &Arrival) {
        if self.was_stalled(arrival) {
            return;
        }
        let slack = self.slack(request, arrival.at);
        let describe = |verifier: &Verifier, how: String| {
            format!("{} {:?} arrived at {:.3} {how}", arrival.part, request.behavior, verifier.at(arrival.at))
        };
        if let RequestEnd::Disconnected { at } = request.end {
            let after = arrival.at.saturating_duration_since(at);
            if after > CLOSE_SLACK + slack {
                let detail = describe(self, format!("{after:?} after the close"));
                self.record("attempts begun after the client closed", detail);
            }
        }
        let left = (request.sent_at + request.wait).saturating_duration_since(arrival.at);
        if arrival.stated_deadline > left + DEADLINE_SLACK + slack {
            let detail = describe(self, format!("told {:?}, left {left:?}", arrival.stated_deadline));
            self.record("more time told than the client had", detail);
        }
        if let RequestEnd::Answered { at, .. } = request.end {
            let after = arrival.at.saturating_duration_since(at);
            if after > slack {
                let detail = describe(self, format!("{after:?} after the answer"));
                self.record("attempts begun after the answer", detail);
            }
        }
    }

    fn check_deduplication(&mut self, arrival: &Arrival, first: Instant) {
        let after = arrival.at.saturating_duration_since(first);
        let slack = OBSERVATION_DELAY + self.cluster.lag_at(arrival.at) + PAUSE_SLACK;
        if after > DEDUP_WINDOW + slack && !self.was_stalled(arrival) {
            let detail = format!("{} {after:?} after the first", arrival.part);
            self.record("deduplicated parts repeated beyond their window", detail);
        }
    }

    fn check_drain(&mut self, arrival: &Arrival) {
        if self.was_stalled(arrival) {
            return;
        }
        let excluded_from = |announced: Instant| {
            let mut known_at = announced;
            for period in self.cluster.discovery_outages.all() {
                if period.from <= known_at + ANNOUNCEMENT_DELAY {
                    known_at = known_at.max(period.to.unwrap_or(arrival.at));
                }
            }
            known_at + ANNOUNCEMENT_DELAY + DRAIN_GRACE + PAUSE_SLACK + OBSERVATION_DELAY
        };
        let is_violation = self.cluster.drains.any(arrival.replica, |drain| {
            arrival.at > excluded_from(drain.from) && drain.to.is_none_or(|to| arrival.at < to)
        });
        if is_violation {
            let detail = format!("{} at {:.3}", arrival.part, self.at(arrival.at));
            self.record("sent to a drained replica", detail);
        }
    }

    /// Checks the parts that arrived at a replica in slow start, from all processes together.
    fn check_slow_start(&mut self, replica: &Replica, arrivals: &[Arrival]) {
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
                return self.record("replicas in slow start sent too much", detail);
            }
        }
    }

    async fn check_process(&mut self, n: usize, node: &Node) {
        let mut process = node.process.lock().await;
        let log = process.log();
        let lines = |text: &str| log.lines().filter(|l| l.contains(text)).collect::<Vec<_>>();
        for line in lines("a rule is broken") {
            self.record("rules broken by a process's own check", format!("process {n}: {line}"));
        }
        for line in lines("panicked") {
            self.record("panics", format!("process {n}: {line}"));
        }
        if let Some(status) = process.exit_status() {
            let last = log.lines().last().unwrap_or("").to_string();
            self.record("processes that ended by themselves", format!("process {n}: {status}; {last}"));
        }
        let peak_kb = node.peak_memory_kb.get();
        if peak_kb > MEMORY_MB * 1024 {
            self.record("processes over their memory limit", format!("process {n}: {peak_kb} kB"));
        }
        for ready in node.ready.borrow().iter().filter(|r| **r > READY_LIMIT) {
            self.record("starts that took too long", format!("process {n}: {ready:?}"));
        }
    }

    fn outcome(self, faults: &[InjectedFault], arrivals: usize) -> Outcome {
        let mut outcome = Outcome::default();
        let requests = self.cluster.requests.borrow();
        let plain = || requests.iter().filter(|r| r.behavior == ClientBehavior::Plain);
        let ended = |status: u16| {
            plain().filter(|r| matches!(r.end, RequestEnd::Answered { status: s, .. } if s == status)).count()
        };
        let (served, accepted) = (ended(200), plain().filter(|r| r.end != RequestEnd::NotAccepted).count());
        outcome.figure("requests", requests.len() as f64);
        outcome.figure("parts that came to replicas", arrivals as f64);
        outcome.figure("troubles", faults.len() as f64);
        outcome.figure("plain requests taken", accepted as f64);
        outcome.figure("plain requests served", served as f64);
        outcome.figure("plain requests refused", ended(503) as f64);
        outcome.figure("plain requests failed", ended(500) as f64);
        let max_lag = self.cluster.lags.borrow().iter().map(|l| l.1).max().unwrap_or_default();
        let peak_kb = self.cluster.nodes.iter().map(|node| node.peak_memory_kb.get()).max().unwrap_or(0);
        outcome.figure("highest memory of a process, kB", peak_kb as f64);
        outcome.figure("this program late by, ms", max_lag.as_secs_f64() * 1000.0);
        outcome
            .expect_that(served as f64 >= accepted as f64 * MIN_SERVED_FRACTION, "hardly anybody was served");
        for (what, details) in &self.violations {
            outcome.expect_zero(what, details.len() as u64);
            for detail in details.iter().take(MAX_EXAMPLES) {
                eprintln!("{what}: {detail}");
            }
        }
        if !self.violations.is_empty() {
            for InjectedFault { kind, on, from, to } in faults {
                eprintln!("trouble {:7.3} to {:7.3} {} {on}", self.at(*from), self.at(*to), kind.name());
            }
        }
        outcome
    }
}

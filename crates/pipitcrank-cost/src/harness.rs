//! Harness that runs an exchange with its co-ordinator in simulated time. The harness ends attempts on
//! request of the caller and records the requests to replicas.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::ids::{AttemptOutcome, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_server::exchange::{
    AttemptHandle, Endpoint, Exchange, PartIds, QueryPart, QueryRequest, QueryResponse, ReplicaTransport,
};
use pipitcrank_server::runtime::counters::Counters;
use serde_json::json;

/// Transport that records all requests of the exchange, in order.
#[derive(Default)]
pub struct RecordingTransport {
    /// Calls that `authorize_all` has not processed yet.
    pub calls: Vec<(ReplicaId, Vec<AttemptHandle>)>,
    /// Cancelled attempts.
    pub cancelled: Vec<(ReplicaId, AttemptHandle)>,
    /// Replicas that were sent a load probe.
    pub probes: Vec<ReplicaId>,
}

impl ReplicaTransport for RecordingTransport {
    fn set_address(&mut self, _: ReplicaId, _: SocketAddr) {}
    fn remove_replica(&mut self, _: ReplicaId) {}
    fn send_attempts(&mut self, replica: ReplicaId, attempts: Vec<AttemptHandle>, _: &dyn PartIds) {
        self.calls.push((replica, attempts));
    }
    fn cancel_attempt(&mut self, replica: ReplicaId, attempt: AttemptHandle) {
        self.cancelled.push((replica, attempt));
    }
    fn send_load_probe(&mut self, replica: ReplicaId) {
        self.probes.push(replica);
    }
}

/// An exchange whose replicas answer only through `end_attempt`.
pub struct ExchangeHarness {
    /// The exchange.
    pub exchange: Exchange,
    /// Requests of the exchange.
    pub transport: RecordingTransport,
    /// Current simulated time.
    pub now: Timestamp,
    /// Number of responses by kind.
    pub responses: Rc<RefCell<BTreeMap<&'static str, u64>>>,
    cells: u32,
    shards: u32,
    submitted_count: u64,
}

impl ExchangeHarness {
    /// Creates an exchange with `replicas` replicas that hold `shards` shards in a ring of `cells` cells. The
    /// exchange has a limit of `max_open` open queries and parts.
    pub fn new(replicas: u32, cells: u32, shards: u32, max_open: usize) -> ExchangeHarness {
        let class = |name: &str, kind: &str| json!({"name": name, "aim_s": 2.0, "hard_limit_s": 6.0, "idempotency": kind});
        let settings = json!({
            "allowed": {"cancel": true, "probing": false, "may_duplicate": true, "retry_after": false, "try_limit": 4},
            "classes": [class("view", "safe"), class("rank", "safe"), class("sale", "unsafe")],
            "domain": {"call_cost_s": 0.001, "complete_from": [1.0, 1.0, 1.0], "floor_by_class": [1.0, 0.8, 1.0],
                "follow_up": [0, 0, 0], "parts_a_call": 8, "sets": cells, "shards": shards, "span": 3},
            "rules": {"cold_from": 0.3, "cold_s": 9.0, "fall_s": 1.5, "overload_factor": 4.0, "repeat_ratio": 0.1,
                "extra_free": 5, "budget_span_s": 10.0},
            "tick_s": 0.005
        });
        let coordinator =
            SettingsReader::new(&settings).coordinator(11).expect("the settings of the harness are invalid");
        let mut exchange = Exchange::new(coordinator, max_open, 8, Counters::default());
        exchange.update_endpoints(
            Timestamp::default(),
            true,
            (0..replicas).map(|n| endpoint(n, cells, true)).collect(),
        );
        let (transport, responses) = (RecordingTransport::default(), Rc::default());
        let mut harness = ExchangeHarness {
            exchange,
            transport,
            now: Timestamp::default(),
            responses,
            cells,
            shards,
            submitted_count: 0,
        };
        harness.run_batch(5);
        harness
    }

    /// Advances the time by `ms` milliseconds and runs a batch.
    pub fn run_batch(&mut self, ms: i64) {
        self.now = self.now + TimeSpan::from_millis(ms);
        self.exchange.run_batch(self.now, &mut self.transport);
    }

    /// Sends a partial endpoint list with one replica, which is either up or draining.
    pub fn change_replica(&mut self, n: u32, up: bool) {
        let endpoint = endpoint(n, self.cells, up);
        self.exchange.update_endpoints(self.now, false, vec![endpoint]);
    }

    /// Sends a complete endpoint list of `replicas` replicas, all up.
    pub fn list_all(&mut self, replicas: u32) {
        self.exchange.update_endpoints(
            self.now,
            true,
            (0..replicas).map(|n| endpoint(n, self.cells, true)).collect(),
        );
    }

    /// Submits a query of `parts` consecutive shards that begin at `first_shard`; returns its ticket.
    pub fn submit(&mut self, class: u16, first_shard: u32, parts: u32, time_limit_ms: i64) -> u64 {
        self.submitted_count += 1;
        let weight = 1.0 / f64::from(parts);
        let part = |n| QueryPart { shard: (first_shard + n) % self.shards, weight, work: Some(0.01) };
        let request = QueryRequest {
            id: format!("q{}", self.submitted_count),
            class: RequestClassId(class),
            deadline: self.now + TimeSpan::from_millis(time_limit_ms),
            parts: (0..parts).map(part).collect(),
            idempotency_key: None,
            text: "c41e".into(),
        };
        let responses = self.responses.clone();
        let sink = Box::new(move |response: QueryResponse| {
            let kind = match response {
                QueryResponse::Answered { complete: true, .. } => "merged",
                QueryResponse::Answered { complete: false, .. } => "merged in part",
                QueryResponse::Rejected { .. } => "rejected",
                QueryResponse::Aborted => "aborted",
                QueryResponse::DuplicateId => "repeated",
            };
            *responses.borrow_mut().entry(kind).or_default() += 1;
        });
        self.exchange.submit(self.submitted_count, request, sink);
        self.submitted_count
    }

    /// Authorizes all recorded calls; returns the attempts that are sent.
    pub fn authorize_all(&mut self) -> Vec<AttemptHandle> {
        let mut sent = Vec::new();
        for (replica, mut attempts) in std::mem::take(&mut self.transport.calls) {
            self.exchange.authorize_send(self.now, replica, &mut attempts);
            sent.extend(attempts);
        }
        sent
    }

    /// Ends an attempt with the outcome. A successful attempt returns a value.
    pub fn end_attempt(&mut self, attempt: AttemptHandle, outcome: AttemptOutcome) {
        let value = (outcome == AttemptOutcome::Success).then(|| "value".to_string());
        self.exchange.attempt_ended(attempt, outcome, value, None);
    }

    /// Submits one query and runs batches until it is answered. All sent attempts succeed.
    pub fn serve_one(&mut self, class: u16, first_shard: u32, parts: u32) {
        self.submit(class, first_shard, parts, 4000);
        for _ in 0..400 {
            self.run_batch(5);
            for attempt in self.authorize_all() {
                self.end_attempt(attempt, AttemptOutcome::Success);
            }
            if self.exchange.is_drained() {
                return;
            }
        }
        panic!("query with {parts} parts was not answered within 400 batches");
    }
}

fn endpoint(n: u32, cells: u32, up: bool) -> Endpoint {
    let address = Some(SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16)));
    Endpoint { uid: format!("leaf-{n}"), address, cell: n % cells, zone: None, up, started: None }
}

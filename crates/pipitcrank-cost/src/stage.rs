//! The exchange with the decision module in it, driven by hand: replicas that answer when told, and a note of all that is
//! asked of them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::ids::{AttemptOutcome, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_server::exchange::{
    AttemptId, Endpoint, Exchange, QueryPart, QueryRequest, QueryResponse, ReplicaTransport,
};
use pipitcrank_server::runtime::counters::Counters;
use serde_json::json;

/// What the exchange asked for, in order.
#[derive(Default)]
pub struct Noted {
    pub calls: Vec<(ReplicaId, Vec<AttemptId>)>,
    pub given_up: Vec<(ReplicaId, AttemptId)>,
    pub probes: Vec<ReplicaId>,
}

impl ReplicaTransport for Noted {
    fn set_address(&mut self, _: ReplicaId, _: SocketAddr) {}
    fn remove_replica(&mut self, _: ReplicaId) {}
    fn send_attempts(&mut self, replica: ReplicaId, parts: Vec<AttemptId>) {
        self.calls.push((replica, parts));
    }
    fn cancel_attempt(&mut self, replica: ReplicaId, call: AttemptId) {
        self.given_up.push((replica, call));
    }
    fn send_load_probe(&mut self, replica: ReplicaId) {
        self.probes.push(replica);
    }
}

pub struct Stage {
    pub exchange: Exchange,
    pub noted: Noted,
    pub now: Timestamp,
    pub finals: Rc<RefCell<BTreeMap<&'static str, u64>>>,
    cells: u32,
    shards: u32,
    asked: u64,
}

impl Stage {
    pub fn set(replicas: u32, cells: u32, shards: u32, most_open: usize) -> Stage {
        let class = |name: &str, kind: &str| json!({"name": name, "aim_s": 2.0, "hard_limit_s": 6.0, "idempotency": kind});
        let told = json!({
            "allowed": {"cancel": true, "probing": false, "may_duplicate": true, "retry_after": false, "try_limit": 4},
            "classes": [class("view", "safe"), class("rank", "safe"), class("sale", "unsafe")],
            "domain": {"call_cost_s": 0.001, "complete_from": [1.0, 1.0, 1.0], "floor_by_class": [1.0, 0.8, 1.0],
                "follow_up": [0, 0, 0], "parts_a_call": 8, "sets": cells, "shards": shards, "span": 3},
            "rules": {"cold_from": 0.3, "cold_s": 9.0, "fall_s": 1.5, "overload_factor": 4.0, "repeat_ratio": 0.1,
                "extra_free": 5, "budget_span_s": 10.0},
            "tick_s": 0.005
        });
        let coordinator = SettingsReader::new(&told).coordinator(11).expect("a charter of our own is good");
        let mut exchange = Exchange::new(coordinator, most_open, 8, Counters::default());
        exchange.update_endpoints(
            Timestamp::default(),
            true,
            (0..replicas).map(|n| row(n, cells, true)).collect(),
        );
        let (noted, finals) = (Noted::default(), Rc::default());
        let mut stage = Stage { exchange, noted, now: Timestamp::default(), finals, cells, shards, asked: 0 };
        stage.turn(5);
        stage
    }

    /// Time passes, and a turn is taken.
    pub fn turn(&mut self, ms: i64) {
        self.now = self.now + TimeSpan::from_millis(ms);
        self.exchange.run_batch(self.now, &mut self.noted);
    }

    pub fn replica_changes(&mut self, n: u32, up: bool) {
        let row = row(n, self.cells, up);
        self.exchange.update_endpoints(self.now, false, vec![row]);
    }

    pub fn whole_list(&mut self, replicas: u32) {
        self.exchange.update_endpoints(
            self.now,
            true,
            (0..replicas).map(|n| row(n, self.cells, true)).collect(),
        );
    }

    pub fn ask(&mut self, class: u16, first: u32, parts: u32, wait_ms: i64) -> u64 {
        self.asked += 1;
        let weight = 1.0 / f64::from(parts);
        let part = |n| QueryPart { shard: (first + n) % self.shards, weight, work: Some(0.01) };
        let asked = QueryRequest {
            id: format!("q{}", self.asked),
            class: RequestClassId(class),
            deadline: self.now + TimeSpan::from_millis(wait_ms),
            parts: (0..parts).map(part).collect(),
            idempotency_key: None,
            text: "c41e".into(),
        };
        let finals = self.finals.clone();
        let then = Box::new(move |last: QueryResponse| {
            let word = match last {
                QueryResponse::Answered { complete: true, .. } => "merged",
                QueryResponse::Answered { complete: false, .. } => "merged in part",
                QueryResponse::Rejected { .. } => "rejected",
                QueryResponse::Aborted => "aborted",
                QueryResponse::DuplicateId => "repeated",
            };
            *finals.borrow_mut().entry(word).or_default() += 1;
        });
        self.exchange.submit(self.asked, asked, then);
        self.asked
    }

    /// All calls noted go, and their parts are out.
    pub fn release(&mut self) -> Vec<AttemptId> {
        let mut out = Vec::new();
        for (replica, mut parts) in std::mem::take(&mut self.noted.calls) {
            self.exchange.authorize_send(self.now, replica, &mut parts);
            out.extend(parts);
        }
        out
    }

    pub fn ended(&mut self, call: AttemptId, outcome: AttemptOutcome) {
        let value = (outcome == AttemptOutcome::Success).then(|| "value".to_string());
        self.exchange.attempt_ended(call, outcome, value, None);
    }

    /// One query from its arrival to its answer, with replicas that answer within two turns.
    pub fn serve_one(&mut self, class: u16, first: u32, parts: u32) {
        self.ask(class, first, parts, 4000);
        for _ in 0..400 {
            self.turn(5);
            for call in self.release() {
                self.ended(call, AttemptOutcome::Success);
            }
            if self.exchange.is_drained() {
                return;
            }
        }
        panic!("a query of {parts} parts was not answered");
    }
}

fn row(n: u32, cells: u32, up: bool) -> Endpoint {
    let address = Some(SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16)));
    Endpoint { uid: format!("leaf-{n}"), address, cell: n % cells, zone: None, up, started: None }
}

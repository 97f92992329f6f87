//! An exchange with a recording transport, driven batch by batch at times set by the tests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::ids::{AttemptOutcome, ReplicaId, RequestClassId};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_server::audit;
use pipitcrank_server::exchange::{
    AttemptHandle, Endpoint, Exchange, PartIds, QueryPart, QueryRequest, QueryResponse, ReplicaTransport,
};
use pipitcrank_server::runtime::counters::Counters;

pub const SETTINGS: &str = r#"{"allowed":{"cancel":true,"probing":false,"may_duplicate":true,"retry_after":true,
  "max_retry_after_s":2.0,"try_limit":4},"classes":[
  {"aim_s":1.0,"hard_limit_s":4.0,"idempotency":"safe","name":"view"},
  {"aim_s":1.0,"hard_limit_s":4.0,"idempotency":"safe","name":"rank"},
  {"aim_s":1.0,"hard_limit_s":4.0,"idempotency":"unsafe","name":"sale"}],
  "domain":{"call_cost_s":0.01,"complete_from":[1.0,1.0,1.0],"floor_by_class":[1.0,0.4,1.0],"follow_up":[0,0,0],
  "parts_a_call":4,"sets":3,"shards":12,"span":2},
  "rules":{"cold_from":0.3,"cold_s":9.0,"fall_s":1.5,"overload_factor":4.0},"tick_s":0.005}"#;
pub const MAX_OPEN: usize = 9;

pub fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

/// A replica side that records all commands.
#[derive(Default)]
pub struct RecordingTransport {
    pub calls: Vec<(ReplicaId, Vec<AttemptHandle>)>,
    pub cancelled: Vec<AttemptHandle>,
    pub addresses: BTreeMap<ReplicaId, SocketAddr>,
    pub probed: Vec<ReplicaId>,
}

impl ReplicaTransport for RecordingTransport {
    fn set_address(&mut self, replica: ReplicaId, address: SocketAddr) {
        self.addresses.insert(replica, address);
    }
    fn remove_replica(&mut self, replica: ReplicaId) {
        self.addresses.remove(&replica);
    }
    fn send_attempts(&mut self, replica: ReplicaId, attempts: Vec<AttemptHandle>, _: &dyn PartIds) {
        self.calls.push((replica, attempts));
    }
    fn cancel_attempt(&mut self, _replica: ReplicaId, attempt: AttemptHandle) {
        self.cancelled.push(attempt);
    }
    fn send_load_probe(&mut self, replica: ReplicaId) {
        self.probed.push(replica);
    }
}

pub fn endpoint(n: u32, up: bool) -> Endpoint {
    let address = Some(SocketAddr::from(([127, 0, 0, 1], 5000 + n as u16)));
    Endpoint { uid: format!("leaf-{n}"), address, cell: n, zone: None, up, started: None }
}

/// The rules of the run-time audit under these settings.
pub fn audit_rules(settings: &serde_json::Value) -> audit::AuditRules {
    let number = |key: &str| settings.pointer(key).and_then(serde_json::Value::as_f64);
    let class = |n: usize| audit::ClassRules {
        idempotency: SettingsReader::new(settings).idempotency(n).unwrap(),
        dedup_window: TimeSpan::from_secs_f64(number(&format!("/classes/{n}/dedup_window_s")).unwrap_or(0.0)),
        floor: number(&format!("/domain/floor_by_class/{n}")).unwrap(),
        complete_from: number(&format!("/domain/complete_from/{n}")).unwrap(),
    };
    audit::AuditRules {
        classes: (0..settings["classes"].as_array().unwrap().len()).map(class).collect(),
        may_hedge: settings["allowed"]["may_duplicate"].as_bool().unwrap(),
        max_attempts: number("/allowed/try_limit").unwrap() as u32,
        drain_grace: TimeSpan::ZERO,
        budget_free: number("/rules/extra_free").unwrap_or(0.0),
        budget_ratio: number("/rules/repeat_ratio").unwrap_or(0.0),
        budget_window: number("/rules/budget_span_s").map(TimeSpan::from_secs_f64),
    }
}

pub type Responses = Rc<RefCell<Vec<(String, QueryResponse)>>>;

pub struct Harness {
    pub exchange: Exchange,
    pub transport: RecordingTransport,
    pub counters: Counters,
    pub responses: Responses,
    pub last_ticket: u64,
}

impl Drop for Harness {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let all = self.counters.all();
            let violations: Vec<_> =
                all.into_iter().filter(|counter| counter.group == "violations").collect();
            assert!(violations.is_empty(), "rules violated: {violations:?}");
        }
    }
}

impl Harness {
    /// An exchange with three replicas in a ring of three cells; each shard is held by two of them.
    pub fn new() -> Harness {
        Harness::with_settings(SETTINGS)
    }

    pub fn with_settings(settings: &str) -> Harness {
        let settings = serde_json::from_str(settings).unwrap();
        let counters = Counters::default();
        let coordinator = SettingsReader::new(&settings).coordinator(7).unwrap();
        let mut exchange = Exchange::new(coordinator, MAX_OPEN, 4, counters.clone());
        exchange.enable_audit(audit_rules(&settings));
        exchange.update_endpoints(at(0), true, (0..3).map(|n| endpoint(n, true)).collect());
        let mut harness = Harness {
            exchange,
            transport: RecordingTransport::default(),
            counters,
            responses: Responses::default(),
            last_ticket: 0,
        };
        harness.run_batch(0);
        harness
    }

    pub fn run_batch(&mut self, ms: i64) {
        self.exchange.run_batch(at(ms), &mut self.transport);
    }

    pub fn submit_query(
        &mut self,
        id: &str,
        class: u16,
        shards: std::ops::Range<u32>,
        deadline_ms: i64,
    ) -> u64 {
        let weight = 1.0 / shards.len() as f64;
        let parts = shards.map(|shard| QueryPart { shard, weight, work: Some(0.02) }).collect();
        let request = QueryRequest {
            id: id.into(),
            class: RequestClassId(class),
            deadline: at(deadline_ms),
            parts,
            idempotency_key: None,
            text: "text".into(),
        };
        let (responses, name) = (self.responses.clone(), id.to_string());
        self.last_ticket += 1;
        self.exchange.submit(
            self.last_ticket,
            request,
            Box::new(move |response: QueryResponse| responses.borrow_mut().push((name, response))),
        );
        self.last_ticket
    }

    /// Passes all recorded calls through the send guard, as connections do before the first byte. Returns the
    /// authorized attempts.
    pub fn authorize_calls(&mut self, ms: i64) -> Vec<(ReplicaId, AttemptHandle, String, u32)> {
        let mut out = Vec::new();
        for (replica, mut attempts) in std::mem::take(&mut self.transport.calls) {
            let allowed = self.exchange.authorize_send(at(ms), replica, &mut attempts);
            assert_eq!(allowed.len(), attempts.len());
            for (part, attempt) in allowed.into_iter().zip(attempts) {
                assert_eq!(&*part.text, "text");
                out.push((replica, attempt, part.id.to_string(), part.shard));
            }
        }
        out
    }

    pub fn succeed(&mut self, attempt: AttemptHandle, value: &str) {
        self.exchange.attempt_ended(attempt, AttemptOutcome::Success, Some(value.into()), None);
    }

    /// Runs each batch at the time at which it is due, up to `ms`.
    pub fn run_until(&mut self, ms: i64) {
        while let Some(due) = self.exchange.next_due().filter(|&t| t <= at(ms)) {
            self.exchange.run_batch(due, &mut self.transport);
        }
        self.run_batch(ms);
    }

    pub fn response_to(&self, id: &str) -> Option<String> {
        let responses = self.responses.borrow();
        let mut matching = responses.iter().filter(|(name, _)| name == id);
        let response = matching.next().map(|(_, response)| format!("{response:?}"));
        assert!(matching.next().is_none(), "query {id} got more than one final answer");
        response
    }
}

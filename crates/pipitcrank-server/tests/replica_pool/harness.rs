//! A replica pool with a stand-in replica in the same process.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::ids::RequestClassId;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::{Endpoint, Exchange, QueryPart, QueryRequest, QueryResponse};
use pipitcrank_server::replicas::pool::ReplicaPool;
use pipitcrank_server::runtime::clock::Clock;
use pipitcrank_server::runtime::connection_limits::ConnectionLimiter;
use pipitcrank_server::runtime::counters::Counters;
use pipitcrank_server::runtime::event_loop::EventLoop;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::oneshot;

const SETTINGS: &str = r#"{"allowed":{"cancel":true,"probing":false,"may_duplicate":true,"retry_after":false,"try_limit":1},
  "classes":[{"aim_s":50.0,"hard_limit_s":60.0,"idempotency":"safe","name":"view"}],
  "domain":{"call_cost_s":0.01,"complete_from":[1.0],"floor_by_class":[1.0],"follow_up":[0],"parts_a_call":4,"sets":1,
  "shards":12,"span":1},"rules":{"cold_from":0.3,"cold_s":9.0,"fall_s":1.5,"overload_factor":4.0},"tick_s":0.001}"#;
pub const LONG: Duration = Duration::from_secs(60);
pub const SHORT: Duration = Duration::from_millis(50);
const TICK: TimeSpan = TimeSpan::from_millis(1);

/// A pool with one stand-in replica that holds all shards. Tests receive the replica's accepted connections.
pub struct Harness {
    pub event_loop: Rc<EventLoop>,
    pub replicas: Rc<RefCell<ReplicaPool>>,
    pub accepted: UnboundedReceiver<TcpStream>,
    query_count: u64,
}

impl Harness {
    pub async fn new(streams: usize, connections: usize, idle: Duration) -> Harness {
        Harness::with_connect_timeout(streams, connections, idle, LONG).await
    }

    pub async fn with_connect_timeout(
        streams: usize,
        connections: usize,
        idle: Duration,
        connect_timeout: Duration,
    ) -> Harness {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (streams_out, accepted) = unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = streams_out.send(stream);
            }
        });
        Harness::with_replica(address, accepted, streams, connections, idle, connect_timeout)
    }

    pub fn with_replica(
        address: SocketAddr,
        accepted: UnboundedReceiver<TcpStream>,
        streams: usize,
        connections: usize,
        idle: Duration,
        connect_timeout: Duration,
    ) -> Harness {
        let clock = Clock::start();
        let counters = Counters::default();
        let coordinator =
            SettingsReader::new(&serde_json::from_str(SETTINGS).unwrap()).coordinator(1).unwrap();
        let mut exchange = Exchange::new(coordinator, 1000, 4, counters.clone());
        exchange.update_endpoints(clock.now(), true, vec![endpoint_at(address)]);
        let event_loop =
            Rc::new(EventLoop::new(clock, counters, ConnectionLimiter::new(connections), exchange));
        let replicas = ReplicaPool::new(event_loop.clone(), streams, connect_timeout, idle);
        let (batch_loop, transport) = (event_loop.clone(), replicas.clone());
        tokio::task::spawn_local(async move { batch_loop.run(TICK, &*transport).await });
        Harness { event_loop, replicas, accepted, query_count: 0 }
    }

    pub fn submit_query(&mut self, parts: u32, text: Arc<str>) -> oneshot::Receiver<QueryResponse> {
        let id = format!("q{}", self.query_count + 1);
        self.submit_with_id(&id, parts, text)
    }

    pub fn submit_with_id(
        &mut self,
        id: &str,
        parts: u32,
        text: Arc<str>,
    ) -> oneshot::Receiver<QueryResponse> {
        self.query_count += 1;
        let (sink, response) = oneshot::channel();
        let query_deadline = self.event_loop.clock.now() + TimeSpan::from_millis(59_000);
        let weight = 1.0 / f64::from(parts);
        let parts = (0..parts).map(|shard| QueryPart { shard, weight, work: None }).collect();
        let request = QueryRequest {
            id: id.to_string(),
            class: RequestClassId(0),
            deadline: query_deadline,
            parts,
            idempotency_key: None,
            text,
        };
        self.event_loop.update(|e| e.submit(self.query_count, request, Box::new(sink)));
        response
    }

    /// Ends the query with this number as its client disconnects, and waits until its only attempt is cancelled.
    pub async fn disconnect_client(&self, number: u64) {
        let cancelled = self.event_loop.counters.get("leaf_calls", "undone");
        self.event_loop.update(|e| e.client_disconnected(number));
        self.wait_for_counter("leaf_calls", "undone", cancelled + 1).await;
    }

    /// Moves the replica to a new address, and returns the listener there.
    pub async fn move_replica(&self) -> TcpListener {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = endpoint_at(listener.local_addr().unwrap());
        self.event_loop.update(|e| e.update_endpoints(self.event_loop.clock.now(), false, vec![endpoint]));
        listener
    }

    pub async fn wait_for_counter(&self, group: &'static str, name: &'static str, expected: u64) {
        while self.event_loop.counters.get(group, name) < expected {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(self.event_loop.counters.get(group, name), expected, "{group} {name}");
    }
}

fn endpoint_at(address: SocketAddr) -> Endpoint {
    Endpoint { uid: "leaf".into(), address: Some(address), cell: 0, zone: None, up: true, started: None }
}

pub async fn read_frame(stream: &mut TcpStream) -> String {
    let length = stream.read_u32().await.expect("a frame must arrive");
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await.unwrap();
    String::from_utf8(body).unwrap()
}

pub async fn write_answer(stream: &mut TcpStream, id: &str) {
    write_value(stream, id, "value").await;
}

pub async fn write_value(stream: &mut TcpStream, id: &str, value: &str) {
    let body = format!("A{id} ok 1 -\n{value}");
    stream.write_u32(body.len() as u32).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
}

pub fn run_scenario(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limited =
        async { tokio::time::timeout(LONG, scenario).await.expect("the scenario must end within 60 s") };
    tokio::task::LocalSet::new().block_on(&runtime, limited);
}

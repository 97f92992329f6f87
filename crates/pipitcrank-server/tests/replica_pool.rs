//! The replica side against a stand-in for a replica, in one process: which connections it opens, uses again and closes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::ids::{ReplicaId, RequestClassId};
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::{
    Endpoint, Exchange, QueryPart, QueryRequest, QueryResponse, ReplicaTransport,
};
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
const LONG: Duration = Duration::from_secs(60);
const SHORT: Duration = Duration::from_millis(50);
const TICK: TimeSpan = TimeSpan::from_millis(1);

/// One replica that holds everything; its connections are handed out as they come.
struct Harness {
    event_loop: Rc<EventLoop>,
    replicas: Rc<RefCell<ReplicaPool>>,
    accepted: UnboundedReceiver<TcpStream>,
    asked: u64,
}

impl Harness {
    async fn new(streams: usize, sockets: usize, idle: Duration) -> Harness {
        Harness::with_connect_timeout(streams, sockets, idle, LONG).await
    }

    async fn with_connect_timeout(streams: usize, sockets: usize, idle: Duration, way: Duration) -> Harness {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (hand_out, accepted) = unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = hand_out.send(stream);
            }
        });
        Harness::facing(address, accepted, streams, sockets, idle, way)
    }

    fn facing(
        address: SocketAddr,
        accepted: UnboundedReceiver<TcpStream>,
        streams: usize,
        sockets: usize,
        idle: Duration,
        way: Duration,
    ) -> Harness {
        let clock = Clock::start();
        let counters = Counters::default();
        let coordinator =
            SettingsReader::new(&serde_json::from_str(SETTINGS).unwrap()).coordinator(1).unwrap();
        let mut exchange = Exchange::new(coordinator, 1000, 4, counters.clone());
        let row = Endpoint {
            uid: "leaf".into(),
            address: Some(address),
            cell: 0,
            zone: None,
            up: true,
            started: None,
        };
        exchange.update_endpoints(clock.now(), true, vec![row]);
        let event_loop = Rc::new(EventLoop::new(clock, counters, ConnectionLimiter::new(sockets), exchange));
        let replicas = ReplicaPool::new(event_loop.clone(), streams, way, idle);
        let (turns, side) = (event_loop.clone(), replicas.clone());
        tokio::task::spawn_local(async move { turns.run(TICK, &*side).await });
        Harness { event_loop, replicas, accepted, asked: 0 }
    }

    fn ask(&mut self, parts: u32, text: Arc<str>) -> oneshot::Receiver<QueryResponse> {
        self.asked += 1;
        let (tell, told) = oneshot::channel();
        let ends = self.event_loop.clock.now() + TimeSpan::from_millis(59_000);
        let weight = 1.0 / f64::from(parts);
        let parts = (0..parts).map(|shard| QueryPart { shard, weight, work: None }).collect();
        let id = format!("q{}", self.asked);
        let asked =
            QueryRequest { id, class: RequestClassId(0), deadline: ends, parts, idempotency_key: None, text };
        self.event_loop.update(|e| e.submit(self.asked, asked, Box::new(tell)));
        told
    }

    async fn count(&self, what: &'static str, which: &'static str, wanted: u64) {
        while self.event_loop.counters.get(what, which) < wanted {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(self.event_loop.counters.get(what, which), wanted, "{what} {which}");
    }
}

async fn frame(stream: &mut TcpStream) -> String {
    let length = stream.read_u32().await.expect("a frame");
    let mut rest = vec![0; length as usize];
    stream.read_exact(&mut rest).await.unwrap();
    String::from_utf8(rest).unwrap()
}

async fn answer(stream: &mut TcpStream, id: &str) {
    let rest = format!("A{id} ok 1 -\nvalue");
    stream.write_u32(rest.len() as u32).await.unwrap();
    stream.write_all(rest.as_bytes()).await.unwrap();
}

fn play(scene: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limited = async { tokio::time::timeout(LONG, scene).await.expect("the scene ends") };
    tokio::task::LocalSet::new().block_on(&runtime, limited);
}

#[test]
fn connections_are_reused_and_carry_no_more_than_their_streams() {
    play(async {
        let mut harness = Harness::new(2, 9, LONG).await;
        let mut told = Vec::new();
        for n in 0..3 {
            told.push(harness.ask(1, "t".into()));
            harness.count("frames", "calls_sent", n + 1).await;
        }
        let mut connections =
            [harness.accepted.recv().await.unwrap(), harness.accepted.recv().await.unwrap()];
        for (nth, id) in [(0, "q1.0"), (0, "q2.0"), (1, "q3.0")] {
            assert!(frame(&mut connections[nth]).await.starts_with(&format!("Q{id} 0 d=")));
            answer(&mut connections[nth], id).await;
        }
        for last in told {
            assert!(matches!(last.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        }
        let again = harness.ask(1, "t".into());
        assert!(frame(&mut connections[0]).await.starts_with("Qq4.0 "), "the first one again");
        answer(&mut connections[0], "q4.0").await;
        again.await.unwrap();
        assert_eq!(harness.event_loop.counters.get("leaf_connections", "opened"), 2);
    });
}

#[test]
fn a_connection_is_closed_idle_before_the_replica_would_and_what_comes_next_opens_another() {
    play(async {
        let mut harness = Harness::new(8, 9, Duration::from_millis(30)).await;
        for n in 1..4 {
            let told = harness.ask(1, "t".into());
            let mut stream = harness.accepted.recv().await.unwrap();
            frame(&mut stream).await;
            // Idle is when nothing is out: however long this takes, the connection stays.
            tokio::time::sleep(Duration::from_millis(60)).await;
            answer(&mut stream, &format!("q{n}.0")).await;
            assert!(matches!(told.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
            assert_eq!(stream.read(&mut [0]).await.unwrap(), 0, "closed in order");
            harness.count("leaf_connections", "idle", n).await;
        }
        assert_eq!(harness.event_loop.counters.get("leaf_calls", "cut"), 0);
    });
}

#[test]
fn a_connection_that_does_not_read_holds_up_no_other_and_its_rest_is_never_run() {
    play(async {
        let mut harness = Harness::new(64, 9, LONG).await;
        // More than any socket's buffers hold.
        let huge: Arc<str> = "x".repeat(16 << 20).into();
        let stuck = harness.ask(1, huge);
        let first = harness.accepted.recv().await.unwrap();
        // Read a little: the frame has been begun.
        first.readable().await.unwrap();
        let told = harness.ask(1, "t".into());
        let mut second = harness.accepted.recv().await.unwrap();
        assert!(frame(&mut second).await.starts_with("Qq2.0 "));
        answer(&mut second, "q2.0").await;
        assert!(matches!(told.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        drop(first);
        assert!(matches!(stuck.await.unwrap(), QueryResponse::Rejected { .. }), "its one call never ran");
        harness.count("leaf_calls", "no_route", 1).await;
    });
}

#[test]
fn a_connection_lost_after_the_frame_was_whole_may_have_run_its_parts() {
    play(async {
        let mut harness = Harness::new(8, 9, LONG).await;
        let told = harness.ask(3, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        frame(&mut stream).await;
        answer(&mut stream, "q1.1").await;
        harness.count("leaf_calls", "pass", 1).await;
        drop(stream);
        told.await.unwrap();
        harness.count("leaf_calls", "cut", 2).await;
    });
}

#[test]
fn connections_beyond_the_limit_are_not_opened() {
    play(async {
        let mut harness = Harness::new(1, 1, LONG).await;
        let first = harness.ask(1, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        frame(&mut stream).await;
        let told = harness.ask(1, "t".into());
        assert!(matches!(told.await.unwrap(), QueryResponse::Rejected { .. }));
        harness.count("leaf_connections", "no_socket", 1).await;
        answer(&mut stream, "q1.0").await;
        assert!(matches!(first.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
    });
}

#[test]
fn a_replica_that_refuses_connections_ran_nothing() {
    play(async {
        let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let (_, accepted) = unbounded_channel::<TcpStream>();
        let mut harness = Harness::facing(nobody, accepted, 8, 9, LONG, LONG);
        assert!(matches!(harness.ask(2, "t".into()).await.unwrap(), QueryResponse::Rejected { .. }));
        harness.count("leaf_calls", "no_route", 2).await;
    });
}

#[test]
fn a_removed_replica_has_its_connections_closed_even_while_a_probe_is_unanswered() {
    play(async {
        let mut harness = Harness::new(8, 9, LONG).await;
        let told = harness.ask(1, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        frame(&mut stream).await;
        answer(&mut stream, "q1.0").await;
        told.await.unwrap();
        harness.replicas.borrow_mut().send_load_probe(ReplicaId(0));
        assert_eq!(frame(&mut stream).await, "L");
        harness.event_loop.update(|e| e.update_endpoints(harness.event_loop.clock.now(), true, Vec::new()));
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
        harness.count("leaf_connections", "let_go", 1).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        harness.count("probes", "no_route", 0).await;
    });
}

#[test]
fn a_frame_that_does_not_end_ends_its_connection_and_swallows_no_later_answer() {
    play(async {
        let mut harness = Harness::with_connect_timeout(8, 9, LONG, SHORT).await;
        let told = harness.ask(1, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        frame(&mut stream).await;
        // A length that does not fit: the next answers would be its value.
        stream.write_all(b"\0\0\x40\0Aq1.0 ok 1 -\nvalue").await.unwrap();
        // Whether the next call finds the half frame or an ended connection, it opens one of its own.
        while !harness.replicas.borrow().has_partial_frame(ReplicaId(0))
            && harness.event_loop.counters.get("leaf_connections", "bad_bytes") == 0
        {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let next = harness.ask(1, "t".into());
        let mut second = harness.accepted.recv().await.unwrap();
        assert!(frame(&mut second).await.starts_with("Qq2.0 "), "no more is given to the first");
        answer(&mut second, "q2.0").await;
        assert!(matches!(next.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        harness.count("leaf_connections", "bad_bytes", 1).await;
        told.await.unwrap();
        harness.count("leaf_calls", "cut", 1).await;
    });
}

#[test]
fn late_and_second_answers_are_distinguished_from_ids_that_were_never_sent() {
    play(async {
        let mut harness = Harness::new(8, 9, LONG).await;
        let one = harness.ask(1, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        frame(&mut stream).await;
        let two = harness.ask(2, "t".into());
        frame(&mut stream).await;
        harness.event_loop.update(|e| e.client_disconnected(1));
        harness.count("leaf_calls", "undone", 1).await;
        answer(&mut stream, "q1.0").await;
        answer(&mut stream, "q2.0").await;
        answer(&mut stream, "q2.0").await;
        harness.count("frames", "late_answers", 2).await;
        assert!(one.await.is_err(), "nobody waits for it");
        answer(&mut stream, "q7.0").await;
        two.await.unwrap();
        harness.count("leaf_connections", "bad_bytes", 1).await;
        harness.count("leaf_calls", "pass", 1).await;
        harness.count("leaf_calls", "cut", 1).await;
    });
}

#[test]
fn a_silent_connection_is_pinged_gets_nothing_more_and_ends() {
    play(async {
        let mut harness = Harness::with_connect_timeout(8, 9, LONG, SHORT).await;
        let told = harness.ask(2, "t".into());
        let mut silent = harness.accepted.recv().await.unwrap();
        frame(&mut silent).await;
        assert_eq!(frame(&mut silent).await, "P", "a sign of life is asked for");
        let next = harness.ask(1, "t".into());
        let mut second = harness.accepted.recv().await.unwrap();
        assert!(frame(&mut second).await.starts_with("Qq2.0 "));
        answer(&mut second, "q2.0").await;
        assert!(matches!(next.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        assert_eq!(silent.read(&mut [0]).await.unwrap(), 0, "closed, with nothing sent on it since");
        told.await.unwrap();
        harness.count("leaf_connections", "silent", 1).await;
        harness.count("leaf_calls", "cut", 2).await;
    });
}

/// An own lack of sockets was held against the replica: it counted as out of reach, and its shards' other holders had all.
#[test]
fn a_connection_unused_at_one_replica_is_released_for_another() {
    play(async {
        let mut harness = Harness::new(1, 1, LONG).await;
        let told = harness.ask(1, "t".into());
        let mut first = harness.accepted.recv().await.unwrap();
        frame(&mut first).await;
        let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
        harness.replicas.borrow_mut().set_address(ReplicaId(9), other.local_addr().unwrap());
        harness.replicas.borrow_mut().send_load_probe(ReplicaId(9));
        harness.count("probes", "no_route", 1).await;
        answer(&mut first, "q1.0").await;
        assert!(matches!(told.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        harness.replicas.borrow_mut().send_load_probe(ReplicaId(9));
        let (mut stream, _) = other.accept().await.unwrap();
        assert_eq!(frame(&mut stream).await, "L");
        assert_eq!(first.read(&mut [0; 1]).await.unwrap(), 0, "the unused one was closed");
        harness.count("leaf_connections", "given_back", 1).await;
        assert_eq!(harness.event_loop.replica_connections.open(), 1);
    });
}

#[test]
fn an_unused_connection_is_released_to_clients_that_need_one() {
    play(async {
        let mut harness = Harness::new(1, 3, LONG).await;
        let mut asked = Vec::new();
        for _ in 0..2 {
            let told = harness.ask(1, "t".into());
            let mut stream = harness.accepted.recv().await.unwrap();
            frame(&mut stream).await;
            asked.push((told, stream));
        }
        for (n, (told, stream)) in asked.iter_mut().enumerate() {
            answer(stream, &format!("q{}.0", n + 1)).await;
            assert!(matches!(told.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        }
        let sockets = harness.event_loop.replica_connections.clone();
        let _client = sockets.try_acquire().unwrap();
        assert!(sockets.try_acquire().is_none(), "all are taken");
        sockets.request_release();
        drop(tokio::time::timeout(Duration::from_secs(9), sockets.acquire()).await.expect("one comes back"));
        harness.count("leaf_connections", "given_back", 1).await;
    });
}

/// Half of an answer is read, its rest comes, and the process stands still for longer than a frame may take: what lies there
/// is read before the limit counts. The limit was looked at first, and a sound answer was thrown away with all else out on
/// the connection.
#[test]
fn an_answer_whose_rest_came_during_a_stall_is_taken() {
    play(async {
        let way = Duration::from_millis(300);
        let mut harness = Harness::with_connect_timeout(8, 9, LONG, way).await;
        let told = harness.ask(1, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        frame(&mut stream).await;
        let rest = b"Aq1.0 ok 1 -\nvalue";
        stream.write_u32(rest.len() as u32).await.unwrap();
        stream.write_all(&rest[..7]).await.unwrap();
        while !harness.replicas.borrow().has_partial_frame(ReplicaId(0)) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        stream.write_all(&rest[7..]).await.unwrap();
        // Everything here runs on this thread.
        std::thread::sleep(way * 2);
        assert!(matches!(told.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        assert_eq!(harness.event_loop.counters.get("leaf_connections", "bad_bytes"), 0);
    });
}

//! Tests of the link server over TCP with a scripted peer, and of the retry budget with delegation to another site.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bytes::BytesMut;
use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::coordinator::RetryBudget;
use pipitcrank_core::ids::{AttemptOutcome, ReplicaId};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_gateway::frames::{
    Forward, ForwardOutcome, ForwardPart, LinkMessage, PROTOCOL_VERSION, encode, take_frame,
};
use pipitcrank_gateway::link_server::LinkServer;
use pipitcrank_server::exchange::{AttemptHandle, Endpoint, Exchange, PartIds, ReplicaTransport};
use pipitcrank_server::replicas::pool::ReplicaPool;
use pipitcrank_server::runtime::clock::Clock;
use pipitcrank_server::runtime::connection_limits::ConnectionLimiter;
use pipitcrank_server::runtime::counters::Counters;
use pipitcrank_server::runtime::event_loop::EventLoop;
use pipitcrank_server::serve::ServerContext;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const NODE_CONFIG: &str = r#"{"allowed":{"cancel":true,"probing":false,"may_duplicate":true,"retry_after":false,
  "try_limit":4},"classes":[{"aim_s":5.0,"hard_limit_s":6.0,"idempotency":"safe","name":"view"},
  {"aim_s":5.0,"hard_limit_s":6.0,"idempotency":"unsafe","name":"sale"}],
  "domain":{"call_cost_s":0.001,"complete_from":[1.0,1.0],"floor_by_class":[1.0,1.0],"follow_up":[0,0],"parts_a_call":4,
  "sets":1,"shards":4,"span":1},"rules":{"cold_from":0.3,"cold_s":9.0,"drain_grace_s":2.0,"fall_s":1.5,
  "overload_factor":4.0},"tick_s":0.001}"#;

/// Transport that records the attempts sent to replicas, and answers each at once if `answers` is set.
struct CountingReplicas {
    event_loop: Rc<EventLoop>,
    executed: Rc<RefCell<Vec<AttemptHandle>>>,
    answers: bool,
}

impl ReplicaTransport for CountingReplicas {
    fn set_address(&mut self, _: ReplicaId, _: SocketAddr) {}
    fn remove_replica(&mut self, _: ReplicaId) {}
    fn send_attempts(&mut self, _: ReplicaId, attempts: Vec<AttemptHandle>, _: &dyn PartIds) {
        self.executed.borrow_mut().extend(&attempts);
        let (event_loop, answers) = (self.event_loop.clone(), self.answers);
        tokio::task::spawn_local(async move {
            for attempt in attempts.into_iter().filter(|_| answers) {
                event_loop
                    .update(|e| e.attempt_ended(attempt, AttemptOutcome::Success, Some("v".into()), None));
            }
        });
    }
    fn cancel_attempt(&mut self, _: ReplicaId, _: AttemptHandle) {}
    fn send_load_probe(&mut self, _: ReplicaId) {}
}

struct Harness {
    address: SocketAddr,
    event_loop: Rc<EventLoop>,
    executed: Rc<RefCell<Vec<AttemptHandle>>>,
    draining: watch::Sender<bool>,
}

fn run_with_server(answers: bool, test: impl AsyncFnOnce(Harness)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let reserved = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = reserved.local_addr().unwrap();
        drop(reserved);
        let (clock, counters) = (Clock::start(), Counters::default());
        let coordinator =
            SettingsReader::new(&serde_json::from_str(NODE_CONFIG).unwrap()).coordinator(1).unwrap();
        let mut exchange = Exchange::new(coordinator, 1000, 4, counters.clone());
        let endpoint = Endpoint {
            uid: "l".into(),
            address: Some(address),
            cell: 0,
            zone: None,
            up: true,
            started: None,
        };
        exchange.update_endpoints(clock.now(), true, vec![endpoint]);
        let event_loop = Rc::new(EventLoop::new(clock, counters, ConnectionLimiter::new(9), exchange));
        let (second, executed) = (Duration::from_secs(1), Rc::default());
        let (draining, draining_receiver) = watch::channel(false);
        let context = ServerContext {
            event_loop: event_loop.clone(),
            replicas: ReplicaPool::new(event_loop.clone(), 8, second, second),
            classes: vec!["view".into(), "sale".into()],
            shards: 4,
            cells: 1,
            max_deadline: TimeSpan::from_millis(6000),
            tickets: Arc::new(AtomicU64::new(0)),
            draining: draining_receiver.clone(),
            shutdown_requested: watch::channel(None).1,
            zones: None,
            priority_weights: vec![1.0; 2],
            revision: Rc::default(),
        };
        let server = LinkServer::new(&context, "south", 77, vec!["north".into()]);
        tokio::task::spawn_local(server.listen(address));
        let replicas: Rc<RefCell<dyn ReplicaTransport>> = Rc::new(RefCell::new(CountingReplicas {
            event_loop: event_loop.clone(),
            executed: Rc::clone(&executed),
            answers,
        }));
        let loop_handle = event_loop.clone();
        tokio::task::spawn_local(async move { loop_handle.run(TimeSpan::from_millis(1), &*replicas).await });
        tokio::time::timeout(
            Duration::from_secs(30),
            test(Harness { address, event_loop, executed, draining }),
        )
        .await
        .unwrap();
    });
}

struct Peer {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Peer {
    async fn connect(harness: &Harness) -> Peer {
        for _ in 0..200 {
            if let Ok(stream) = TcpStream::connect(harness.address).await {
                return Peer { stream, buffer: BytesMut::new() };
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("could not connect to the link server within 2 s");
    }

    async fn connected(harness: &Harness, incarnation: u64) -> Peer {
        let mut peer = Peer::connect(harness).await;
        peer.send(&hello("north", PROTOCOL_VERSION, incarnation)).await;
        let Some(LinkMessage::Hello { site, incarnation: 77, .. }) = peer.receive().await else {
            panic!("expected the handshake of incarnation 77")
        };
        assert_eq!(site, "south");
        peer
    }

    async fn send(&mut self, message: &LinkMessage) {
        self.write(&encode(message)).await;
    }

    async fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// Receives the next message; `None` at the end of the connection.
    async fn receive(&mut self) -> Option<LinkMessage> {
        loop {
            if let Some((message, _)) = take_frame(&mut self.buffer).unwrap() {
                return Some(message);
            }
            if !matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..)) {
                return None;
            }
        }
    }

    /// Receives the answers to a forward up to its end; returns their shards and the outcome.
    async fn status(&mut self) -> (Vec<u32>, ForwardOutcome) {
        let mut shards = Vec::new();
        loop {
            match self.receive().await.expect("the connection closed before the end of the forward") {
                LinkMessage::PartAnswer { shard, .. } => shards.push(shard),
                LinkMessage::End { outcome, .. } => return (shards, outcome),
                _ => {}
            }
        }
    }
}

fn hello(site: &str, version: u16, incarnation: u64) -> LinkMessage {
    LinkMessage::Hello {
        version,
        site: site.into(),
        incarnation,
        stream: 0,
        credit: 1 << 20,
        capabilities: 0,
    }
}

fn part(shard: u32, weight: f64, estimated_work: Option<f64>) -> ForwardPart {
    ForwardPart { shard, weight, estimated_work }
}

fn forward(number: u64, class: &str) -> LinkMessage {
    LinkMessage::Forward(Forward {
        number,
        query_id: "q".into(),
        class: class.into(),
        time_left: TimeSpan::from_millis(4000),
        delegated_retries: 0,
        sites_crossed: vec!["north".into()],
        parts: vec![part(0, 0.5, None), part(2, 0.25, None)],
        text: "c41e".into(),
    })
}

#[test]
fn repeated_forward_is_answered_without_running_again() {
    run_with_server(true, async |harness| {
        let mut peer = Peer::connected(&harness, 1).await;
        peer.send(&forward(1, "sale")).await;
        let (mut shards, outcome) = peer.status().await;
        shards.sort_unstable();
        assert_eq!((shards, outcome), (vec![0, 2], ForwardOutcome::Complete));
        assert_eq!(harness.executed.borrow().len(), 2);
        // Repeats of the forward: on the same connection, on a new one, and as a status request.
        peer.send(&forward(1, "sale")).await;
        assert_eq!(peer.status().await.1, ForwardOutcome::Complete);
        drop(peer);
        let mut peer = Peer::connected(&harness, 1).await;
        peer.send(&forward(1, "sale")).await;
        assert_eq!(peer.status().await.0.len(), 2);
        peer.send(&LinkMessage::StatusRequest { numbers: vec![1] }).await;
        assert_eq!(peer.status().await.0.len(), 2);
        assert_eq!(harness.executed.borrow().len(), 2, "a repeat is not executed");
    });
}

#[test]
fn truncated_forward_never_runs_and_complete_one_is_recorded() {
    run_with_server(true, async |harness| {
        let whole = encode(&forward(1, "sale"));
        for cut in 0..whole.len() {
            let mut peer = Peer::connected(&harness, 100 + cut as u64).await;
            peer.write(&whole[..cut]).await;
            drop(peer);
            let mut peer = Peer::connected(&harness, 100 + cut as u64).await;
            peer.send(&LinkMessage::StatusRequest { numbers: vec![1] }).await;
            assert_eq!(peer.status().await, (vec![], ForwardOutcome::Unknown), "cut at {cut}");
            // The forward was reported as unknown, so it is not started when it arrives later.
            peer.write(&whole).await;
            assert_eq!(peer.status().await, (vec![], ForwardOutcome::Unknown));
        }
        assert!(harness.executed.borrow().is_empty(), "a truncated forward is not executed");
        let mut peer = Peer::connected(&harness, 5).await;
        peer.write(&whole).await;
        assert!(matches!(peer.receive().await, Some(LinkMessage::PartAnswer { .. })));
        drop(peer);
        let mut peer = Peer::connected(&harness, 5).await;
        peer.send(&LinkMessage::StatusRequest { numbers: vec![1] }).await;
        assert_eq!(peer.status().await.1, ForwardOutcome::Complete);
        assert_eq!(harness.executed.borrow().len(), 2, "each part is executed once");
    });
}

#[test]
fn truncated_answer_is_sent_again_on_the_next_link() {
    run_with_server(true, async |harness| {
        let mut answered_parts = 0;
        for n in 0..24 {
            let mut peer = Peer::connected(&harness, 7).await;
            peer.send(&forward(n + 1, "sale")).await;
            let mut partial = vec![0; n as usize];
            let _ = peer.stream.read_exact(&mut partial).await;
            drop(peer);
            let mut peer = Peer::connected(&harness, 7).await;
            peer.send(&LinkMessage::StatusRequest { numbers: vec![n + 1] }).await;
            // The forward was either received completely and executed once, or it did not run.
            let (shards, outcome) = peer.status().await;
            assert!(
                matches!(
                    (shards.len(), outcome),
                    (2, ForwardOutcome::Complete) | (0, ForwardOutcome::Unknown)
                ),
                "{shards:?} {outcome:?}"
            );
            answered_parts += shards.len();
        }
        assert!(answered_parts > 20, "most forwards were received completely");
        assert_eq!(
            harness.executed.borrow().len(),
            answered_parts,
            "each answered part was executed once, and no other part was executed"
        );
    });
}

#[test]
fn forwards_not_served_here_or_too_late_are_refused_at_once() {
    run_with_server(true, async |harness| {
        let mut peer = Peer::connected(&harness, 1).await;
        let mut n = 0;
        for (change, outcome) in [
            ((|f| f.time_left = TimeSpan::from_millis(1)) as fn(&mut Forward), ForwardOutcome::TooLate),
            (|f| f.time_left = TimeSpan::from_millis(-50), ForwardOutcome::TooLate),
            (|f| f.class = "nothing".into(), ForwardOutcome::NotServed),
            (|f| f.parts[0].shard = 99, ForwardOutcome::NotServed),
            (|f| f.sites_crossed = vec!["south".into()], ForwardOutcome::NotServed),
            (|f| f.sites_crossed.push("west".into()), ForwardOutcome::NotServed),
        ] {
            n += 1;
            let LinkMessage::Forward(mut f) = forward(n, "view") else { panic!() };
            change(&mut f);
            peer.send(&LinkMessage::Forward(f)).await;
            assert_eq!(peer.status().await, (vec![], outcome));
        }
        assert!(harness.executed.borrow().is_empty());
    });
}

#[test]
fn a_cancelled_forward_ends_its_query_and_reports_its_retries() {
    run_with_server(false, async |harness| {
        let mut peer = Peer::connected(&harness, 1).await;
        peer.send(&forward(1, "view")).await;
        while harness.executed.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        peer.send(&LinkMessage::Cancel { number: 1 }).await;
        assert_eq!(peer.status().await, (vec![], ForwardOutcome::Aborted));
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(
            harness.event_loop.read(Exchange::is_drained),
            "a cancelled forward leaves no state in the exchange"
        );
    });
}

#[test]
fn invalid_peers_end_only_their_own_link() {
    run_with_server(true, async |harness| {
        let mut other = Peer::connected(&harness, 1).await;
        let oversized = [&u32::MAX.to_be_bytes()[..], &[0; 50]].concat();
        let wrong_direction = encode(&LinkMessage::PartAnswer { number: 9, shard: 0, value: "x".into() });
        for (hello_bytes, next_bytes, counter) in [
            (encode(&hello("east", PROTOCOL_VERSION, 1)), vec![], "peers stranger"),
            (encode(&hello("north", PROTOCOL_VERSION + 1, 1)), vec![], "peers other_version"),
            (b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![], "peers bad_bytes"),
            (encode(&hello("north", PROTOCOL_VERSION, 2)), oversized, "peers bad_bytes"),
            (encode(&hello("north", PROTOCOL_VERSION, 3)), wrong_direction, "peers bad_bytes"),
            (encode(&hello("north", PROTOCOL_VERSION, 4)), vec![0, 0, 0, 2, 99, 99], "peers bad_bytes"),
        ] {
            let counter_value = || {
                let (group, name) = counter.split_once(' ').unwrap();
                harness
                    .event_loop
                    .counters
                    .all()
                    .iter()
                    .find(|c| c.group == group && c.name == name)
                    .map_or(0, |c| c.value)
            };
            let before = counter_value();
            let mut peer = Peer::connect(&harness).await;
            peer.write(&hello_bytes).await;
            peer.write(&next_bytes).await;
            while peer.receive().await.is_some() {}
            assert_eq!(counter_value(), before + 1, "{counter}");
        }
        other.send(&forward(1, "view")).await;
        assert_eq!(other.status().await.1, ForwardOutcome::Complete, "the links of other peers continue");
    });
}

#[test]
fn draining_site_refuses_new_forwards_and_releases_its_address() {
    run_with_server(true, async |harness| {
        let mut peer = Peer::connected(&harness, 1).await;
        peer.send(&forward(1, "sale")).await;
        assert_eq!(peer.status().await.1, ForwardOutcome::Complete);
        harness.draining.send_replace(true);
        peer.send(&forward(2, "sale")).await;
        peer.send(&forward(1, "sale")).await;
        assert_eq!(
            peer.status().await,
            (vec![], ForwardOutcome::TooLate),
            "a new forward is refused while draining"
        );
        assert_eq!(peer.status().await.1, ForwardOutcome::Complete, "a repeat is answered while draining");
        while peer.receive().await.is_some() {}
        assert_eq!(harness.executed.borrow().len(), 2);
        drop(std::net::TcpListener::bind(harness.address).expect("the address is released"));
        harness.draining.send_replace(false);
        let mut peer = Peer::connected(&harness, 2).await;
        peer.send(&forward(1, "view")).await;
        assert_eq!(
            peer.status().await.1,
            ForwardOutcome::Complete,
            "forwards are accepted again after draining is cancelled"
        );
    });
}

#[test]
fn an_older_link_of_the_same_stream_is_closed() {
    run_with_server(true, async |harness| {
        let mut old = Peer::connected(&harness, 1).await;
        let mut new = Peer::connected(&harness, 1).await;
        new.send(&LinkMessage::StatusRequest { numbers: vec![1] }).await;
        assert_eq!(new.status().await.1, ForwardOutcome::Unknown);
        old.send(&forward(1, "sale")).await;
        while old.receive().await.is_some() {}
        assert!(harness.executed.borrow().is_empty(), "a forward reported as unknown is not executed");
    });
}

#[derive(Clone, Debug)]
enum Step {
    Wait(i64),
    Accepted,
    LocalRetry,
    Delegate(u32, i64),
    RemoteRetry(usize),
    ReturnUnused(usize),
    LinkBreaks(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1i64..700).prop_map(Step::Wait),
        Just(Step::Accepted),
        Just(Step::Accepted),
        Just(Step::LocalRetry),
        (1u32..4, 100i64..6000).prop_map(|(n, ms)| Step::Delegate(n, ms)),
        (0usize..6).prop_map(Step::RemoteRetry),
        (0usize..6).prop_map(Step::RemoteRetry),
        (0usize..6).prop_map(Step::ReturnUnused),
        (0usize..6).prop_map(Step::LinkBreaks),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 1500, ..ProptestConfig::default() })]

    /// Retries are delegated from the local budget only. Other sites make delegated retries at any time up to the deadline of
    /// the delegation, even after the link broke and unused retries are not returned. The budget rule is checked at each
    /// local and each delegated retry.
    #[test]
    fn local_and_delegated_retries_together_keep_the_budget(
        steps in proptest::collection::vec(step(), 0..250), free in 0u32..6, fraction in 0.0f64..0.6, span_ms in 500i64..8000)
    {
        let (free, span) = (f64::from(free), TimeSpan::from_millis(span_ms));
        let mut budget = RetryBudget::new(fraction, free, Some(span));
        let (mut now, mut accepted, mut retries) = (Timestamp::default(), Vec::new(), Vec::new());
        let mut delegations: Vec<(u64, u32, u32, Timestamp, bool)> = Vec::new();
        let mut delegation = 0;
        let is_within_budget = |now: Timestamp, accepted: &[Timestamp], retries: &[Timestamp]| {
            let accepted = accepted.iter().filter(|&&t| now - t < span).count() as f64;
            let retries = retries.iter().filter(|&&t| now - t <= span).count() as f64;
            retries <= free + fraction * accepted + 1e-9
        };
        for step in steps {
            match step {
                Step::Wait(ms) => now = now + TimeSpan::from_millis(ms),
                Step::Accepted => { budget.record_admission(now); accepted.push(now); }
                Step::LocalRetry => if budget.remaining(now) >= 1.0 {
                    budget.spend(now);
                    retries.push(now);
                    prop_assert!(is_within_budget(now, &accepted, &retries), "budget exceeded by a local retry");
                }
                Step::Delegate(most, ms) => {
                    delegation += 1;
                    let until = now + TimeSpan::from_millis(ms);
                    let n = budget.delegate_up_to(now, delegation, most, until);
                    delegations.push((delegation, n, n, until, true));
                }
                Step::RemoteRetry(n) => if let Some((_, _, left, until, _)) = delegations.get_mut(n)
                    && *left > 0 && now < *until
                {
                    *left -= 1;
                    retries.push(now);
                    prop_assert!(is_within_budget(now, &accepted, &retries), "budget exceeded by a remote retry");
                }
                Step::ReturnUnused(n) => if n < delegations.len() {
                    let (delegation, delegated, left, _, linked) = delegations.remove(n);
                    if linked { budget.settle_delegation(now, delegation, delegated - left); } else { delegations.push((delegation, delegated, left, now, linked)); }
                }
                Step::LinkBreaks(n) => if let Some(o) = delegations.get_mut(n) { o.4 = false; },
            }
        }
    }
}

//! The link server on a real socket against a peer that may do anything, and the retry budget delegated to another site.

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
use pipitcrank_server::exchange::{AttemptId, Endpoint, Exchange, ReplicaTransport};
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

/// A replica side that answers each part at once, once for each run that it counts, or holds it.
struct CountingReplicas {
    event_loop: Rc<EventLoop>,
    ran: Rc<RefCell<Vec<AttemptId>>>,
    answers: bool,
}

impl ReplicaTransport for CountingReplicas {
    fn set_address(&mut self, _: ReplicaId, _: SocketAddr) {}
    fn remove_replica(&mut self, _: ReplicaId) {}
    fn send_attempts(&mut self, _: ReplicaId, parts: Vec<AttemptId>) {
        self.ran.borrow_mut().extend(&parts);
        let (event_loop, answers) = (self.event_loop.clone(), self.answers);
        tokio::task::spawn_local(async move {
            for call in parts.into_iter().filter(|_| answers) {
                event_loop.update(|e| e.attempt_ended(call, AttemptOutcome::Success, Some("v".into()), None));
            }
        });
    }
    fn cancel_attempt(&mut self, _: ReplicaId, _: AttemptId) {}
    fn send_load_probe(&mut self, _: ReplicaId) {}
}

struct Scene {
    address: SocketAddr,
    event_loop: Rc<EventLoop>,
    ran: Rc<RefCell<Vec<AttemptId>>>,
    leave: watch::Sender<bool>,
}

fn play(answers: bool, scene: impl AsyncFnOnce(Scene)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let (clock, counters) = (Clock::start(), Counters::default());
        let coordinator =
            SettingsReader::new(&serde_json::from_str(NODE_CONFIG).unwrap()).coordinator(1).unwrap();
        let mut exchange = Exchange::new(coordinator, 1000, 4, counters.clone());
        let row = Endpoint {
            uid: "l".into(),
            address: Some(address),
            cell: 0,
            zone: None,
            up: true,
            started: None,
        };
        exchange.update_endpoints(clock.now(), true, vec![row]);
        let event_loop = Rc::new(EventLoop::new(clock, counters, ConnectionLimiter::new(9), exchange));
        let (second, ran) = (Duration::from_secs(1), Rc::default());
        let (leave, left) = watch::channel(false);
        let context = ServerContext {
            event_loop: event_loop.clone(),
            replicas: ReplicaPool::new(event_loop.clone(), 8, second, second),
            classes: vec!["view".into(), "sale".into()],
            shards: 4,
            cells: 1,
            max_deadline: TimeSpan::from_millis(6000),
            tickets: Arc::new(AtomicU64::new(0)),
            draining: left.clone(),
            shutdown_requested: watch::channel(None).1,
            zones: None,
            priority_weights: vec![1.0; 2],
            revision: Rc::default(),
        };
        let server = LinkServer::new(&context, "south", 77, vec!["north".into()]);
        tokio::task::spawn_local(server.listen(address));
        let replicas: Rc<RefCell<dyn ReplicaTransport>> = Rc::new(RefCell::new(CountingReplicas {
            event_loop: event_loop.clone(),
            ran: Rc::clone(&ran),
            answers,
        }));
        let turns = event_loop.clone();
        tokio::task::spawn_local(async move { turns.run(TimeSpan::from_millis(1), &*replicas).await });
        tokio::time::timeout(Duration::from_secs(30), scene(Scene { address, event_loop, ran, leave }))
            .await
            .unwrap();
    });
}

struct Peer {
    stream: TcpStream,
    read: BytesMut,
}

impl Peer {
    async fn connect(scene: &Scene) -> Peer {
        for _ in 0..200 {
            if let Ok(stream) = TcpStream::connect(scene.address).await {
                return Peer { stream, read: BytesMut::new() };
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("nobody listens");
    }

    async fn connected(scene: &Scene, incarnation: u64) -> Peer {
        let mut peer = Peer::connect(scene).await;
        peer.send(&hello("north", PROTOCOL_VERSION, incarnation)).await;
        let Some(LinkMessage::Hello { site, incarnation: 77, .. }) = peer.receive().await else {
            panic!("no handshake")
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

    /// The next message, none at the end.
    async fn receive(&mut self) -> Option<LinkMessage> {
        loop {
            if let Some((message, _)) = take_frame(&mut self.read).unwrap() {
                return Some(message);
            }
            if !matches!(self.stream.read_buf(&mut self.read).await, Ok(1..)) {
                return None;
            }
        }
    }

    /// The answers to a forward, up to its end.
    async fn status(&mut self) -> (Vec<u32>, ForwardOutcome) {
        let mut shards = Vec::new();
        loop {
            match self.receive().await.expect("an end of it") {
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
fn parts_come_back_and_a_repeat_is_answered_without_running_again() {
    play(true, async |scene| {
        let mut peer = Peer::connected(&scene, 1).await;
        peer.send(&forward(1, "sale")).await;
        let (mut shards, outcome) = peer.status().await;
        shards.sort_unstable();
        assert_eq!((shards, outcome), (vec![0, 2], ForwardOutcome::Complete));
        assert_eq!(scene.ran.borrow().len(), 2);
        // The same over the same link, over a new one, and asked by number.
        peer.send(&forward(1, "sale")).await;
        assert_eq!(peer.status().await.1, ForwardOutcome::Complete);
        drop(peer);
        let mut peer = Peer::connected(&scene, 1).await;
        peer.send(&forward(1, "sale")).await;
        assert_eq!(peer.status().await.0.len(), 2);
        peer.send(&LinkMessage::StatusRequest { numbers: vec![1] }).await;
        assert_eq!(peer.status().await.0.len(), 2);
        assert_eq!(scene.ran.borrow().len(), 2, "nothing ran again");
    });
}

#[test]
fn a_forward_cut_at_any_byte_never_ran_and_one_that_came_whole_is_known_after_the_break() {
    play(true, async |scene| {
        let whole = encode(&forward(1, "sale"));
        for cut in 0..whole.len() {
            let mut peer = Peer::connected(&scene, 100 + cut as u64).await;
            peer.write(&whole[..cut]).await;
            drop(peer);
            let mut peer = Peer::connected(&scene, 100 + cut as u64).await;
            peer.send(&LinkMessage::StatusRequest { numbers: vec![1] }).await;
            assert_eq!(peer.status().await, (vec![], ForwardOutcome::Unknown), "cut at {cut}");
            // It arrives after all: it was reported unknown, so it is not begun.
            peer.write(&whole).await;
            assert_eq!(peer.status().await, (vec![], ForwardOutcome::Unknown));
        }
        assert!(scene.ran.borrow().is_empty(), "nothing of it ran");
        let mut peer = Peer::connected(&scene, 5).await;
        peer.write(&whole).await;
        assert!(matches!(peer.receive().await, Some(LinkMessage::PartAnswer { .. })));
        drop(peer);
        let mut peer = Peer::connected(&scene, 5).await;
        peer.send(&LinkMessage::StatusRequest { numbers: vec![1] }).await;
        assert_eq!(peer.status().await.1, ForwardOutcome::Complete);
        assert_eq!(scene.ran.borrow().len(), 2, "once");
    });
}

#[test]
fn an_answer_cut_at_any_byte_is_sent_again_over_the_next_link() {
    play(true, async |scene| {
        let mut done = 0;
        for n in 0..24 {
            let mut peer = Peer::connected(&scene, 7).await;
            peer.send(&forward(n + 1, "sale")).await;
            let mut some = vec![0; n as usize];
            let _ = peer.stream.read_exact(&mut some).await;
            drop(peer);
            let mut peer = Peer::connected(&scene, 7).await;
            peer.send(&LinkMessage::StatusRequest { numbers: vec![n + 1] }).await;
            // Either it had come whole, and is answered once, or it never ran.
            let (shards, outcome) = peer.status().await;
            assert!(
                matches!(
                    (shards.len(), outcome),
                    (2, ForwardOutcome::Complete) | (0, ForwardOutcome::Unknown)
                ),
                "{shards:?} {outcome:?}"
            );
            done += shards.len();
        }
        assert!(done > 20, "most had come whole");
        assert_eq!(scene.ran.borrow().len(), done, "each ran once, and those that did not come never");
    });
}

#[test]
fn forwards_not_served_here_or_too_late_are_refused_at_once() {
    play(true, async |scene| {
        let mut peer = Peer::connected(&scene, 1).await;
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
        assert!(scene.ran.borrow().is_empty());
    });
}

#[test]
fn a_cancelled_forward_ends_its_query_and_reports_its_retries() {
    play(false, async |scene| {
        let mut peer = Peer::connected(&scene, 1).await;
        peer.send(&forward(1, "view")).await;
        while scene.ran.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        peer.send(&LinkMessage::Cancel { number: 1 }).await;
        assert_eq!(peer.status().await, (vec![], ForwardOutcome::Aborted));
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(scene.event_loop.read(Exchange::is_drained), "nothing is held for it");
    });
}

#[test]
fn unknown_sites_other_versions_and_bad_frames_end_their_own_link_only() {
    play(true, async |scene| {
        let mut other = Peer::connected(&scene, 1).await;
        let endless = [&u32::MAX.to_be_bytes()[..], &[0; 50]].concat();
        let wrong_direction = encode(&LinkMessage::PartAnswer { number: 9, shard: 0, value: "x".into() });
        for (hello_bytes, then, why) in [
            (encode(&hello("east", PROTOCOL_VERSION, 1)), vec![], "peers stranger"),
            (encode(&hello("north", PROTOCOL_VERSION + 1, 1)), vec![], "peers other_version"),
            (b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![], "peers bad_bytes"),
            (encode(&hello("north", PROTOCOL_VERSION, 2)), endless, "peers bad_bytes"),
            (encode(&hello("north", PROTOCOL_VERSION, 3)), wrong_direction, "peers bad_bytes"),
            (encode(&hello("north", PROTOCOL_VERSION, 4)), vec![0, 0, 0, 2, 99, 99], "peers bad_bytes"),
        ] {
            let counted = || {
                let (what, which) = why.split_once(' ').unwrap();
                scene
                    .event_loop
                    .counters
                    .all()
                    .iter()
                    .find(|c| c.group == what && c.name == which)
                    .map_or(0, |c| c.value)
            };
            let before = counted();
            let mut peer = Peer::connect(&scene).await;
            peer.write(&hello_bytes).await;
            peer.write(&then).await;
            while peer.receive().await.is_some() {}
            assert_eq!(counted(), before + 1, "{why}");
        }
        other.send(&forward(1, "view")).await;
        assert_eq!(other.status().await.1, ForwardOutcome::Complete, "others go on");
    });
}

#[test]
fn a_draining_site_begins_nothing_new_answers_what_it_has_and_frees_its_address() {
    play(true, async |scene| {
        let mut peer = Peer::connected(&scene, 1).await;
        peer.send(&forward(1, "sale")).await;
        assert_eq!(peer.status().await.1, ForwardOutcome::Complete);
        scene.leave.send_replace(true);
        peer.send(&forward(2, "sale")).await;
        peer.send(&forward(1, "sale")).await;
        assert_eq!(peer.status().await, (vec![], ForwardOutcome::TooLate), "it may go elsewhere");
        assert_eq!(peer.status().await.1, ForwardOutcome::Complete, "a repeat is known");
        while peer.receive().await.is_some() {}
        assert_eq!(scene.ran.borrow().len(), 2);
        drop(std::net::TcpListener::bind(scene.address).expect("the address is free"));
        scene.leave.send_replace(false);
        let mut peer = Peer::connected(&scene, 2).await;
        peer.send(&forward(1, "view")).await;
        assert_eq!(peer.status().await.1, ForwardOutcome::Complete, "it stays after all");
    });
}

#[test]
fn an_older_link_of_the_same_stream_is_closed() {
    play(true, async |scene| {
        let mut old = Peer::connected(&scene, 1).await;
        let mut new = Peer::connected(&scene, 1).await;
        new.send(&LinkMessage::StatusRequest { numbers: vec![1] }).await;
        assert_eq!(new.status().await.1, ForwardOutcome::Unknown);
        old.send(&forward(1, "sale")).await;
        while old.receive().await.is_some() {}
        assert!(scene.ran.borrow().is_empty(), "what was reported unknown does not arrive after all");
    });
}

#[derive(Clone, Debug)]
enum Step {
    Wait(i64),
    Accepted,
    LocalRetry,
    Delegate(u32, i64),
    RemoteRetry(usize),
    Return(usize),
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
        (0usize..6).prop_map(Step::Return),
        (0usize..6).prop_map(Step::LinkBreaks),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 1500, ..ProptestConfig::default() })]

    /// The local budget alone decides what is delegated; other sites make retries at any time up to the deadline of the
    /// delegation, also after the link broke and nothing is returned. Checked against the rule as worded at each retry of
    /// either.
    #[test]
    fn local_and_delegated_retries_together_keep_the_budget(
        steps in proptest::collection::vec(step(), 0..250), free in 0u32..6, fraction in 0.0f64..0.6, span_ms in 500i64..8000)
    {
        let (free, span) = (f64::from(free), TimeSpan::from_millis(span_ms));
        let mut budget = RetryBudget::new(fraction, free, Some(span));
        let (mut now, mut accepted, mut retries) = (Timestamp::default(), Vec::new(), Vec::new());
        let mut out: Vec<(u64, u32, u32, Timestamp, bool)> = Vec::new();
        let mut delegation = 0;
        let kept = |now: Timestamp, accepted: &[Timestamp], retries: &[Timestamp]| {
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
                    prop_assert!(kept(now, &accepted, &retries), "a local retry");
                }
                Step::Delegate(most, ms) => {
                    delegation += 1;
                    let until = now + TimeSpan::from_millis(ms);
                    let n = budget.delegate_up_to(now, delegation, most, until);
                    out.push((delegation, n, n, until, true));
                }
                Step::RemoteRetry(n) => if let Some((_, _, left, until, _)) = out.get_mut(n)
                    && *left > 0 && now < *until
                {
                    *left -= 1;
                    retries.push(now);
                    prop_assert!(kept(now, &accepted, &retries), "a remote retry");
                }
                Step::Return(n) => if n < out.len() {
                    let (delegation, delegated, left, _, linked) = out.remove(n);
                    if linked { budget.settle_delegation(now, delegation, delegated - left); } else { out.push((delegation, delegated, left, now, linked)); }
                }
                Step::LinkBreaks(n) => if let Some(o) = out.get_mut(n) { o.4 = false; },
            }
        }
    }
}

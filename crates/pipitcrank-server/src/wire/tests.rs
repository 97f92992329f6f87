use std::cell::RefCell;

use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::ids::{PartId, ReplicaId, RequestClassId};
use pipitcrank_core::time::TimeSpan;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;

use super::*;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::exchange::{Asked, AskedPart, Exchange, LeafSide, Listed};
use crate::hall::Sockets;
use crate::leaves::Carried;

const TOLD: &str = r#"{"allowed":{"cancel":true,"probing":false,"may_duplicate":true,"retry_after":false,
  "try_limit":1},"classes":[{"aim_s":50.0,"hard_limit_s":60.0,"idempotency":"safe","name":"view"}],
  "domain":{"call_cost_s":0.01,"complete_from":[1.0],"floor_by_class":[1.0],"follow_up":[0],"parts_a_call":4,
  "sets":1,"shards":1,"span":1},"rules":{"cold_from":0.3,"cold_s":9.0,"fall_s":1.5,"overload_factor":4.0},
  "tick_s":0.001}"#;

struct Nobody;

impl LeafSide for Nobody {
    fn meet(&mut self, _: ReplicaId, _: SocketAddr) {}
    fn let_go(&mut self, _: ReplicaId) {}
    fn call(&mut self, _: ReplicaId, _: Vec<CallNo>) {}
    fn give_up(&mut self, _: ReplicaId, _: CallNo) {}
    fn probe(&mut self, _: ReplicaId) {}
}

fn exchange(counters: &Counters) -> Exchange {
    let coordinator = SettingsReader::new(&serde_json::from_str(TOLD).unwrap()).coordinator(1).unwrap();
    Exchange::new(coordinator, 9, 4, counters.clone())
}

#[test]
fn a_sign_of_life_is_good_once_for_each_ping() {
    let counters = Counters::default();
    let hall = Rc::new(Hall::new(Clock::start(), counters.clone(), Sockets::new(9), exchange(&counters)));
    let (jobs, _queue) = unbounded_channel();
    let wire = Wire::new(ReplicaId(0), jobs);
    wire.pings.set(1);
    let alive = || took(&hall, &wire, FromLeaf::Alive(AttemptOutcome::Fault));
    assert_eq!(alive(), Ok(()), "busy with probes, but alive");
    assert_eq!(alive(), Err(ConnectionEnd::BadBytes), "nobody asked");
}

/// One leaf at the end of a connection, and a query whose one call to it is out.
async fn one_call_out() -> (TcpStream, Stream, Rc<Hall>, CallNo) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let (leaf_end, _) = listener.accept().await.unwrap();
    let to = Stream::new(stream);
    to.writable().await.unwrap();
    let (hall, call) = one_query(address);
    (leaf_end, to, hall, call)
}

/// A hall that has one leaf there and one query, the first, with its one call out.
fn one_query(address: SocketAddr) -> (Rc<Hall>, CallNo) {
    let (clock, counters) = (Clock::start(), Counters::default());
    let mut exchange = exchange(&counters);
    let row =
        Listed { uid: "l".into(), address: Some(address), cell: 0, zone: None, up: true, started: None };
    exchange.list(clock.now(), true, vec![row]);
    let parts = vec![AskedPart { shard: 0, weight: 1.0, work: None }];
    let ends = clock.now() + TimeSpan::from_millis(50_000);
    let asked = Asked {
        id: "q".into(),
        vertical: RequestClassId(0),
        ends,
        parts,
        idempotency_key: None,
        text: "t".into(),
    };
    exchange.asked(1, asked, Box::new(|_| ()));
    exchange.turn(clock.now(), &mut Nobody);
    let call = (PartId(0), 0);
    assert!(exchange.is_out(call));
    (Rc::new(Hall::new(clock, counters, Sockets::new(9), exchange)), call)
}

/// The process stood still; on waking one asks whether all is told, and while it waits a call is ready on another connection.
/// The client's leaving lies in its socket, some turns of the runtime away.
#[tokio::test]
async fn a_call_ready_while_another_still_catches_up_waits_as_well() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (hall, call) = one_query(listener.local_addr().unwrap());
            let (jobs, mut queue) = unbounded_channel();
            let wire = Rc::new(Wire { carried: carries(call), ..Wire::new(ReplicaId(0), jobs.clone()) });
            let (ours, at) = (hall.clone(), listener.local_addr().unwrap());
            let running = wire.clone();
            let limit = Duration::from_secs(9);
            let stream = open(at, limit).await.unwrap();
            tokio::task::spawn_local(async move {
                serve(&ours, &running, &mut queue, stream, limit, limit).await;
            });
            let _leaf_end = listener.accept().await.unwrap();
            std::thread::sleep(Duration::from_millis(100));
            // Something is told, as late as that: all that follows waits.
            hall.tell(|e| e.probed(ReplicaId(0), AttemptOutcome::Success, None));
            let first = hall.clone();
            tokio::task::spawn_local(async move { first.catch_up().await });
            let gone = hall.clone();
            tokio::task::spawn_local(async move {
                tokio::task::yield_now().await;
                jobs.send(Job::Call(vec![call])).unwrap();
                tokio::task::yield_now().await;
                gone.tell(|e| e.client_gone(1));
            });
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert_eq!(hall.counters.get("frames", "calls_sent"), 0, "a call for a client that left");
            assert!(wire.carried.borrow().is_empty(), "it was looked at");
        })
        .await;
}

/// A call was queued on this connection and given up there; its number is that of a call queued on another one now.
#[tokio::test]
async fn a_call_that_another_connection_carries_does_not_go_out_here() {
    let (_leaf_end, to, hall, call) = one_call_out().await;
    let (jobs, _) = unbounded_channel();
    let here = Wire::new(ReplicaId(0), jobs.clone());
    let there = Wire { carried: carries(call), ..Wire::new(ReplicaId(0), jobs) };
    let queued = || Writing::Next(Job::Call(vec![call]));
    assert!(matches!(write(&hall, &here, &to, queued()).unwrap(), Writing::Nothing));
    assert_eq!(hall.counters.get("frames", "calls_sent"), 0, "not here");
    assert!(matches!(write(&hall, &there, &to, queued()).unwrap(), Writing::Nothing));
    assert_eq!(hall.counters.get("frames", "calls_sent"), 1, "but there");
    assert!(there.carried.borrow()[0].written);
}

fn carries(call: CallNo) -> RefCell<Vec<Carried>> {
    RefCell::new(vec![Carried { call, id: None, written: false }])
}

#[tokio::test]
async fn a_call_of_which_no_byte_has_gone_is_looked_at_again() {
    let (_unread, to, hall, call) = one_call_out().await;
    while to.try_write(&[0; 1 << 16]).is_ok() {}
    let (jobs, _) = unbounded_channel();
    let wire = Wire { carried: carries(call), ..Wire::new(ReplicaId(0), jobs) };

    let next = write(&hall, &wire, &to, Writing::Next(Job::Call(vec![call]))).unwrap();
    assert!(matches!(next, Writing::Next(Job::Call(_))), "nothing of it has gone");
    assert!(wire.carried.borrow()[0].id.is_none());
    hall.tell(|e| e.ended(call, AttemptOutcome::Cancelled, None, None));
    assert!(matches!(write(&hall, &wire, &to, next).unwrap(), Writing::Nothing), "dropped: it is over");
}

/// A probe waits at its connection while its leaf is told to drain: it does not go out, and counts as never sent.
#[tokio::test]
async fn a_probe_queued_for_a_leaf_that_drains_meanwhile_does_not_go_out() {
    for drains in [false, true] {
        let (leaf_end, to, hall, _call) = one_call_out().await;
        let (jobs, _queue) = unbounded_channel();
        let wire = Wire::new(ReplicaId(0), jobs);
        wire.probes.set(1);
        let row = Listed { uid: "l".into(), address: None, cell: 0, zone: None, up: !drains, started: None };
        hall.tell(|e| e.list(hall.clock.now(), false, vec![row]));
        let take_turn = async { hall.take_turns(TimeSpan::from_millis(1), &RefCell::new(Nobody)).await };
        assert!(tokio::time::timeout(Duration::from_millis(50), take_turn).await.is_err());
        assert!(matches!(write(&hall, &wire, &to, Writing::Next(Job::Probe)).unwrap(), Writing::Nothing));
        let mut came = [0; 9];
        let sent = leaf_end.try_read(&mut came).is_ok_and(|n| n > 0);
        assert_eq!((sent, wire.probes.get()), (!drains, u32::from(!drains)), "drains: {drains}");
    }
}

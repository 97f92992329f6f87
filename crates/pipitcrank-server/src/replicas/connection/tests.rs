use std::cell::RefCell;

use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::ids::{PartId, ReplicaId, RequestClassId};
use pipitcrank_core::time::TimeSpan;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;

use super::*;
use crate::exchange::{Endpoint, Exchange, QueryPart, QueryRequest, QueryResponse, ReplicaTransport};
use crate::replicas::connection_state::AssignedAttempt;
use crate::runtime::clock::Clock;
use crate::runtime::connection_limits::ConnectionLimiter;
use crate::runtime::counters::Counters;

const SETTINGS: &str = r#"{"allowed":{"cancel":true,"probing":false,"may_duplicate":true,"retry_after":false,
  "try_limit":1},"classes":[{"aim_s":50.0,"hard_limit_s":60.0,"idempotency":"safe","name":"view"}],
  "domain":{"call_cost_s":0.01,"complete_from":[1.0],"floor_by_class":[1.0],"follow_up":[0],"parts_a_call":4,
  "sets":1,"shards":1,"span":1},"rules":{"cold_from":0.3,"cold_s":9.0,"fall_s":1.5,"overload_factor":4.0},
  "tick_s":0.001}"#;

struct Nobody;

impl ReplicaTransport for Nobody {
    fn set_address(&mut self, _: ReplicaId, _: SocketAddr) {}
    fn remove_replica(&mut self, _: ReplicaId) {}
    fn send_attempts(&mut self, _: ReplicaId, _: Vec<AttemptId>) {}
    fn cancel_attempt(&mut self, _: ReplicaId, _: AttemptId) {}
    fn send_load_probe(&mut self, _: ReplicaId) {}
}

fn exchange(counters: &Counters) -> Exchange {
    let coordinator = SettingsReader::new(&serde_json::from_str(SETTINGS).unwrap()).coordinator(1).unwrap();
    Exchange::new(coordinator, 9, 4, counters.clone())
}

#[tokio::test]
async fn a_pong_is_good_once_for_each_ping() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = Stream::new(TcpStream::connect(listener.local_addr().unwrap()).await.unwrap());
    let counters = Counters::default();
    let event_loop = Rc::new(EventLoop::new(
        Clock::start(),
        counters.clone(),
        ConnectionLimiter::new(9),
        exchange(&counters),
    ));
    let (jobs, _queue) = unbounded_channel();
    let state = ConnectionState::new(ReplicaId(0), jobs);
    state.pings_pending.set(1);
    let alive = || task(&event_loop, &state, &stream).handle_frame(ReplicaFrame::Pong(AttemptOutcome::Fault));
    assert_eq!(alive(), Ok(()), "busy with probes, but alive");
    assert_eq!(alive(), Err(ConnectionEnd::ProtocolError), "nobody asked");
}

fn task<'a>(
    event_loop: &'a Rc<EventLoop>,
    state: &'a ConnectionState,
    stream: &'a Stream,
) -> ConnectionTask<'a> {
    let limit = Duration::from_secs(9);
    ConnectionTask::new(event_loop, state, stream, ConnectionTimeouts { connect: limit, idle: limit })
}

/// One replica at the end of a connection, and a query whose one call to it is out.
async fn one_call_in_flight() -> (TcpStream, Stream, Rc<EventLoop>, AttemptId) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let (replica_end, _) = listener.accept().await.unwrap();
    let to = Stream::new(stream);
    to.writable().await.unwrap();
    let (event_loop, call) = one_query(address);
    (replica_end, to, event_loop, call)
}

/// An event loop that has one replica there and one query, the first, with its one call out.
fn one_query(address: SocketAddr) -> (Rc<EventLoop>, AttemptId) {
    let (clock, counters) = (Clock::start(), Counters::default());
    let mut exchange = exchange(&counters);
    let row =
        Endpoint { uid: "l".into(), address: Some(address), cell: 0, zone: None, up: true, started: None };
    exchange.update_endpoints(clock.now(), true, vec![row]);
    let parts = vec![QueryPart { shard: 0, weight: 1.0, work: None }];
    let ends = clock.now() + TimeSpan::from_millis(50_000);
    let asked = QueryRequest {
        id: "q".into(),
        class: RequestClassId(0),
        deadline: ends,
        parts,
        idempotency_key: None,
        text: "t".into(),
    };
    exchange.submit(1, asked, Box::new(|_: QueryResponse| ()));
    exchange.run_batch(clock.now(), &mut Nobody);
    let call = AttemptId { part: PartId(0), number: 0 };
    assert!(exchange.is_in_flight(call));
    (Rc::new(EventLoop::new(clock, counters, ConnectionLimiter::new(9), exchange)), call)
}

/// The process stood still; on waking one asks whether all is told, and while it waits a call is ready on another connection.
/// The client's leaving lies in its socket, some turns of the runtime away.
#[tokio::test]
async fn a_call_ready_while_another_still_catches_up_waits_as_well() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (event_loop, call) = one_query(listener.local_addr().unwrap());
            let (jobs, mut queue) = unbounded_channel();
            let state = Rc::new(ConnectionState {
                assigned: assigned(call),
                ..ConnectionState::new(ReplicaId(0), jobs.clone())
            });
            let (ours, at) = (event_loop.clone(), listener.local_addr().unwrap());
            let running = state.clone();
            let limit = Duration::from_secs(9);
            let stream = open(at, limit).await.unwrap();
            tokio::task::spawn_local(async move {
                ConnectionTask::new(
                    &ours,
                    &running,
                    &stream,
                    ConnectionTimeouts { connect: limit, idle: limit },
                )
                .serve(&mut queue)
                .await;
            });
            let _replica_end = listener.accept().await.unwrap();
            std::thread::sleep(Duration::from_millis(100));
            // Something is told, as late as that: all that follows waits.
            event_loop.update(|e| e.load_probe_ended(ReplicaId(0), AttemptOutcome::Success, None));
            let first = event_loop.clone();
            tokio::task::spawn_local(async move { first.yield_after_stall().await });
            let gone = event_loop.clone();
            tokio::task::spawn_local(async move {
                tokio::task::yield_now().await;
                jobs.send(ConnectionCommand::SendCall(vec![call])).unwrap();
                tokio::task::yield_now().await;
                gone.update(|e| e.client_disconnected(1));
            });
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert_eq!(event_loop.counters.get("frames", "calls_sent"), 0, "a call for a client that left");
            assert!(state.assigned.borrow().is_empty(), "it was looked at");
        })
        .await;
}

/// A call was queued on this connection and given up there; its number is that of a call queued on another one now.
#[tokio::test]
async fn a_call_assigned_to_another_connection_is_not_sent_here() {
    let (_replica_end, to, event_loop, call) = one_call_in_flight().await;
    let (jobs, _) = unbounded_channel();
    let here = ConnectionState::new(ReplicaId(0), jobs.clone());
    let there = ConnectionState { assigned: assigned(call), ..ConnectionState::new(ReplicaId(0), jobs) };
    let queued = || Writing::Next(ConnectionCommand::SendCall(vec![call]));
    assert!(matches!(task(&event_loop, &here, &to).write(queued()).unwrap(), Writing::Nothing));
    assert_eq!(event_loop.counters.get("frames", "calls_sent"), 0, "not here");
    assert!(matches!(task(&event_loop, &there, &to).write(queued()).unwrap(), Writing::Nothing));
    assert_eq!(event_loop.counters.get("frames", "calls_sent"), 1, "but there");
    assert!(there.assigned.borrow()[0].written);
}

fn assigned(attempt: AttemptId) -> RefCell<Vec<AssignedAttempt>> {
    RefCell::new(vec![AssignedAttempt { attempt, part_id: None, written: false }])
}

#[tokio::test]
async fn a_call_of_which_no_byte_was_written_passes_the_send_guard_again() {
    let (_unread, to, event_loop, call) = one_call_in_flight().await;
    while to.try_write(&[0; 1 << 16]).is_ok() {}
    let (jobs, _) = unbounded_channel();
    let state = ConnectionState { assigned: assigned(call), ..ConnectionState::new(ReplicaId(0), jobs) };

    let next =
        task(&event_loop, &state, &to).write(Writing::Next(ConnectionCommand::SendCall(vec![call]))).unwrap();
    assert!(matches!(next, Writing::Next(ConnectionCommand::SendCall(_))), "nothing of it has gone");
    assert!(state.assigned.borrow()[0].part_id.is_none());
    event_loop.update(|e| e.attempt_ended(call, AttemptOutcome::Cancelled, None, None));
    assert!(
        matches!(task(&event_loop, &state, &to).write(next).unwrap(), Writing::Nothing),
        "dropped: it is over"
    );
}

/// A probe waits at its connection while its replica is told to drain: it does not go out, and counts as never sent.
#[tokio::test]
async fn a_probe_queued_for_a_replica_that_drains_meanwhile_is_not_sent() {
    for drains in [false, true] {
        let (replica_end, to, event_loop, _call) = one_call_in_flight().await;
        let (jobs, _queue) = unbounded_channel();
        let state = ConnectionState::new(ReplicaId(0), jobs);
        state.probes_pending.set(1);
        let row =
            Endpoint { uid: "l".into(), address: None, cell: 0, zone: None, up: !drains, started: None };
        event_loop.update(|e| e.update_endpoints(event_loop.clock.now(), false, vec![row]));
        let take_turn = async { event_loop.run(TimeSpan::from_millis(1), &RefCell::new(Nobody)).await };
        assert!(tokio::time::timeout(Duration::from_millis(50), take_turn).await.is_err());
        assert!(matches!(
            task(&event_loop, &state, &to).write(Writing::Next(ConnectionCommand::SendLoadProbe)).unwrap(),
            Writing::Nothing
        ));
        let mut came = [0; 9];
        let sent = replica_end.try_read(&mut came).is_ok_and(|n| n > 0);
        assert_eq!((sent, state.probes_pending.get()), (!drains, u32::from(!drains)), "drains: {drains}");
    }
}

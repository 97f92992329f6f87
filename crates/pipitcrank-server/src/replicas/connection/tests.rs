use std::cell::RefCell;

use pipitcrank_core::config::SettingsReader;
use pipitcrank_core::ids::{ReplicaId, RequestClassId};
use pipitcrank_core::time::TimeSpan;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;

use super::*;
use crate::exchange::{
    Endpoint, Exchange, PartIds, QueryPart, QueryRequest, QueryResponse, ReplicaTransport,
};
use crate::replicas::connection_state::AssignedAttempt;
use crate::runtime::clock::Clock;
use crate::runtime::connection_limits::ConnectionLimiter;
use crate::runtime::counters::Counters;

const SETTINGS: &str = r#"{"allowed":{"cancel":true,"probing":false,"may_duplicate":true,"retry_after":false,
  "try_limit":1},"classes":[{"aim_s":50.0,"hard_limit_s":60.0,"idempotency":"safe","name":"view"}],
  "domain":{"call_cost_s":0.01,"complete_from":[1.0],"floor_by_class":[1.0],"follow_up":[0],"parts_a_call":4,
  "sets":1,"shards":1,"span":1},"rules":{"cold_from":0.3,"cold_s":9.0,"fall_s":1.5,"overload_factor":4.0},
  "tick_s":0.001}"#;

/// Transport that records the attempts to be sent.
#[derive(Default)]
struct RecordingTransport(Vec<AttemptHandle>);

impl ReplicaTransport for RecordingTransport {
    fn set_address(&mut self, _: ReplicaId, _: SocketAddr) {}
    fn remove_replica(&mut self, _: ReplicaId) {}
    fn send_attempts(&mut self, _: ReplicaId, attempts: Vec<AttemptHandle>, _: &dyn PartIds) {
        self.0.extend(attempts);
    }
    fn cancel_attempt(&mut self, _: ReplicaId, _: AttemptHandle) {}
    fn send_load_probe(&mut self, _: ReplicaId) {}
}

fn exchange(counters: &Counters) -> Exchange {
    let coordinator = SettingsReader::new(&serde_json::from_str(SETTINGS).unwrap()).coordinator(1).unwrap();
    Exchange::new(coordinator, 9, 4, counters.clone())
}

#[tokio::test]
async fn each_ping_accepts_one_pong() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = Stream::new(TcpStream::connect(listener.local_addr().unwrap()).await.unwrap());
    let counters = Counters::default();
    let event_loop = Rc::new(EventLoop::new(
        Clock::start(),
        counters.clone(),
        ConnectionLimiter::new(9),
        exchange(&counters),
    ));
    let (commands, _queue) = unbounded_channel();
    let state = ConnectionState::new(1, ReplicaId(0), commands);
    state.pings_pending.set(1);
    let receive_pong =
        || task(&event_loop, &state, &stream).handle_frame(ReplicaFrame::Pong(AttemptOutcome::Fault));
    assert_eq!(receive_pong(), Ok(()), "a pong with status err still answers the ping");
    assert_eq!(receive_pong(), Err(ConnectionEnd::ProtocolError), "no ping is pending");
}

fn task<'a>(
    event_loop: &'a Rc<EventLoop>,
    state: &'a ConnectionState,
    stream: &'a Stream,
) -> ConnectionTask<'a> {
    let timeout = Duration::from_secs(9);
    ConnectionTask::new(event_loop, state, stream, ConnectionTimeouts { connect: timeout, idle: timeout })
}

/// A connection to one replica, and a query whose only attempt is outstanding.
async fn one_outstanding_attempt() -> (TcpStream, Stream, Rc<EventLoop>, AttemptHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let (replica_end, _) = listener.accept().await.unwrap();
    let connection = Stream::new(stream);
    connection.writable().await.unwrap();
    let (event_loop, attempt) = one_query(address);
    (replica_end, connection, event_loop, attempt)
}

/// An event loop with one replica at `address` and one query, whose only attempt is outstanding.
fn one_query(address: SocketAddr) -> (Rc<EventLoop>, AttemptHandle) {
    let (clock, counters) = (Clock::start(), Counters::default());
    let mut exchange = exchange(&counters);
    let endpoint =
        Endpoint { uid: "l".into(), address: Some(address), cell: 0, zone: None, up: true, started: None };
    exchange.update_endpoints(clock.now(), true, vec![endpoint]);
    let parts = vec![QueryPart { shard: 0, weight: 1.0, work: None }];
    let query_deadline = clock.now() + TimeSpan::from_millis(50_000);
    let request = QueryRequest {
        id: "q".into(),
        class: RequestClassId(0),
        deadline: query_deadline,
        parts,
        idempotency_key: None,
        text: "t".into(),
    };
    exchange.submit(1, request, Box::new(|_: QueryResponse| ()));
    let mut transport = RecordingTransport::default();
    exchange.run_batch(clock.now(), &mut transport);
    let [attempt] = transport.0[..] else { panic!("expected one attempt, got {:?}", transport.0) };
    assert!(exchange.is_outstanding(attempt));
    (Rc::new(EventLoop::new(clock, counters, ConnectionLimiter::new(9), exchange)), attempt)
}

/// Guards against a call being sent for a client that disconnected during a stall of the process. After the stall one
/// task yields so that unread sockets are read, and meanwhile a call becomes ready on another connection. The client's
/// disconnect is processed only a few scheduler passes later, so that call must wait as well.
#[tokio::test]
async fn a_call_waits_while_another_task_yields_after_a_stall() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (event_loop, attempt) = one_query(listener.local_addr().unwrap());
            let (commands, mut queue) = unbounded_channel();
            let state = Rc::new(ConnectionState {
                assigned: assigned(attempt),
                ..ConnectionState::new(1, ReplicaId(0), commands.clone())
            });
            let (task_loop, address) = (event_loop.clone(), listener.local_addr().unwrap());
            let task_state = state.clone();
            let timeout = Duration::from_secs(9);
            let stream = open(address, timeout).await.unwrap();
            tokio::task::spawn_local(async move {
                ConnectionTask::new(
                    &task_loop,
                    &task_state,
                    &stream,
                    ConnectionTimeouts { connect: timeout, idle: timeout },
                )
                .serve(&mut queue)
                .await;
            });
            let _replica_end = listener.accept().await.unwrap();
            std::thread::sleep(Duration::from_millis(100));
            // This is the first input after the stall. From here on calls wait until a task has yielded.
            event_loop.update(|e| e.load_probe_ended(ReplicaId(0), AttemptOutcome::Success, None));
            let other_task = event_loop.clone();
            tokio::task::spawn_local(async move { other_task.yield_after_stall().await });
            let client_side = event_loop.clone();
            tokio::task::spawn_local(async move {
                tokio::task::yield_now().await;
                commands.send(ConnectionCommand::SendCall(vec![attempt])).unwrap();
                tokio::task::yield_now().await;
                client_side.update(|e| e.client_disconnected(1));
            });
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert_eq!(
                event_loop.counters.get("frames", "calls_sent"),
                0,
                "a call for a disconnected client"
            );
            assert!(state.assigned.borrow().is_empty(), "the attempt was checked and dropped");
        })
        .await;
}

/// Guards against a duplicate send: an attempt was queued on one connection and cancelled, and its id now belongs to an
/// attempt that is queued on another connection.
#[tokio::test]
async fn a_call_assigned_to_another_connection_is_not_sent_here() {
    let (_replica_end, stream, event_loop, attempt) = one_outstanding_attempt().await;
    let (commands, _) = unbounded_channel();
    let unassigned = ConnectionState::new(1, ReplicaId(0), commands.clone());
    let owner =
        ConnectionState { assigned: assigned(attempt), ..ConnectionState::new(1, ReplicaId(0), commands) };
    let queued = || WriteState::Queued(ConnectionCommand::SendCall(vec![attempt]));
    assert!(matches!(task(&event_loop, &unassigned, &stream).write(queued()).unwrap(), WriteState::Idle));
    assert_eq!(event_loop.counters.get("frames", "calls_sent"), 0, "sent on the wrong connection");
    assert!(matches!(task(&event_loop, &owner, &stream).write(queued()).unwrap(), WriteState::Idle));
    assert_eq!(event_loop.counters.get("frames", "calls_sent"), 1, "sent on its own connection");
    assert_eq!(owner.assigned.borrow()[0].progress, SendProgress::Written);
}

fn assigned(attempt: AttemptHandle) -> RefCell<Vec<AssignedAttempt>> {
    RefCell::new(vec![AssignedAttempt::queued(attempt, "q.0".into())])
}

#[tokio::test]
async fn an_unwritten_call_passes_the_send_guard_again() {
    let (_unread, stream, event_loop, attempt) = one_outstanding_attempt().await;
    while stream.try_write(&[0; 1 << 16]).is_ok() {}
    let (commands, _) = unbounded_channel();
    let state =
        ConnectionState { assigned: assigned(attempt), ..ConnectionState::new(1, ReplicaId(0), commands) };

    let next = task(&event_loop, &state, &stream)
        .write(WriteState::Queued(ConnectionCommand::SendCall(vec![attempt])))
        .unwrap();
    assert!(matches!(next, WriteState::Queued(ConnectionCommand::SendCall(_))), "no byte was written");
    assert_eq!(state.assigned.borrow()[0].progress, SendProgress::Queued);
    event_loop.update(|e| e.attempt_ended(attempt, AttemptOutcome::Cancelled, None, None));
    assert!(
        matches!(task(&event_loop, &state, &stream).write(next).unwrap(), WriteState::Idle),
        "a cancelled attempt is dropped"
    );
}

/// Guards against load probes to draining replicas: a probe that is queued on a connection while its replica starts to
/// drain must not be sent, and counts as never sent.
#[tokio::test]
async fn a_queued_probe_of_a_draining_replica_is_not_sent() {
    for drains in [false, true] {
        let (replica_end, stream, event_loop, _attempt) = one_outstanding_attempt().await;
        let (commands, _queue) = unbounded_channel();
        let state = ConnectionState::new(1, ReplicaId(0), commands);
        state.probes_pending.set(1);
        let endpoint =
            Endpoint { uid: "l".into(), address: None, cell: 0, zone: None, up: !drains, started: None };
        event_loop.update(|e| e.update_endpoints(event_loop.clock.now(), false, vec![endpoint]));
        let run_batches = async {
            event_loop.run(TimeSpan::from_millis(1), &RefCell::new(RecordingTransport::default())).await
        };
        assert!(tokio::time::timeout(Duration::from_millis(50), run_batches).await.is_err());
        assert!(matches!(
            task(&event_loop, &state, &stream)
                .write(WriteState::Queued(ConnectionCommand::SendLoadProbe))
                .unwrap(),
            WriteState::Idle
        ));
        let mut received = [0; 9];
        let sent = replica_end.try_read(&mut received).is_ok_and(|n| n > 0);
        assert_eq!((sent, state.probes_pending.get()), (!drains, u32::from(!drains)), "drains: {drains}");
    }
}

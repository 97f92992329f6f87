//! Answers and ends of connections that come late: each concerns the attempt that was sent, and no other.

use std::net::SocketAddr;
use std::time::Duration;

use pipitcrank_server::exchange::QueryResponse;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;

use crate::harness::{Harness, LONG, read_frame, run_scenario, write_value};

/// Time within which a wrong effect of a late answer would show: many batches.
const SETTLING_TIME: Duration = Duration::from_millis(50);

fn answered(value: &str) -> QueryResponse {
    QueryResponse::Answered { complete: true, hits: vec![(0, value.to_string())] }
}

/// A listener whose accept queue is full, so that connections to it neither open nor fail.
struct FullListener {
    address: SocketAddr,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl FullListener {
    async fn start() -> FullListener {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        while let Ok(stream) = tokio::time::timeout(SETTLING_TIME, TcpStream::connect(address)).await {
            queued.push(stream.unwrap());
        }
        FullListener { address, _listener: listener, _queued: queued }
    }
}

/// Queries before and after the replica moved to another address.
struct MovedReplica {
    harness: Harness,
    /// Connection to the earlier address, with the attempt of the first query, whose client has disconnected.
    earlier: TcpStream,
    /// Connection to the present address, with the attempt of the last query.
    present: TcpStream,
    /// Response to the last query.
    response: oneshot::Receiver<QueryResponse>,
    /// Responses to the queries whose attempts are outstanding at the earlier address.
    _outstanding: Vec<oneshot::Receiver<QueryResponse>>,
}

/// `outstanding`: number of queries whose attempts keep the connection to the earlier address open.
async fn moved_replica(outstanding: u32) -> MovedReplica {
    let mut harness = Harness::new(8, 9, LONG).await;
    let _first = harness.submit_query(1, "first".into());
    let mut earlier = harness.accepted.recv().await.unwrap();
    assert!(read_frame(&mut earlier).await.starts_with("Qq1.0 "));
    let mut responses = Vec::new();
    for _ in 0..outstanding {
        responses.push(harness.submit_query(1, "outstanding".into()));
        read_frame(&mut earlier).await;
    }
    let listener = harness.move_replica().await;
    harness.disconnect_client(1).await;
    let response = harness.submit_with_id("last", 1, "last".into());
    let (mut present, _) = listener.accept().await.unwrap();
    assert!(read_frame(&mut present).await.starts_with("Qlast.0 "));
    MovedReplica { harness, earlier, present, response, _outstanding: responses }
}

/// Guards against a client being served the value of another query (review case 6): the answer to a cancelled attempt came
/// late, on a connection to the replica's earlier address, after the index of its part had been reused.
#[test]
fn a_late_answer_from_an_earlier_address_reaches_no_other_query() {
    run_scenario(async {
        let MovedReplica { harness, mut earlier, mut present, response, .. } = moved_replica(1).await;
        write_value(&mut earlier, "q1.0", "value of the first").await;
        tokio::time::sleep(SETTLING_TIME).await;
        assert_eq!(harness.event_loop.counters.get("leaf_calls", "pass"), 0, "the late answer was used");
        write_value(&mut present, "last.0", "value of the last").await;
        assert_eq!(response.await.unwrap(), answered("value of the last"));
    });
}

/// Guards against a query losing its attempt to the end of a connection that never carried it: the connection to the
/// replica's earlier address broke after the index of its cancelled part had been reused.
#[test]
fn the_end_of_a_connection_to_an_earlier_address_ends_no_other_attempt() {
    run_scenario(async {
        let MovedReplica { harness, earlier, mut present, response, _outstanding } = moved_replica(1).await;
        drop(earlier);
        harness.wait_for_counter("leaf_calls", "cut", 1).await;
        tokio::time::sleep(SETTLING_TIME).await;
        assert_eq!(harness.event_loop.counters.get("leaf_calls", "cut"), 1, "only one was outstanding there");
        write_value(&mut present, "last.0", "value of the last").await;
        assert_eq!(response.await.unwrap(), answered("value of the last"));
    });
}

/// Guards against wasted work: a replica that moved to another address was not told of cancelled attempts on its earlier
/// connections, which then stayed open until the replica answered.
#[test]
fn an_attempt_at_an_earlier_address_is_cancelled_there() {
    run_scenario(async {
        let MovedReplica { harness, mut earlier, .. } = moved_replica(0).await;
        assert_eq!(read_frame(&mut earlier).await, "Xq1.0");
        assert_eq!(earlier.read(&mut [0]).await.unwrap(), 0, "nothing is pending on the connection");
        harness.wait_for_counter("leaf_connections", "let_go", 1).await;
    });
}

/// Guards against a call being sent to whoever listens at a replica's earlier address: the call waited for a connection to
/// that address when the replica moved. It goes to the present address, without waiting for the connection's time limit.
#[test]
fn a_call_that_waits_for_an_earlier_address_goes_to_the_present_one() {
    run_scenario(async {
        let full = FullListener::start().await;
        let (_, accepted) = unbounded_channel();
        let mut harness = Harness::with_replica(full.address, accepted, 8, 9, LONG, LONG);
        let response = harness.submit_query(1, "t".into());
        tokio::time::sleep(SETTLING_TIME).await;
        let listener = harness.move_replica().await;
        let (mut present, _) = listener.accept().await.unwrap();
        assert!(read_frame(&mut present).await.starts_with("Qq1.0 "));
        write_value(&mut present, "q1.0", "value").await;
        assert_eq!(response.await.unwrap(), answered("value"));
        harness.wait_for_counter("leaf_connections", "let_go", 1).await;
    });
}

/// Guards against a client being served the value of another query that had the same id: an answer names its part by the
/// query's id, so the connection on which an answer may still come carries no other part of that name.
#[test]
fn a_late_answer_reaches_no_query_that_reuses_its_id() {
    run_scenario(async {
        let mut harness = Harness::new(8, 9, LONG).await;
        let _first = harness.submit_with_id("same", 1, "first".into());
        let mut earlier = harness.accepted.recv().await.unwrap();
        assert!(read_frame(&mut earlier).await.starts_with("Qsame.0 "));
        harness.disconnect_client(1).await;
        assert_eq!(read_frame(&mut earlier).await, "Xsame.0");
        let response = harness.submit_with_id("same", 1, "second".into());
        harness.wait_for_counter("frames", "calls_sent", 2).await;
        write_value(&mut earlier, "same.0", "value of the first").await;
        harness.wait_for_counter("frames", "late_answers", 1).await;
        let mut present = harness.accepted.recv().await.unwrap();
        assert!(read_frame(&mut present).await.starts_with("Qsame.0 "));
        write_value(&mut present, "same.0", "value of the second").await;
        assert_eq!(response.await.unwrap(), answered("value of the second"));
    });
}

/// Guards against the same with an answer that came twice: the second copy concerns the first query as well.
#[test]
fn a_second_answer_reaches_no_query_that_reuses_its_id() {
    run_scenario(async {
        let mut harness = Harness::new(8, 9, LONG).await;
        let first = harness.submit_with_id("same", 1, "first".into());
        let mut earlier = harness.accepted.recv().await.unwrap();
        read_frame(&mut earlier).await;
        write_value(&mut earlier, "same.0", "value of the first").await;
        assert_eq!(first.await.unwrap(), answered("value of the first"));
        let response = harness.submit_with_id("same", 1, "second".into());
        harness.wait_for_counter("frames", "calls_sent", 2).await;
        write_value(&mut earlier, "same.0", "value of the first").await;
        harness.wait_for_counter("frames", "late_answers", 1).await;
        let mut present = harness.accepted.recv().await.unwrap();
        read_frame(&mut present).await;
        write_value(&mut present, "same.0", "value of the second").await;
        assert_eq!(response.await.unwrap(), answered("value of the second"));
    });
}

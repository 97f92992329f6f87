//! Answers and ends of connections that come late: each concerns the attempt that was sent, and no other.

use std::time::Duration;

use pipitcrank_server::exchange::QueryResponse;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::harness::{Harness, LONG, read_frame, run_scenario, write_value};

/// Time within which a wrong effect of a late answer would show: many batches.
const SETTLING_TIME: Duration = Duration::from_millis(50);

fn answered(value: &str) -> QueryResponse {
    QueryResponse::Answered { complete: true, hits: vec![(0, value.to_string())] }
}

/// Two queries, one after the other, between which the replica moved to another address.
struct MovedReplica {
    harness: Harness,
    /// Connection to the earlier address, with the attempt of the first query, whose client has disconnected.
    earlier: TcpStream,
    /// Connection to the present address, with the attempt of the second query.
    present: TcpStream,
    response: oneshot::Receiver<QueryResponse>,
}

async fn moved_replica() -> MovedReplica {
    let mut harness = Harness::new(8, 9, LONG).await;
    let _first = harness.submit_query(1, "first".into());
    let mut earlier = harness.accepted.recv().await.unwrap();
    assert!(read_frame(&mut earlier).await.starts_with("Qq1.0 "));
    let listener = harness.move_replica().await;
    harness.disconnect_client(1).await;
    let response = harness.submit_query(1, "second".into());
    let (mut present, _) = listener.accept().await.unwrap();
    assert!(read_frame(&mut present).await.starts_with("Qq2.0 "));
    MovedReplica { harness, earlier, present, response }
}

/// Guards against a client being served the value of another query (review case 6): the answer to a cancelled attempt came
/// late, on a connection to the replica's earlier address, after the index of its part had been reused.
#[test]
fn a_late_answer_from_an_earlier_address_reaches_no_other_query() {
    run_scenario(async {
        let MovedReplica { harness, mut earlier, mut present, response } = moved_replica().await;
        write_value(&mut earlier, "q1.0", "value of the first").await;
        tokio::time::sleep(SETTLING_TIME).await;
        assert_eq!(harness.event_loop.counters.get("leaf_calls", "pass"), 0, "the late answer was used");
        write_value(&mut present, "q2.0", "value of the second").await;
        assert_eq!(response.await.unwrap(), answered("value of the second"));
    });
}

/// Guards against a query losing its attempt to the end of a connection that never carried it: the connection to the
/// replica's earlier address broke after the index of its cancelled part had been reused.
#[test]
fn the_end_of_a_connection_to_an_earlier_address_ends_no_other_attempt() {
    run_scenario(async {
        let MovedReplica { harness, earlier, mut present, response } = moved_replica().await;
        drop(earlier);
        tokio::time::sleep(SETTLING_TIME).await;
        assert_eq!(harness.event_loop.counters.get("leaf_calls", "cut"), 0, "the second attempt was ended");
        write_value(&mut present, "q2.0", "value of the second").await;
        assert_eq!(response.await.unwrap(), answered("value of the second"));
    });
}

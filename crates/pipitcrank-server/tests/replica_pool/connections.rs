//! Opening, reuse and closing of connections.

use std::sync::Arc;
use std::time::Duration;

use pipitcrank_core::ids::ReplicaId;
use pipitcrank_server::exchange::{QueryResponse, ReplicaTransport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;

use crate::harness::{Harness, LONG, SHORT, read_frame, run_scenario, write_answer};

#[test]
fn connections_are_reused_and_carry_no_more_than_their_streams() {
    run_scenario(async {
        let mut harness = Harness::new(2, 9, LONG).await;
        let mut responses = Vec::new();
        for n in 0..3 {
            responses.push(harness.submit_query(1, "t".into()));
            harness.wait_for_counter("frames", "calls_sent", n + 1).await;
        }
        let mut connections =
            [harness.accepted.recv().await.unwrap(), harness.accepted.recv().await.unwrap()];
        for (index, id) in [(0, "q1.0"), (0, "q2.0"), (1, "q3.0")] {
            assert!(read_frame(&mut connections[index]).await.starts_with(&format!("Q{id} 0 d=")));
            write_answer(&mut connections[index], id).await;
        }
        for response in responses {
            assert!(matches!(response.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        }
        let fourth = harness.submit_query(1, "t".into());
        assert!(
            read_frame(&mut connections[0]).await.starts_with("Qq4.0 "),
            "the first connection is reused"
        );
        write_answer(&mut connections[0], "q4.0").await;
        fourth.await.unwrap();
        assert_eq!(harness.event_loop.counters.get("leaf_connections", "opened"), 2);
    });
}

#[test]
fn an_idle_connection_is_closed_and_the_next_call_opens_another() {
    run_scenario(async {
        let mut harness = Harness::new(8, 9, Duration::from_millis(30)).await;
        for n in 1..4 {
            let response = harness.submit_query(1, "t".into());
            let mut stream = harness.accepted.recv().await.unwrap();
            read_frame(&mut stream).await;
            // A connection with an outstanding call is not idle, so it stays open beyond the idle timeout.
            tokio::time::sleep(Duration::from_millis(60)).await;
            write_answer(&mut stream, &format!("q{n}.0")).await;
            assert!(matches!(response.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
            assert_eq!(stream.read(&mut [0]).await.unwrap(), 0, "the connection is closed without a reset");
            harness.wait_for_counter("leaf_connections", "idle", n).await;
        }
        assert_eq!(harness.event_loop.counters.get("leaf_calls", "cut"), 0);
    });
}

#[test]
fn a_stalled_write_delays_no_other_call_and_its_own_never_runs() {
    run_scenario(async {
        let mut harness = Harness::new(64, 9, LONG).await;
        // The text exceeds the socket buffers, so the frame cannot be written completely.
        let huge: Arc<str> = "x".repeat(16 << 20).into();
        let stalled = harness.submit_query(1, huge);
        let first = harness.accepted.recv().await.unwrap();
        // Received bytes show that the writing of the frame has started.
        first.readable().await.unwrap();
        let response = harness.submit_query(1, "t".into());
        let mut second = harness.accepted.recv().await.unwrap();
        assert!(read_frame(&mut second).await.starts_with("Qq2.0 "));
        write_answer(&mut second, "q2.0").await;
        assert!(matches!(response.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        drop(first);
        assert!(matches!(stalled.await.unwrap(), QueryResponse::Rejected { .. }), "its only call never ran");
        harness.wait_for_counter("leaf_calls", "no_route", 1).await;
    });
}

#[test]
fn a_connection_lost_after_a_complete_write_may_have_run_its_parts() {
    run_scenario(async {
        let mut harness = Harness::new(8, 9, LONG).await;
        let response = harness.submit_query(3, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        read_frame(&mut stream).await;
        write_answer(&mut stream, "q1.1").await;
        harness.wait_for_counter("leaf_calls", "pass", 1).await;
        drop(stream);
        response.await.unwrap();
        harness.wait_for_counter("leaf_calls", "cut", 2).await;
    });
}

#[test]
fn connections_beyond_the_limit_are_not_opened() {
    run_scenario(async {
        let mut harness = Harness::new(1, 1, LONG).await;
        let first = harness.submit_query(1, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        read_frame(&mut stream).await;
        let response = harness.submit_query(1, "t".into());
        assert!(matches!(response.await.unwrap(), QueryResponse::Rejected { .. }));
        harness.wait_for_counter("leaf_connections", "no_socket", 1).await;
        write_answer(&mut stream, "q1.0").await;
        assert!(matches!(first.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
    });
}

#[test]
fn a_replica_that_refuses_connections_ran_nothing() {
    run_scenario(async {
        let unused_address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let (_, accepted) = unbounded_channel::<TcpStream>();
        let mut harness = Harness::with_replica(unused_address, accepted, 8, 9, LONG, LONG);
        assert!(matches!(harness.submit_query(2, "t".into()).await.unwrap(), QueryResponse::Rejected { .. }));
        harness.wait_for_counter("leaf_calls", "no_route", 2).await;
    });
}

#[test]
fn connections_to_a_removed_replica_are_closed_despite_a_pending_probe() {
    run_scenario(async {
        let mut harness = Harness::new(8, 9, LONG).await;
        let response = harness.submit_query(1, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        read_frame(&mut stream).await;
        write_answer(&mut stream, "q1.0").await;
        response.await.unwrap();
        harness.replicas.borrow_mut().send_load_probe(ReplicaId(0));
        assert_eq!(read_frame(&mut stream).await, "L");
        harness.event_loop.update(|e| e.update_endpoints(harness.event_loop.clock.now(), true, Vec::new()));
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
        harness.wait_for_counter("leaf_connections", "let_go", 1).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        harness.wait_for_counter("probes", "no_route", 0).await;
    });
}

#[test]
fn an_incomplete_frame_ends_its_connection_and_absorbs_no_later_answer() {
    run_scenario(async {
        let mut harness = Harness::with_connect_timeout(8, 9, LONG, SHORT).await;
        let response = harness.submit_query(1, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        read_frame(&mut stream).await;
        // The length is too large, so that later answers would be read as part of the value.
        stream.write_all(b"\0\0\x40\0Aq1.0 ok 1 -\nvalue").await.unwrap();
        // Whether the next call meets the partial frame or the end of the connection, it opens another connection.
        while !harness.replicas.borrow().has_partial_frame(ReplicaId(0))
            && harness.event_loop.counters.get("leaf_connections", "bad_bytes") == 0
        {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let next = harness.submit_query(1, "t".into());
        let mut second = harness.accepted.recv().await.unwrap();
        assert!(
            read_frame(&mut second).await.starts_with("Qq2.0 "),
            "the first connection must get no more calls"
        );
        write_answer(&mut second, "q2.0").await;
        assert!(matches!(next.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        harness.wait_for_counter("leaf_connections", "bad_bytes", 1).await;
        response.await.unwrap();
        harness.wait_for_counter("leaf_calls", "cut", 1).await;
    });
}

#[test]
fn late_and_duplicate_answers_differ_from_answers_to_unknown_ids() {
    run_scenario(async {
        let mut harness = Harness::new(8, 9, LONG).await;
        let first = harness.submit_query(1, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        read_frame(&mut stream).await;
        let second = harness.submit_query(2, "t".into());
        read_frame(&mut stream).await;
        harness.event_loop.update(|e| e.client_disconnected(1));
        harness.wait_for_counter("leaf_calls", "undone", 1).await;
        write_answer(&mut stream, "q1.0").await;
        write_answer(&mut stream, "q2.0").await;
        write_answer(&mut stream, "q2.0").await;
        harness.wait_for_counter("frames", "late_answers", 2).await;
        assert!(first.await.is_err(), "a disconnected client must get no response");
        write_answer(&mut stream, "q7.0").await;
        second.await.unwrap();
        harness.wait_for_counter("leaf_connections", "bad_bytes", 1).await;
        harness.wait_for_counter("leaf_calls", "pass", 1).await;
        harness.wait_for_counter("leaf_calls", "cut", 1).await;
    });
}

#[test]
fn a_silent_connection_is_pinged_gets_no_more_calls_and_ends() {
    run_scenario(async {
        let mut harness = Harness::with_connect_timeout(8, 9, LONG, SHORT).await;
        let response = harness.submit_query(2, "t".into());
        let mut silent = harness.accepted.recv().await.unwrap();
        read_frame(&mut silent).await;
        assert_eq!(read_frame(&mut silent).await, "P", "a ping must be sent");
        let next = harness.submit_query(1, "t".into());
        let mut second = harness.accepted.recv().await.unwrap();
        assert!(read_frame(&mut second).await.starts_with("Qq2.0 "));
        write_answer(&mut second, "q2.0").await;
        assert!(matches!(next.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        assert_eq!(
            silent.read(&mut [0]).await.unwrap(),
            0,
            "the connection is closed and nothing else was sent on it"
        );
        response.await.unwrap();
        harness.wait_for_counter("leaf_connections", "silent", 1).await;
        harness.wait_for_counter("leaf_calls", "cut", 2).await;
    });
}

/// Guards against a replica counting as unreachable because this process had no free socket. The other replicas of its
/// shards then got all calls.
#[test]
fn a_connection_unused_at_one_replica_is_released_for_another() {
    run_scenario(async {
        let mut harness = Harness::new(1, 1, LONG).await;
        let response = harness.submit_query(1, "t".into());
        let mut first = harness.accepted.recv().await.unwrap();
        read_frame(&mut first).await;
        let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
        harness.replicas.borrow_mut().set_address(ReplicaId(9), other.local_addr().unwrap());
        harness.replicas.borrow_mut().send_load_probe(ReplicaId(9));
        harness.wait_for_counter("probes", "no_route", 1).await;
        write_answer(&mut first, "q1.0").await;
        assert!(matches!(response.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        harness.replicas.borrow_mut().send_load_probe(ReplicaId(9));
        let (mut stream, _) = other.accept().await.unwrap();
        assert_eq!(read_frame(&mut stream).await, "L");
        assert_eq!(first.read(&mut [0; 1]).await.unwrap(), 0, "the unused connection is closed");
        harness.wait_for_counter("leaf_connections", "given_back", 1).await;
        assert_eq!(harness.event_loop.replica_connections.open(), 1);
    });
}

#[test]
fn an_unused_connection_is_released_to_clients_that_need_one() {
    run_scenario(async {
        let mut harness = Harness::new(1, 3, LONG).await;
        let mut pending = Vec::new();
        for _ in 0..2 {
            let response = harness.submit_query(1, "t".into());
            let mut stream = harness.accepted.recv().await.unwrap();
            read_frame(&mut stream).await;
            pending.push((response, stream));
        }
        for (n, (response, stream)) in pending.iter_mut().enumerate() {
            write_answer(stream, &format!("q{}.0", n + 1)).await;
            assert!(matches!(response.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        }
        let limiter = harness.event_loop.replica_connections.clone();
        let _client = limiter.try_acquire().unwrap();
        assert!(limiter.try_acquire().is_none(), "all connections are in use");
        limiter.request_release();
        drop(
            tokio::time::timeout(Duration::from_secs(9), limiter.acquire())
                .await
                .expect("a connection must be released"),
        );
        harness.wait_for_counter("leaf_connections", "given_back", 1).await;
    });
}

/// Guards against the loss of a valid answer after a stall. Part of the answer is read, the rest arrives, and the process
/// stalls for longer than the time limit of a frame. The time limit was once checked before the socket was read, which
/// ended the connection together with all other calls on it.
#[test]
fn an_answer_completed_during_a_stall_is_accepted() {
    run_scenario(async {
        let connect_timeout = Duration::from_millis(300);
        let mut harness = Harness::with_connect_timeout(8, 9, LONG, connect_timeout).await;
        let response = harness.submit_query(1, "t".into());
        let mut stream = harness.accepted.recv().await.unwrap();
        read_frame(&mut stream).await;
        let body = b"Aq1.0 ok 1 -\nvalue";
        stream.write_u32(body.len() as u32).await.unwrap();
        stream.write_all(&body[..7]).await.unwrap();
        while !harness.replicas.borrow().has_partial_frame(ReplicaId(0)) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        stream.write_all(&body[7..]).await.unwrap();
        // The pool runs on this thread too, so the sleep stalls it.
        std::thread::sleep(connect_timeout * 2);
        assert!(matches!(response.await.unwrap(), QueryResponse::Answered { complete: true, .. }));
        assert_eq!(harness.event_loop.counters.get("leaf_connections", "bad_bytes"), 0);
    });
}

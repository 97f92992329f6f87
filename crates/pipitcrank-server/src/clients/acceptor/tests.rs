use std::cell::Cell;
use std::os::fd::AsFd;

use axum::routing::get;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;

use super::*;
use crate::clients::connection_server::MAX_REJECTING;

/// More than the sockets of both sides hold.
const LONG_ANSWER: usize = 32 << 20;

async fn asked(stream: &mut TcpStream) -> String {
    stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"served") {
        assert!(stream.read_buf(&mut answer).await.unwrap() > 0, "a whole answer");
    }
    String::from_utf8(answer).unwrap()
}

fn play(
    admit_until: TimeSpan,
    scene: impl AsyncFnOnce(TcpStream, watch::Sender<Option<Timestamp>>, &Cell<bool>),
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let router = Router::new()
            .route("/", get(async || "served"))
            .route("/long", get(async || "x".repeat(LONG_ANSWER)));
        let (call, called) = watch::channel(None);
        let ended = Rc::new(Cell::new(false));
        let (order, ordered) = unbounded_channel();
        assert!(order.send(AcceptorCommand::Accept(listener)).is_ok());
        let (gate_ended, counters) = (ended.clone(), Counters::default());
        let idle = TimeSpan::from_millis(250);
        let schedule = ShutdownSchedule {
            admit_until,
            idle,
            last_answer: admit_until + idle,
            accept_queue_until: admit_until + idle,
        };
        tokio::task::spawn_local(async move {
            run(ordered, router, ConnectionLimiter::new(9), counters, schedule, called, || true).await;
            gate_ended.set(true);
        });
        assert!(!asked(&mut stream).await.contains("connection: close"));
        scene(stream, call, &ended).await;
    });
}

#[test]
fn for_a_while_after_shutdown_is_requested_clients_keep_their_connections() {
    play(TimeSpan::from_secs_f64(3600.0), async |mut stream, call, ended| {
        call.send_replace(Some(Timestamp::default()));
        for _ in 0..3 {
            assert!(!asked(&mut stream).await.contains("connection: close"), "nobody else may be there");
            tokio::time::sleep(2 * CHECK_INTERVAL).await;
        }
        assert!(!ended.get());
    });
}

#[test]
fn an_answer_half_written_at_the_last_moment_is_not_cut_while_its_client_reads() {
    play(TimeSpan::ZERO, async |mut stream, call, ended| {
        stream.write_all(b"GET /long HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        tokio::time::sleep(2 * CHECK_INTERVAL).await;
        call.send_replace(Some(Timestamp::default()));
        // Well past the last answer.
        tokio::time::sleep(10 * CHECK_INTERVAL).await;
        assert!(!ended.get());
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        assert!(answer.len() > LONG_ANSWER, "{} bytes came", answer.len());
    });
}

#[test]
fn then_connections_end_and_so_does_the_acceptor() {
    play(TimeSpan::ZERO, async |mut stream, call, ended| {
        call.send_replace(Some(Timestamp::default()));
        assert_eq!(stream.read(&mut [0; 9]).await.unwrap(), 0, "closed in order");
        drop(stream);
        while !ended.get() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    });
}

/// As long as a query takes.
const A_QUERY: Duration = Duration::from_millis(20);

/// Waits, and the runtime with it, until there is something to read.
fn there_is_something(on: &std::net::TcpStream) {
    while on.peek(&mut [0; 1]).is_err() {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A resting connection is called to leave in the very pass in which a request lies on it, or the first bytes of one: in one
/// look at the sockets the runtime finds both, and who calls comes first. What comes of it once all of it was written.
fn called_to_leave_beside(bytes: &[u8], rest: &[u8]) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut stream = TcpStream::connect(address).await.unwrap();
        let (accepted, _) = listener.accept().await.unwrap();
        let bell = TcpStream::connect(address).await.unwrap();
        let (heard, _) = listener.accept().await.unwrap();
        let beside = |of: &TcpStream| std::net::TcpStream::from(of.as_fd().try_clone_to_owned().unwrap());
        let (beside_accepted, beside_heard) = (beside(&accepted), beside(&heard));
        let connections = Rc::new(ClientConnections::default());
        let served = async || {
            tokio::time::sleep(A_QUERY).await;
            "served"
        };
        let server = ConnectionServer {
            router: Router::new().route("/", get(served)),
            counters: Counters::default(),
            connections: connections.clone(),
            mode: watch::channel(ConnectionMode::Serve).1,
            idle: Duration::from_secs(9),
        };
        server.serve_accepted(None, Accepted { stream: accepted, wait: Duration::ZERO });
        asked(&mut stream).await;
        // It rests by now.
        tokio::time::sleep(CHECK_INTERVAL).await;
        assert!(heard.try_read(&mut [0; 1]).is_err(), "so that it waits for the bell");
        // The runtime looks at neither before both are there.
        bell.try_write(b"!").unwrap();
        there_is_something(&beside_heard);
        stream.try_write(bytes).unwrap();
        there_is_something(&beside_accepted);
        drop(beside_accepted);
        heard.readable().await.unwrap();
        connections.close_inactive();
        tokio::time::sleep(CHECK_INTERVAL).await;
        let _ = stream.write_all(rest).await;
        let mut answer = Vec::new();
        while !answer.ends_with(b"served") && stream.read_buf(&mut answer).await.is_ok_and(|n| n > 0) {}
        String::from_utf8(answer).unwrap()
    })
}

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";

#[test]
fn a_request_read_as_its_idle_connection_is_asked_to_close_is_answered() {
    let answer = called_to_leave_beside(REQUEST, b"");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("served"), "{answer:?}");
}

#[test]
fn a_request_begun_as_its_idle_connection_is_asked_to_close_is_left_time() {
    let (begun, rest) = REQUEST.split_at(8);
    let answer = called_to_leave_beside(begun, rest);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("served"), "{answer:?}");
}

/// All places hold an open request as the listening ends, and more wait in the accept queue than there are places.
#[test]
fn whoever_waits_in_the_accept_queue_as_the_listening_ends_is_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (answer, answers) = watch::channel(false);
        let slow = async move || {
            let _ = answers.clone().wait_for(|go| *go).await;
            "served"
        };
        let (call, called) = watch::channel(None);
        let (order, ordered) = unbounded_channel();
        assert!(order.send(AcceptorCommand::Accept(listener)).is_ok());
        let end = TimeSpan::from_secs_f64(9.0);
        let schedule = ShutdownSchedule {
            admit_until: TimeSpan::ZERO,
            idle: end,
            last_answer: end,
            accept_queue_until: end,
        };
        let (router, sockets) = (Router::new().route("/", get(slow)), ConnectionLimiter::new(2));
        let serving = run(ordered, router, sockets.clone(), Counters::default(), schedule, called, || true);
        let serving = tokio::task::spawn_local(serving);
        let ask = async || {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
            stream
        };
        let mut placed = [ask().await, ask().await];
        while sockets.available() > 0 {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        let mut waiting = Vec::new();
        for _ in 0..3 * MAX_REJECTING {
            waiting.push(ask().await);
        }
        call.send_replace(Some(Timestamp::default()));
        for (n, stream) in waiting.iter_mut().enumerate() {
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap_or_else(|e| panic!("{n}: {e}"));
            assert!(answer.starts_with("HTTP/1.1 503"), "{n}: {answer:?}");
        }
        answer.send_replace(true);
        for stream in &mut placed {
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            assert!(answer.ends_with("served"), "{answer:?}");
        }
        drop(waiting);
        serving.await.unwrap();
    });
}

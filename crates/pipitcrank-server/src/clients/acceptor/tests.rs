use std::cell::Cell;
use std::os::fd::AsFd;

use axum::routing::get;
use pipitcrank_core::time::{TimeSpan, Timestamp};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;

use super::*;
use crate::clients::connection_server::MAX_REJECTING;

/// Resources with these permits and unlimited memory.
fn resources(permits: ConnectionLimiter) -> ClientResources {
    ClientResources { permits, memory: MemoryBudget::unlimited(), shed_retry_after: None }
}

/// Larger than the socket buffers of both sides.
const LONG_ANSWER_BYTES: usize = 32 << 20;

async fn request(stream: &mut TcpStream) -> String {
    stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"served") {
        assert!(stream.read_buf(&mut answer).await.unwrap() > 0, "the connection ended inside the response");
    }
    String::from_utf8(answer).unwrap()
}

fn with_acceptor(
    admit_until: TimeSpan,
    test: impl AsyncFnOnce(TcpStream, watch::Sender<Option<Timestamp>>, &Cell<bool>),
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let router = Router::new()
            .route("/", get(async || "served"))
            .route("/long", get(async || "x".repeat(LONG_ANSWER_BYTES)));
        let (shutdown, shutdown_requested) = watch::channel(None);
        let ended = Rc::new(Cell::new(false));
        let (commands, receiver) = unbounded_channel();
        assert!(commands.send(AcceptorCommand::Accept(listener)).is_ok());
        let (acceptor_ended, counters) = (ended.clone(), Counters::default());
        let idle = TimeSpan::from_millis(250);
        let schedule = ShutdownSchedule {
            admit_until,
            idle,
            last_answer: admit_until + idle,
            accept_queue_until: admit_until + idle,
        };
        tokio::task::spawn_local(async move {
            run(
                receiver,
                router,
                resources(ConnectionLimiter::new(9)),
                counters,
                schedule,
                shutdown_requested,
                || true,
            )
            .await;
            acceptor_ended.set(true);
        });
        assert!(!request(&mut stream).await.contains("connection: close"));
        test(stream, shutdown, &ended).await;
    });
}

#[test]
fn connections_stay_open_until_the_end_of_admission() {
    with_acceptor(TimeSpan::from_secs_f64(3600.0), async |mut stream, shutdown, ended| {
        shutdown.send_replace(Some(Timestamp::default()));
        for _ in 0..3 {
            assert!(
                !request(&mut stream).await.contains("connection: close"),
                "no other co-ordinator may be available yet"
            );
            tokio::time::sleep(2 * CHECK_INTERVAL).await;
        }
        assert!(!ended.get());
    });
}

#[test]
fn a_response_being_written_at_the_last_answer_is_not_truncated() {
    with_acceptor(TimeSpan::ZERO, async |mut stream, shutdown, ended| {
        stream.write_all(b"GET /long HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        tokio::time::sleep(2 * CHECK_INTERVAL).await;
        shutdown.send_replace(Some(Timestamp::default()));
        // Well after the schedule's last answer.
        tokio::time::sleep(10 * CHECK_INTERVAL).await;
        assert!(!ended.get());
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        assert!(answer.len() > LONG_ANSWER_BYTES, "received {} bytes", answer.len());
    });
}

#[test]
fn idle_connections_and_the_acceptor_end_after_admission() {
    with_acceptor(TimeSpan::ZERO, async |mut stream, shutdown, ended| {
        shutdown.send_replace(Some(Timestamp::default()));
        assert_eq!(stream.read(&mut [0; 9]).await.unwrap(), 0, "the connection is closed without a reset");
        drop(stream);
        while !ended.get() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    });
}

/// Time that the handler takes for a request.
const HANDLER_TIME: Duration = Duration::from_millis(20);

/// Blocks the runtime's thread until the socket is readable.
fn block_until_readable(on: &std::net::TcpStream) {
    while on.peek(&mut [0; 1]).is_err() {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Requests the close of an idle connection in the same runtime pass in which `bytes` of a request become readable on it:
/// one poll of the sockets reports both, and the close is requested before the read. Returns the response once `rest` was
/// written too.
fn response_if_close_races_with_request(bytes: &[u8], rest: &[u8]) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut stream = TcpStream::connect(address).await.unwrap();
        let (accepted, _) = listener.accept().await.unwrap();
        let trigger = TcpStream::connect(address).await.unwrap();
        let (triggered, _) = listener.accept().await.unwrap();
        let duplicate = |of: &TcpStream| std::net::TcpStream::from(of.as_fd().try_clone_to_owned().unwrap());
        let (accepted_duplicate, triggered_duplicate) = (duplicate(&accepted), duplicate(&triggered));
        let connections = Rc::new(ClientConnections::default());
        let served = async || {
            tokio::time::sleep(HANDLER_TIME).await;
            "served"
        };
        let server = ConnectionServer {
            router: Router::new().route("/", get(served)),
            counters: Counters::default(),
            connections: connections.clone(),
            mode: watch::channel(ConnectionMode::Serve).1,
            limits: ConnectionLimits {
                idle: Duration::from_secs(9),
                memory: MemoryBudget::unlimited(),
                shed_retry_after: None,
            },
        };
        server.serve_accepted(None, Accepted { stream: accepted, wait: Duration::ZERO });
        request(&mut stream).await;
        // The connection is idle after this.
        tokio::time::sleep(CHECK_INTERVAL).await;
        assert!(triggered.try_read(&mut [0; 1]).is_err(), "the trigger has not been written yet");
        // The thread is blocked until both sockets are readable, so the runtime polls them together.
        trigger.try_write(b"!").unwrap();
        block_until_readable(&triggered_duplicate);
        stream.try_write(bytes).unwrap();
        block_until_readable(&accepted_duplicate);
        drop(accepted_duplicate);
        triggered.readable().await.unwrap();
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
fn a_request_read_while_a_close_is_requested_is_answered() {
    let answer = response_if_close_races_with_request(REQUEST, b"");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("served"), "{answer:?}");
}

#[test]
fn a_request_begun_while_a_close_is_requested_may_complete() {
    let (begun, rest) = REQUEST.split_at(8);
    let answer = response_if_close_races_with_request(begun, rest);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("served"), "{answer:?}");
}

/// At the close of the listener each permit is held by an open request, and more clients wait in the accept queue than
/// there are permits.
#[test]
fn clients_in_the_accept_queue_of_a_closing_listener_are_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (answer, answers) = watch::channel(false);
        let slow = async move || {
            let _ = answers.clone().wait_for(|go| *go).await;
            "served"
        };
        let (shutdown, requested) = watch::channel(None);
        let (commands, receiver) = unbounded_channel();
        assert!(commands.send(AcceptorCommand::Accept(listener)).is_ok());
        let end = TimeSpan::from_secs_f64(9.0);
        let schedule = ShutdownSchedule {
            admit_until: TimeSpan::ZERO,
            idle: end,
            last_answer: end,
            accept_queue_until: end,
        };
        let (router, permits) = (Router::new().route("/", get(slow)), ConnectionLimiter::new(2));
        let serving = run(
            receiver,
            router,
            resources(permits.clone()),
            Counters::default(),
            schedule,
            requested,
            || true,
        );
        let serving = tokio::task::spawn_local(serving);
        let connect = async || {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
            stream
        };
        let mut admitted = [connect().await, connect().await];
        while permits.available() > 0 {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        let mut waiting = Vec::new();
        for _ in 0..3 * MAX_REJECTING {
            waiting.push(connect().await);
        }
        shutdown.send_replace(Some(Timestamp::default()));
        for (n, stream) in waiting.iter_mut().enumerate() {
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap_or_else(|e| panic!("{n}: {e}"));
            assert!(answer.starts_with("HTTP/1.1 503"), "{n}: {answer:?}");
        }
        answer.send_replace(true);
        for stream in &mut admitted {
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            assert!(answer.ends_with("served"), "{answer:?}");
        }
        drop(waiting);
        serving.await.unwrap();
    });
}

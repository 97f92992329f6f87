use std::cell::Cell;

use axum::routing::get;
use pipitcrank::time::{At, Span};
use tokio::sync::mpsc::unbounded_channel;

use super::*;

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

fn play(stay: Span, scene: impl AsyncFnOnce(TcpStream, watch::Sender<Option<At>>, &Cell<bool>)) {
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
        assert!(order.send(Order::Accept(listener)).is_ok());
        let (gate_ended, counters) = (ended.clone(), Counters::default());
        let idle = Span::from_ms(250);
        let schedule = ShutdownSchedule { stay, idle, last_answer: stay + idle };
        tokio::task::spawn_local(async move {
            keep(ordered, router, Sockets::new(9), counters, schedule, called, || true).await;
            gate_ended.set(true);
        });
        assert!(!asked(&mut stream).await.contains("connection: close"));
        scene(stream, call, &ended).await;
    });
}

#[test]
fn for_a_while_after_the_end_is_called_clients_keep_their_connections() {
    play(Span::from_s(3600.0), async |mut stream, call, ended| {
        call.send_replace(Some(At::default()));
        for _ in 0..3 {
            assert!(!asked(&mut stream).await.contains("connection: close"), "nobody else may be there");
            tokio::time::sleep(2 * LOOK).await;
        }
        assert!(!ended.get());
    });
}

#[test]
fn an_answer_half_written_at_the_last_moment_is_not_cut_while_its_client_reads() {
    play(Span::ZERO, async |mut stream, call, ended| {
        stream.write_all(b"GET /long HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        tokio::time::sleep(2 * LOOK).await;
        call.send_replace(Some(At::default()));
        // Well past the last answer.
        tokio::time::sleep(10 * LOOK).await;
        assert!(!ended.get());
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        assert!(answer.len() > LONG_ANSWER, "{} bytes came", answer.len());
    });
}

#[test]
fn then_connections_end_and_so_does_the_gate() {
    play(Span::ZERO, async |mut stream, call, ended| {
        call.send_replace(Some(At::default()));
        assert_eq!(stream.read(&mut [0; 9]).await.unwrap(), 0, "closed in order");
        drop(stream);
        while !ended.get() {
            tokio::time::sleep(LOOK).await;
        }
    });
}

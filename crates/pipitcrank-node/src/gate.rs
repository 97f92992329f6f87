//! Client connections: accepting them, seeing them off, and ending them in order after SIGTERM.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::header::CONNECTION;
use axum::http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use tower_service::Service;

use crate::counters::Counters;
use crate::ends::ConnectionEnd;
use crate::front::{Arrival, EndCalled};
use crate::hall::Sockets;
use crate::tap::{Framing, Heads, Tap};
use crate::visits::{Doing, Visit, Visits};

/// Longest request head taken: with all places for clients in use, heads and bodies stay under a quarter of the
/// memory told.
const LONGEST_HEAD: usize = 16 * 1024;
/// After SIGTERM new connections come for up to 0.4 s, and clients go on using those they have, while the front may
/// have nobody else to send them to: a co-ordinator ended just before may not be back. For so long all goes on as
/// before. It leaves the platform's 3.7 s before it kills for the answers to what came until then.
pub const STAY: Duration = Duration::from_millis(1500);
/// How long nothing must have come before we hold ourselves to be quiet.
const QUIET: Duration = Duration::from_millis(100);
/// How often connections are looked over: a tenth of the second that is to spare where one has to end by a time.
const LOOK: Duration = Duration::from_millis(50);
/// Of the places for clients, one in so many is kept free for who comes next.
const SPARE: usize = 8;
/// Pause after an accept that failed: such errors (no descriptors) pass only as others close.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What a client sends on while it has our last answer is thrown away, so that no reset takes the answer from it:
/// for so long at most, so much, and only while it goes on; in pieces with a pause, as it must not cost the others
/// the processor. That is enough for the largest bodies that clients are known to send.
const SEE_OFF: Duration = Duration::from_secs(5);
const SEE_OFF_BYTES: usize = 64 << 20;
const SEE_OFF_SILENT: Duration = Duration::from_millis(500);
const SEE_OFF_PIECE: usize = 64 * 1024;
const SEE_OFF_PAUSE: Duration = Duration::from_millis(2);

/// Accepts until all is quiet after the end was called for and `stay` has passed.
pub async fn keep(
    listener: TcpListener,
    router: Router,
    clients: Sockets,
    counters: Counters,
    stay: Duration,
    mut end_called: EndCalled,
    quiet: impl Fn() -> bool,
) {
    let (last_call, leave) = watch::channel(false);
    let visits = Rc::new(Visits::default());
    let spare = clients.most().div_ceil(SPARE);
    let mut since: Option<Instant> = None;
    let mut came = Instant::now();
    let mut looks = tokio::time::interval(LOOK);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        // Without a place the rest waits in the accept queue.
        let place = clients.place();
        tokio::select! {
            accepted = listener.accept(), if place.is_some() => match accepted {
                Ok((stream, _)) => {
                    came = Instant::now();
                    counters.add("clients", "accepted");
                    let (router, counters, leave) = (router.clone(), counters.clone(), leave.clone());
                    let (visits, visit) = (visits.clone(), visits.enter(came));
                    tokio::task::spawn_local(async move {
                        let end = serve(stream, router, &visit, leave).await;
                        counters.add("clients", end.name());
                        visits.leave(&visit);
                        drop(place);
                    });
                }
                Err(e) => {
                    log::warn!("accept failed: {e}");
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                }
            },
            Ok(()) = end_called.changed(), if since.is_none() => {
                log::info!("asked to end");
                since = Some(Instant::now());
            }
            () = clients.freed(), if place.is_none() => {}
            _ = looks.tick() => {
                drop(place);
                visits.look(Instant::now(), spare.saturating_sub(clients.free()));
                if since.is_none_or(|s| s.elapsed() < stay) {
                    continue;
                }
                // Idle connections end now, busy ones with their answer.
                last_call.send_replace(true);
                if clients.open() == 0 && quiet() && came.elapsed() >= QUIET {
                    return;
                }
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    router: Router,
    visit: &Rc<Visit>,
    mut leave: watch::Receiver<bool>,
) -> ConnectionEnd {
    let _ = stream.set_nodelay(true);
    let heads = Rc::new(RefCell::new(Heads::new(LONGEST_HEAD)));
    let tap = Tap { stream, visit: visit.clone(), heads: heads.clone(), ended: false };
    let service =
        service_fn(|request| Box::pin(answer(router.clone(), visit.clone(), heads.clone(), request)));
    let mut serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // Visits have their own limits, from connecting on.
        .header_read_timeout(None)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(TokioIo::new(tap), service);
    let mut leaving = false;
    let end = loop {
        tokio::select! {
            served = std::future::poll_fn(|cx| serving.poll_without_shutdown(cx)) => break match served {
                Ok(()) if leaving => ConnectionEnd::LetGo,
                Ok(()) => ConnectionEnd::Closed,
                Err(e) if e.is_parse() => ConnectionEnd::BadBytes,
                Err(_) => ConnectionEnd::Reset,
            },
            () = visit.called_to_leave() => return match visit.doing() {
                Doing::Idle => ConnectionEnd::Idle,
                _ => ConnectionEnd::Silent,
            },
            _ = leave.wait_for(|l| *l), if !leaving => {
                leaving = true;
                std::pin::Pin::new(&mut serving).graceful_shutdown();
            }
        }
    };
    let tap = serving.into_parts().io.into_inner();
    if !tap.ended && end != ConnectionEnd::Reset {
        visit.turns_to(Doing::Parting, Instant::now());
        tokio::select! {
            () = see_off(tap.stream) => {}
            () = visit.called_to_leave() => {}
        }
    }
    end
}

/// One request of a connection, from its head to its answer.
async fn answer(
    router: Router,
    visit: Rc<Visit>,
    heads: Rc<RefCell<Heads>>,
    mut request: Request<Incoming>,
) -> Result<axum::response::Response, std::convert::Infallible> {
    visit.turns_to(Doing::Open, Instant::now());
    // Seen by the tap alone: of a request framed both ways the library shows one only.
    let mixed = heads.borrow().framing() == Some(Framing::Mixed);
    request.extensions_mut().insert(Arrival { whole_by: visit.whole_by(), mixed });
    let answered = { router }.call(request.map(Body::new)).await;
    let mut heads = heads.borrow_mut();
    let follows = heads.may_follow();
    heads.next();
    visit.turns_to(Doing::Idle, Instant::now());
    answered.map(|mut response| {
        if !follows {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    })
}

/// Says that nothing more comes from us, and lets the client read that in peace.
async fn see_off(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let until = Instant::now() + SEE_OFF;
    let (mut piece, mut left) = (vec![0; SEE_OFF_PIECE], SEE_OFF_BYTES);
    while left > 0 && Instant::now() < until {
        match tokio::time::timeout(SEE_OFF_SILENT, stream.read(&mut piece)).await {
            Ok(Ok(n)) if n > 0 => left = left.saturating_sub(n),
            _ => return,
        }
        tokio::time::sleep(SEE_OFF_PAUSE).await;
    }
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;

    use axum::routing::get;
    use pipitcrank::time::At;

    use super::*;

    async fn asked(stream: &mut TcpStream) -> String {
        stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
        let mut answer = Vec::new();
        while !answer.ends_with(b"served") {
            assert!(stream.read_buf(&mut answer).await.unwrap() > 0, "a whole answer");
        }
        String::from_utf8(answer).unwrap()
    }

    fn play(stay: Duration, scene: impl AsyncFnOnce(TcpStream, watch::Sender<Option<At>>, &Cell<bool>)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
            let router = Router::new().route("/", get(async || "served"));
            let (call, called) = watch::channel(None);
            let ended = Rc::new(Cell::new(false));
            let (gate_ended, counters) = (ended.clone(), Counters::default());
            tokio::task::spawn_local(async move {
                keep(listener, router, Sockets::new(9), counters, stay, called, || true).await;
                gate_ended.set(true);
            });
            assert!(!asked(&mut stream).await.contains("connection: close"));
            scene(stream, call, &ended).await;
        });
    }

    #[test]
    fn for_a_while_after_the_end_is_called_clients_keep_their_connections() {
        play(Duration::from_secs(3600), async |mut stream, call, ended| {
            call.send_replace(Some(At::default()));
            for _ in 0..3 {
                assert!(!asked(&mut stream).await.contains("connection: close"), "nobody else may be there");
                tokio::time::sleep(2 * LOOK).await;
            }
            assert!(!ended.get());
        });
    }

    #[test]
    fn then_connections_end_and_so_does_the_gate() {
        play(Duration::ZERO, async |mut stream, call, ended| {
            call.send_replace(Some(At::default()));
            assert_eq!(stream.read(&mut [0; 9]).await.unwrap(), 0, "closed in order");
            drop(stream);
            while !ended.get() {
                tokio::time::sleep(LOOK).await;
            }
        });
    }
}

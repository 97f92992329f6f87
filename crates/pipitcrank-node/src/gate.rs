//! Client connections: accepting them, seeing them off, and ending them in order after SIGTERM.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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

use crate::ends::ConnectionEnd;
use crate::exchange::Exchange;
use crate::front::Arrival;
use crate::hall::{Hall, Sockets};
use crate::tap::{Framing, Heads, Tap};
use crate::visits::{Doing, Visit, Visits};

/// Longest request head taken: with all places for clients in use, heads and bodies stay under a quarter of the
/// memory told.
const LONGEST_HEAD: usize = 16 * 1024;
/// After SIGTERM new connections come for up to 0.4 s; we stay at least so long, as the platform asks.
const STAY: Duration = Duration::from_millis(700);
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

/// Accepts until it is quiet after the end was called for.
pub async fn keep(
    hall: Rc<Hall>,
    listener: TcpListener,
    router: Router,
    clients: Sockets,
    closing: Arc<AtomicBool>,
    mut end_called: watch::Receiver<bool>,
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
                    hall.counters.add("clients", "accepted");
                    let (router, hall, leave) = (router.clone(), hall.clone(), leave.clone());
                    let (visits, visit) = (visits.clone(), visits.enter(came));
                    tokio::task::spawn_local(async move {
                        let end = serve(stream, router, &visit, leave).await;
                        hall.counters.add("clients", end.name());
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
                closing.store(true, Ordering::Relaxed);
                since = Some(Instant::now());
            }
            () = clients.freed(), if place.is_none() => {}
            _ = looks.tick() => {
                drop(place);
                visits.look(Instant::now(), spare.saturating_sub(clients.free()));
                let Some(since) = since.filter(|s| s.elapsed() >= STAY) else { continue };
                // Idle connections end now, busy ones with their answer.
                last_call.send_replace(true);
                let quiet = clients.open() == 0 && hall.ask(Exchange::quiet);
                if quiet && since.elapsed() >= STAY && came.elapsed() >= QUIET {
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

//! Client connections: accepting them, and ending them in order after SIGTERM.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::ends::ConnectionEnd;
use crate::exchange::Exchange;
use crate::hall::{Hall, Sockets};

/// A client that keeps a connection without a whole request head for longer gives its place to others.
const HEAD_LIMIT: Duration = Duration::from_secs(60);
/// Longest request head taken: with all places for clients in use, heads and bodies stay under a quarter of the
/// memory told.
const LONGEST_HEAD: usize = 16 * 1024;
/// After SIGTERM new connections come for up to 0.4 s; we stay at least so long, as the platform asks.
const STAY: Duration = Duration::from_millis(700);
/// How long nothing must have come before we hold ourselves to be quiet, and how often we look.
const QUIET: Duration = Duration::from_millis(100);
/// Pause after an accept that failed: such errors (no descriptors) pass only as others close.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

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
    let mut since: Option<Instant> = None;
    let mut came = Instant::now();
    loop {
        // Without a place the rest waits in the accept queue.
        let place = clients.place();
        tokio::select! {
            accepted = listener.accept(), if place.is_some() => match accepted {
                Ok((stream, _)) => {
                    came = Instant::now();
                    hall.counters.add("clients", "accepted");
                    let (router, counters, leave) = (router.clone(), hall.counters.clone(), leave.clone());
                    tokio::task::spawn_local(async move {
                        let end = serve(stream, router, leave).await;
                        counters.add("clients", end.name());
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
            () = tokio::time::sleep(QUIET), if since.is_some() || place.is_none() => {
                let Some(since) = since else { continue };
                drop(place);
                if since.elapsed() < STAY {
                    continue;
                }
                // Idle connections end now, busy ones with their answer.
                last_call.send_replace(true);
                if clients.open() == 0 && hall.ask(Exchange::quiet) && came.elapsed() >= QUIET {
                    return;
                }
            }
        }
    }
}

async fn serve(stream: TcpStream, router: Router, mut leave: watch::Receiver<bool>) -> ConnectionEnd {
    let _ = stream.set_nodelay(true);
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    let mut serving = std::pin::pin!(serving);
    let mut leaving = false;
    loop {
        tokio::select! {
            served = serving.as_mut() => return match served {
                Ok(()) if leaving => ConnectionEnd::LetGo,
                Ok(()) => ConnectionEnd::Closed,
                Err(e) if e.is_parse() => ConnectionEnd::BadBytes,
                Err(e) if e.is_timeout() => ConnectionEnd::Idle,
                Err(_) => ConnectionEnd::Reset,
            },
            _ = leave.wait_for(|l| *l), if !leaving => {
                leaving = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

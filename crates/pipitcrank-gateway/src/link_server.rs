//! Accepts links from other sites and serves the forwards received on them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pipitcrank_server::serve::ServerContext;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::forward_service::ForwardService;
use crate::link_session::SessionContext;

/// Pause between two attempts to listen or to accept. During an upgrade the predecessor may still hold the address.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Server for the links from other sites.
pub struct LinkServer {
    sessions: Rc<SessionContext>,
    draining: watch::Receiver<bool>,
}

impl LinkServer {
    /// A server of the site `own_site`. `incarnation` distinguishes this process from all other processes of the site;
    /// `peers` are the names of the sites whose links are accepted.
    pub fn new(context: &ServerContext, own_site: &str, incarnation: u64, peers: Vec<String>) -> LinkServer {
        let sessions = SessionContext {
            event_loop: context.event_loop.clone(),
            own_site: own_site.to_string(),
            incarnation,
            peers,
            service: Rc::new(ForwardService::new(context, own_site)),
            draining: context.draining.clone(),
        };
        LinkServer { sessions: Rc::new(sessions), draining: context.draining.clone() }
    }

    /// Accepts links, except while draining. A draining process releases the address to its successor and closes each
    /// link when none of its forwards is running.
    pub async fn listen(self, address: SocketAddr) {
        let mut draining = self.draining.clone();
        let mut failure_logged = false;
        loop {
            let _ = draining.wait_for(|draining| !draining).await;
            match TcpListener::bind(address).await {
                Ok(listener) => {
                    tracing::info!("accepting links from other sites on {address}");
                    tokio::select! {
                        () = self.accept(listener) => {}
                        _ = draining.wait_for(|draining| *draining) => {
                            tracing::info!("draining: stopped accepting links on {address}");
                        }
                    }
                    failure_logged = false;
                }
                Err(error) => {
                    if !std::mem::replace(&mut failure_logged, true) {
                        tracing::warn!(
                            "/gateway/listen: can't listen on {address}: {error}; retry every {LISTEN_RETRY_INTERVAL:?}"
                        );
                    }
                    tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
                }
            }
        }
    }

    async fn accept(&self, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
                continue;
            };
            let event_loop = &self.sessions.event_loop;
            // Links are not encrypted yet, so only loopback connections are accepted. They count against the same limit
            // as connections to replicas, so that the limit holds for any number of co-ordinators in a site.
            let permit = event_loop.replica_connections.try_acquire().filter(|_| from.ip().is_loopback());
            let Some(permit) = permit else {
                event_loop.counters.add("peers", "turned_away");
                continue;
            };
            let sessions = self.sessions.clone();
            tokio::task::spawn_local(async move {
                let end = sessions.serve(stream).await;
                sessions.event_loop.counters.add("peers", end.name());
                tracing::info!("link from {from} ended: {end}");
                drop(permit);
            });
        }
    }
}

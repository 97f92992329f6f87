//! Accepts links of other sites, whose forwards are answered here.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pipitcrank_server::serve::ServerContext;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::forward_service::ForwardService;
use crate::link_session::SessionContext;

/// Between two attempts to listen or accept: during an upgrade the address is the old process's.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Server of links of other sites.
pub struct LinkServer {
    sessions: Rc<SessionContext>,
    draining: watch::Receiver<bool>,
}

impl LinkServer {
    /// A server of the site `own_site`, whose process is distinguished from others by `incarnation`. `peers` are the names of the
    /// sites whose links are accepted.
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

    /// Accepts links, except while draining: then the address is free for the process that takes over, and links end as
    /// soon as nothing of theirs runs.
    pub async fn listen(self, address: SocketAddr) {
        let mut draining = self.draining.clone();
        let mut is_logged = false;
        loop {
            let _ = draining.wait_for(|draining| !draining).await;
            match TcpListener::bind(address).await {
                Ok(listener) => {
                    tracing::info!("accepting links of other sites at {address}");
                    tokio::select! {
                        () = self.accept(listener) => {}
                        _ = draining.wait_for(|draining| *draining) => {
                            tracing::info!("draining: no more links are accepted");
                        }
                    }
                    is_logged = false;
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_logged, true) {
                        tracing::warn!("/gateway/listen: {address}: {error}; trying again");
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
            // Links are not encrypted yet, so they stay on the machine. Peers' connections count against the limit of
            // connections, as replicas' do: it holds however many co-ordinators a site has.
            let permit = event_loop.replica_connections.try_acquire().filter(|_| from.ip().is_loopback());
            let Some(permit) = permit else {
                event_loop.counters.add("peers", "turned_away");
                continue;
            };
            let sessions = self.sessions.clone();
            tokio::task::spawn_local(async move {
                let end = sessions.serve(stream).await;
                sessions.event_loop.counters.add("peers", end.name());
                tracing::info!("a peer's link ended: {end}");
                drop(permit);
            });
        }
    }
}

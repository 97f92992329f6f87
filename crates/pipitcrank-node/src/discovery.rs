//! Discovery: the list of leaves as first known, and the watch that keeps it.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::ends::ConnectionEnd;
use crate::exchange::Listed;
use crate::hall::Hall;
use crate::objects::{Objects, Spoilt};

/// A watch that brings nothing for so long has died unnoticed: an empty line is due every 2 s.
const SILENT: Duration = Duration::from_secs(5);
/// Longest list taken: some ten thousand leaves, indented, and a tenth of the least memory that platforms tell.
const LONGEST: usize = 4 << 20;

/// A list, or the changes of one.
#[derive(Deserialize)]
pub struct News {
    pub rev: u64,
    all: bool,
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: Option<String>,
    pod_group: Option<u32>,
    #[serde(default)]
    az: Option<String>,
    state: State,
    #[serde(default)]
    boot_ms: i64,
}

#[derive(Deserialize, PartialEq, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Leaving,
    Left,
}

impl News {
    /// Whether it is the whole list, and its rows; or what is wrong with it.
    pub fn rows(self, clock: &Clock) -> Result<(bool, Vec<Listed>), String> {
        let rows = self.targets.into_iter().map(|t| {
            let address = t.endpoint.map(|e| e.parse().map_err(|_| format!("endpoint '{e}' of {}", t.uid)));
            let address = address.transpose()?;
            if t.state != State::Left && (address.is_none() || t.pod_group.is_none()) {
                return Err(format!("no endpoint or pod_group of {}", t.uid));
            }
            Ok(Listed {
                uid: t.uid,
                address,
                cell: t.pod_group.unwrap_or(0),
                zone: t.az,
                up: t.state == State::Active,
                started: (t.boot_ms != 0).then(|| clock.at_unix_ms(t.boot_ms)),
            })
        });
        Ok((self.all, rows.collect::<Result<_, String>>()?))
    }
}

type Asker = Client<HttpConnector, Empty<Bytes>>;

/// Version of the list that is held; none asks for the whole list.
pub type Rev = Rc<Cell<Option<u64>>>;

/// Watches for ever, wherever discovery is at the moment; `rev` is the version of the list as first known, and then
/// as held. Between two tries it waits for `pause`.
pub async fn watch(hall: Rc<Hall>, mut address: watch::Receiver<String>, rev: Rev, pause: Duration) {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(pause));
    let client: Asker = Client::builder(TokioExecutor::new()).build(connector);
    loop {
        let at = address.borrow_and_update().clone();
        let one_address = async {
            loop {
                let Err(end) = one_watch(&hall, &client, &at, &rev).await;
                tracing::warn!("the watch of discovery ended: {}", end.name());
                hall.counters.add("discovery", end.name());
                tokio::time::sleep(pause).await;
            }
        };
        // Guards against news missed after a move: a try or a pause at the old address is left at once, and as the
        // new one may count versions otherwise, the whole list is asked for there.
        tokio::select! {
            () = one_address => {}
            Ok(()) = address.changed() => {
                hall.counters.add("discovery", "moved");
                rev.set(None);
            }
        }
    }
}

async fn ask(client: &Asker, address: &str, what: &str) -> Result<Incoming, ConnectionEnd> {
    let uri = format!("http://{address}/discovery/hosts{what}");
    let Ok(request) = Request::get(uri).body(Empty::new()) else { return Err(ConnectionEnd::Refused) };
    match tokio::time::timeout(SILENT, client.request(request)).await {
        Ok(Ok(answer)) if answer.status() == StatusCode::OK => Ok(answer.into_body()),
        Ok(Ok(_)) => Err(ConnectionEnd::BadBytes),
        Ok(Err(_)) => Err(ConnectionEnd::Refused),
        Err(_) => Err(ConnectionEnd::NeverUp),
    }
}

/// Hands on what discovery sent; its version.
fn take(hall: &Hall, news: &[u8]) -> Result<u64, ConnectionEnd> {
    let news: Result<News, String> = serde_json::from_slice(news).map_err(|e| e.to_string());
    let taken = news.and_then(|n| Ok((n.rev, n.rows(&hall.clock)?)));
    let (rev, (whole, rows)) = taken.map_err(|wrong| {
        tracing::warn!("discovery sent what can't be read: {wrong}");
        ConnectionEnd::BadBytes
    })?;
    hall.tell(|e| e.list(hall.clock.now(), whole, rows));
    Ok(rev)
}

fn spoilt(what: Spoilt) -> ConnectionEnd {
    match what {
        Spoilt::Between => tracing::warn!("discovery sent what is no list"),
        Spoilt::TooLong => tracing::warn!("discovery sent a list of over {LONGEST} bytes: it is left"),
    }
    ConnectionEnd::BadBytes
}

/// The whole list, where no version of it is known.
async fn whole_list(hall: &Hall, client: &Asker, address: &str) -> Result<u64, ConnectionEnd> {
    let body = Limited::new(ask(client, address, "").await?, LONGEST).collect();
    match tokio::time::timeout(SILENT, body).await {
        Ok(Ok(body)) => take(hall, &body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(spoilt(Spoilt::TooLong)),
        Ok(Err(_)) => Err(ConnectionEnd::Reset),
        Err(_) => Err(ConnectionEnd::Silent),
    }
}

/// One watch, until it ends.
async fn one_watch(
    hall: &Hall,
    client: &Asker,
    address: &str,
    rev: &Rev,
) -> Result<Infallible, ConnectionEnd> {
    let known = match rev.get() {
        Some(known) => known,
        None => whole_list(hall, client, address).await?,
    };
    rev.set(Some(known));
    let mut body = ask(client, address, &format!("?stream=1&index={known}")).await?;
    // A list may come indented: a line is no object.
    let mut objects = Objects::new(LONGEST);
    loop {
        match tokio::time::timeout(SILENT, body.frame()).await {
            Err(_) => return Err(ConnectionEnd::Silent),
            Ok(None) => return Err(ConnectionEnd::Closed),
            Ok(Some(Err(_))) => return Err(ConnectionEnd::Reset),
            Ok(Some(Ok(frame))) => objects.came(frame.data_ref().unwrap_or(&Bytes::new())),
        }
        while let Some(news) = objects.take().map_err(spoilt)? {
            rev.set(Some(take(hall, &news)?));
        }
    }
}

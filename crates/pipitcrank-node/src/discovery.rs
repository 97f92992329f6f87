//! Discovery: the list of leaves as first known, and the watch that keeps it.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::clock::Clock;
use crate::ends::ConnectionEnd;
use crate::exchange::Listed;
use crate::hall::Hall;

/// A watch that brings nothing for so long has died unnoticed: an empty line is due every 2 s.
const SILENT: Duration = Duration::from_secs(5);
/// Longest line taken: some thousands of leaves.
const LONGEST: usize = 1 << 20;

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
                up: t.state == State::Active,
                started: (t.boot_ms != 0).then(|| clock.at_unix_ms(t.boot_ms)),
            })
        });
        Ok((self.all, rows.collect::<Result<_, String>>()?))
    }
}

/// Watches for ever; `rev` is the version of the list as first known. Between two tries it waits for `pause`.
pub async fn watch(hall: Rc<Hall>, address: String, mut rev: u64, pause: Duration) {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(pause));
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build(connector);
    loop {
        let end = one_watch(&hall, &client, &address, &mut rev).await;
        log::warn!("the watch of discovery ended: {}", end.name());
        hall.counters.add("discovery", end.name());
        tokio::time::sleep(pause).await;
    }
}

async fn one_watch(
    hall: &Rc<Hall>,
    client: &Client<HttpConnector, Empty<Bytes>>,
    address: &str,
    rev: &mut u64,
) -> ConnectionEnd {
    let uri = format!("http://{address}/discovery/hosts?stream=1&index={rev}");
    let Ok(request) = Request::get(uri).body(Empty::new()) else { return ConnectionEnd::Refused };
    let mut body = match tokio::time::timeout(SILENT, client.request(request)).await {
        Ok(Ok(answer)) if answer.status() == StatusCode::OK => answer.into_body(),
        Ok(Ok(_)) => return ConnectionEnd::BadBytes,
        Ok(Err(_)) => return ConnectionEnd::Refused,
        Err(_) => return ConnectionEnd::NeverUp,
    };
    let mut buffer = BytesMut::new();
    loop {
        match tokio::time::timeout(SILENT, body.frame()).await {
            Err(_) => return ConnectionEnd::Silent,
            Ok(None) => return ConnectionEnd::Closed,
            Ok(Some(Err(_))) => return ConnectionEnd::Reset,
            Ok(Some(Ok(frame))) => buffer.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
        }
        while let Some(end) = buffer.iter().position(|&b| b == b'\n') {
            let line = buffer.split_to(end + 1);
            if line.trim_ascii().is_empty() {
                continue;
            }
            let news: Result<News, String> = serde_json::from_slice(&line).map_err(|e| e.to_string());
            let taken = news.and_then(|n| Ok((n.rev, n.rows(&hall.clock)?)));
            match taken {
                Ok((version, (whole, rows))) => {
                    *rev = version;
                    hall.tell(|e| e.list(hall.clock.now(), whole, rows));
                }
                Err(wrong) => {
                    log::warn!("discovery sent a bad line: {wrong}");
                    return ConnectionEnd::BadBytes;
                }
            }
        }
        if buffer.len() > LONGEST {
            return ConnectionEnd::BadBytes;
        }
    }
}

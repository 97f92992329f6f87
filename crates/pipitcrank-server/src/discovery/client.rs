//! Discovery: the list of leaves as first known, and what keeps it. Two ways run beside each other: a watch brings each
//! change at once, and looks at the whole list, on connections of their own, bring whatever a watch did not. A change counts
//! as told 6 s after discovery had it, whatever call failed: the looks alone keep to that, so no watch has to be trusted.
//! Where lists are only told to who asks, each call is paid for and refused when there are too many: there the watch goes
//! first, looks are rare, and who was refused asks later and later.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use pipitcrank_core::rng::Rng;
use serde::Deserialize;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::discovery::json_objects::{JsonObjectStream, JsonStreamError};
use crate::exchange::Endpoint;
use crate::replicas::connection_end::ConnectionEnd;
use crate::runtime::clock::Clock;
use crate::runtime::dial::Connector;
use crate::runtime::event_loop::EventLoop;

/// A watch that brings nothing whole for so long has died unnoticed, or never ends an object: an empty line is due every
/// 2 s.
const QUIET: Duration = Duration::from_millis(2500);
/// From one look at the whole list to the next. What it leaves of the 6 s is for eight calls of which seven come to nothing,
/// and of the 4 s after SIGHUP as many, since then one begins at once.
const LOOK_AGAIN: Duration = Duration::from_millis(2000);
/// A call that has brought nothing for so long gets another beside it.
const BESIDE: Duration = Duration::from_millis(500);
/// So long a call may take, for a list that comes slowly; as many as begin in that time are under way at once.
const LIVES: Duration = Duration::from_millis(4000);
const AT_ONCE: usize = 8;
/// A watch whose head does not come for so long is asked for anew.
const HEAD: Duration = Duration::from_millis(1000);
/// Between a watch that ended and the look that follows: what ends all watches of a fleet does not bring a storm.
const AFTER_END: Duration = Duration::from_millis(50);
/// Where calls are paid for: a look beside a sound watch so often, which leaves time for one more call of the 6 s. A call is
/// waited for that long: given up and asked anew it costs discovery twice. A pause follows one that failed, doubled by each
/// further one, and cut by chance so that those refused together do not come together.
const PAID_LOOK: Duration = Duration::from_millis(4000);
const PAID_CALL: Duration = Duration::from_millis(2000);
const PAID_PAUSE: Duration = Duration::from_millis(250);
const PAID_PAUSE_MOST: Duration = Duration::from_millis(2000);
/// So many copies may call as often as that: one discovery has to answer all, and more of them call more rarely.
const PAID_COPIES: u32 = 8;
/// Doublings at most.
const PAID_DOUBLED: u32 = 8;
/// Longest list taken: some ten thousand replicas, indented, and a tenth of the least memory that platforms tell.
const LONGEST: usize = 4 << 20;

/// A list, or the changes of one.
#[derive(Deserialize)]
pub struct EndpointUpdate {
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

impl EndpointUpdate {
    /// Whether it is the whole list, and its rows; or what is wrong with it.
    pub fn rows(self, clock: &Clock) -> Result<(bool, Vec<Endpoint>), String> {
        let rows = self.targets.into_iter().map(|t| {
            let address = t.endpoint.map(|e| e.parse().map_err(|_| format!("endpoint '{e}' of {}", t.uid)));
            let address = address.transpose()?;
            if t.state != State::Left && (address.is_none() || t.pod_group.is_none()) {
                return Err(format!("no endpoint or pod_group of {}", t.uid));
            }
            Ok(Endpoint {
                uid: t.uid,
                address,
                cell: t.pod_group.unwrap_or(0),
                zone: t.az,
                up: t.state == State::Active,
                started: (t.boot_ms != 0).then(|| clock.started_at(t.boot_ms)),
            })
        });
        Ok((self.all, rows.collect::<Result<_, String>>()?))
    }
}

/// Calls are paid for, and refused when there are too many: how this copy spreads its own.
pub struct PollPacing {
    rng: RefCell<Rng>,
    /// The copies in all, as so many times the number that may call often; 1 at least.
    crowd: f64,
}

impl PollPacing {
    pub fn new(seed: u64, copies: u32) -> PollPacing {
        let crowd = (f64::from(copies) / f64::from(PAID_COPIES)).max(1.0);
        PollPacing { rng: RefCell::new(Rng::new(seed)), crowd }
    }

    /// The pause after so many calls in a row that failed.
    fn pause(&self, failed: u32) -> Duration {
        // The first ones by its root: what refuses thirty at once may bear three hundred.
        let pause = PAID_PAUSE.mul_f64(self.crowd.sqrt()) * 2u32.pow(failed.min(PAID_DOUBLED));
        let longest = pause.min(PAID_PAUSE_MOST.mul_f64(self.crowd));
        longest.mul_f64(0.5 + 0.5 * self.rng.borrow_mut().fraction())
    }

    /// Before the first call: a fleet that starts at once does not ask at once.
    fn at_first(&self) -> Duration {
        let after_eight = PAID_PAUSE.mul_f64(self.crowd.sqrt()).saturating_sub(PAID_PAUSE);
        (after_eight * 2).mul_f64(self.rng.borrow_mut().fraction())
    }

    /// Until the next look beside a sound watch, after so many in a row that failed.
    fn until_look(&self, failed: u32) -> Duration {
        let doubled = f64::from(2u32.pow(failed.min(PAID_DOUBLED)));
        PAID_LOOK.mul_f64(self.crowd * doubled * (0.75 + 0.5 * self.rng.borrow_mut().fraction()))
    }
}

type HttpClient = Client<Connector, Empty<Bytes>>;

/// Version of the list that is held; none asks for the whole list.
pub type SharedRevision = Rc<Cell<Option<u64>>>;

/// Watches for ever, wherever discovery is at the moment; `rev` is the version of the list as first known, and then
/// as held. `paid`: lists are told to who asks alone.
pub async fn watch(
    event_loop: Rc<EventLoop>,
    mut address: watch::Receiver<String>,
    rev: SharedRevision,
    paid: Option<PollPacing>,
) {
    // Each call has a connection of its own. Guards against one kept that has died: it would swallow call after call.
    let client: HttpClient = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(Connector);
    loop {
        let at = address.borrow_and_update().clone();
        let (again, had, doubted) = (Notify::new(), Notify::new(), Cell::new(false));
        let paid = paid.as_ref();
        let source = DiscoverySource {
            event_loop: &event_loop,
            client: &client,
            at: &at,
            rev: &rev,
            paid,
            again,
            had,
            doubted,
        };
        let moved = async {
            while address.changed().await.is_ok() {
                if *address.borrow_and_update() != at {
                    return;
                }
                // Told to look anew at the same place: what it has counts as told sooner then.
                source.again.notify_one();
            }
            std::future::pending().await
        };
        // Guards against news missed after a move: a call or a pause at the old address is left at once, and as the
        // new one may count versions otherwise, the whole list is asked for there.
        tokio::select! {
            _ = source.look_for_ever() => {}
            _ = source.watch_for_ever() => {}
            () = moved => {
                event_loop.counters.add("discovery", "moved");
                rev.set(None);
            }
        }
    }
}

/// Discovery at one address.
struct DiscoverySource<'a> {
    event_loop: &'a EventLoop,
    client: &'a HttpClient,
    at: &'a str,
    rev: &'a SharedRevision,
    paid: Option<&'a PollPacing>,
    /// Calls for a look before its time.
    again: Notify,
    /// A list has come where none was held.
    had: Notify,
    /// The last look brought an older version than the one held.
    doubted: Cell<bool>,
}

impl DiscoverySource<'_> {
    async fn look_for_ever(&self) -> Infallible {
        if let Some(paid) = self.paid {
            return self.look_rarely(paid).await;
        }
        loop {
            let begun = Instant::now();
            self.look().await;
            tokio::select! {
                () = sleep_until(begun + LOOK_AGAIN) => {}
                () = self.again.notified() => sleep_until(begun + AFTER_END).await,
            }
        }
    }

    /// Beside the watch, each call paid for: at once where none is held or a SIGHUP came, else rarely, and more rarely while
    /// calls are refused. Guards against a fleet that keeps discovery from answering anybody by asking it again and again.
    async fn look_rarely(&self, paid: &PollPacing) -> Infallible {
        let mut failed = 0;
        loop {
            if self.rev.get().is_some() {
                tokio::select! {
                    () = sleep(paid.until_look(failed)) => {}
                    () = self.again.notified() => {}
                }
            }
            let before = self.rev.get();
            let came = whole_list(self.client, self.at, Instant::now() + PAID_CALL).await;
            match came.and_then(|body| self.take_look(before, &body)) {
                Ok(true) => failed = 0,
                Ok(false) => self.again.notify_one(),
                Err(end) => {
                    self.ended("look at", end);
                    failed += 1;
                    // None is held: it is all that there is to go by.
                    if self.rev.get().is_none() {
                        sleep(paid.pause(failed)).await;
                    }
                }
            }
        }
    }

    /// Asks for the whole list until one call brings it. Guards against calls that hang, are refused, reset, or bring half a
    /// list: each costs `BESIDE`, and none holds up the next.
    async fn look(&self) {
        let (mut calls, mut under_way) = (JoinSet::new(), VecDeque::new());
        loop {
            let next = Instant::now() + BESIDE;
            if under_way.len() == AT_ONCE {
                under_way.pop_front().inspect(tokio::task::AbortHandle::abort);
            }
            let (client, at, before) = (self.client.clone(), self.at.to_string(), self.rev.get());
            under_way.push_back(
                calls.spawn_local(
                    async move { (before, whole_list(&client, &at, next - BESIDE + LIVES).await) },
                ),
            );
            loop {
                tokio::select! {
                    () = sleep_until(next) => break,
                    Some(done) = calls.join_next() => {
                        let Ok((before, came)) = done else { continue };
                        match came.and_then(|body| self.take_look(before, &body)) {
                            Ok(true) => return,
                            Ok(false) => {}
                            Err(end) => self.ended("look at", end),
                        }
                    }
                }
            }
        }
    }

    fn ended(&self, what: &str, end: ConnectionEnd) {
        tracing::warn!("the {what} discovery ended: {}", end.name());
        self.event_loop.counters.add("discovery", end.name());
    }

    /// What a look brought; false where it has to be asked again. `before`: the version held when it began.
    fn take_look(&self, before: Option<u64>, body: &[u8]) -> Result<bool, ConnectionEnd> {
        let (rev, whole, rows) = read(self.event_loop, body)?;
        if !whole {
            tracing::warn!("discovery sent changes for the whole list");
            return Err(ConnectionEnd::ProtocolError);
        }
        let goes_back = self.rev.get().is_some_and(|held| rev < held);
        // Guards against an older list over a newer one: while this call was under way another brought more.
        if goes_back && before.is_some_and(|before| rev >= before) {
            return Ok(true);
        }
        // Versions begin anew where discovery has. Guards against one call that was answered late: it is said twice.
        if goes_back && !self.doubted.replace(true) {
            tracing::warn!("discovery told version {rev} after a later one; it is asked again");
            return Ok(false);
        }
        self.doubted.set(false);
        // Guards against a restart of discovery after which its versions come to the number held, with another list.
        if self.rev.get() != Some(rev) || !self.event_loop.read(|e| e.matches_endpoints(&rows)) {
            self.tell(rev, whole, rows);
        }
        Ok(true)
    }

    fn tell(&self, rev: u64, whole: bool, rows: Vec<Endpoint>) {
        self.event_loop.update(|e| e.update_endpoints(self.event_loop.clock.now(), whole, rows));
        if self.rev.replace(Some(rev)).is_none() {
            self.had.notify_one();
        }
    }

    async fn watch_for_ever(&self) -> Infallible {
        let mut failed = 0;
        if let Some(paid) = self.paid {
            sleep(paid.at_first()).await;
        }
        loop {
            let Some(known) = self.rev.get() else {
                self.had.notified().await;
                continue;
            };
            let begun = Instant::now();
            let Err(end) = self.one_watch(known).await;
            self.ended("watch of", end);
            if let Some(paid) = self.paid {
                failed = if begun.elapsed() > 2 * PAID_CALL { 1 } else { failed + 1 };
                // A call that hangs once is no sign of too many: a look goes beside the next.
                if end == ConnectionEnd::ConnectTimeout && failed <= 2 {
                    self.again.notify_one();
                }
                sleep(paid.pause(failed)).await;
                continue;
            }
            self.again.notify_one();
            // At once after one that lasted.
            sleep_until(begun + BESIDE).await;
        }
    }

    /// One watch, until it ends.
    async fn one_watch(&self, known: u64) -> Result<Infallible, ConnectionEnd> {
        let query = format!("?stream=1&index={known}");
        let head = if self.paid.is_some() { PAID_CALL } else { HEAD };
        let mut body = ask(self.client, self.at, &query, Instant::now() + head).await?;
        // A list may come indented: a line is no object.
        let mut objects = JsonObjectStream::new(LONGEST);
        let (mut stands_at, mut whole_since) = (known, Instant::now());
        loop {
            match timeout_at(whole_since + QUIET, body.frame()).await {
                Err(_) => return Err(ConnectionEnd::Silent),
                Ok(None) => return Err(ConnectionEnd::Closed),
                Ok(Some(Err(_))) => return Err(ConnectionEnd::Reset),
                Ok(Some(Ok(frame))) => objects.came(frame.data_ref().unwrap_or(&Bytes::new())),
            }
            while let Some(news) = objects.take().map_err(spoilt)? {
                stands_at = self.take_news(stands_at, &news)?;
                whole_since = Instant::now();
            }
            // Guards against an object that goes on for ever: only what is whole is a sign of life.
            if !objects.begun() {
                whole_since = Instant::now();
            }
        }
    }

    /// What a watch brought that stood at that version; where it stands now.
    fn take_news(&self, stood_at: u64, news: &[u8]) -> Result<u64, ConnectionEnd> {
        let (rev, whole, rows) = read(self.event_loop, news)?;
        let held = self.rev.get();
        // Guards against an older life's list over a new one's: a look has found that versions began anew.
        if held.is_some_and(|held| held < stood_at) {
            return Err(ConnectionEnd::NotNeeded);
        }
        let goes_back = rev < stood_at;
        if goes_back && !whole {
            tracing::warn!("discovery told changes of version {rev} after {stood_at}");
            return Err(ConnectionEnd::ProtocolError);
        }
        // A look may have brought as much already.
        if goes_back || held.is_none_or(|held| held < rev) {
            self.tell(rev, whole, rows);
        }
        Ok(rev)
    }
}

async fn ask(
    client: &HttpClient,
    address: &str,
    query: &str,
    by: Instant,
) -> Result<Incoming, ConnectionEnd> {
    let uri = format!("http://{address}/discovery/hosts{query}");
    let Ok(request) = Request::get(uri).body(Empty::new()) else { return Err(ConnectionEnd::Refused) };
    match timeout_at(by, client.request(request)).await {
        Ok(Ok(answer)) if answer.status() == StatusCode::OK => Ok(answer.into_body()),
        Ok(Ok(_)) => Err(ConnectionEnd::ProtocolError),
        Ok(Err(_)) => Err(ConnectionEnd::Refused),
        Err(_) => Err(ConnectionEnd::ConnectTimeout),
    }
}

/// What discovery sent: its version, whether it is the whole list, its rows.
fn read(event_loop: &EventLoop, news: &[u8]) -> Result<(u64, bool, Vec<Endpoint>), ConnectionEnd> {
    let news: Result<EndpointUpdate, String> = serde_json::from_slice(news).map_err(|e| e.to_string());
    let read = news.and_then(|n| {
        let rev = n.rev;
        let (whole, rows) = n.rows(&event_loop.clock)?;
        Ok((rev, whole, rows))
    });
    read.map_err(|wrong| {
        tracing::warn!("discovery sent what can't be read: {wrong}");
        ConnectionEnd::ProtocolError
    })
}

fn spoilt(what: JsonStreamError) -> ConnectionEnd {
    match what {
        JsonStreamError::Between => tracing::warn!("discovery sent what is no list"),
        JsonStreamError::TooLong => {
            tracing::warn!("discovery sent a list of over {LONGEST} bytes: it is left")
        }
    }
    ConnectionEnd::ProtocolError
}

async fn whole_list(client: &HttpClient, address: &str, by: Instant) -> Result<Bytes, ConnectionEnd> {
    let body = Limited::new(ask(client, address, "", by).await?, LONGEST).collect();
    match timeout_at(by, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(spoilt(JsonStreamError::TooLong)),
        Ok(Err(_)) => Err(ConnectionEnd::Reset),
        Err(_) => Err(ConnectionEnd::Silent),
    }
}

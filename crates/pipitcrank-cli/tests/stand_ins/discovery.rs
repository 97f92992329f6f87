//! A discovery that spoils its calls by script.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot};

/// How a call ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFault {
    Hangs,
    /// Closed without a word.
    Refuses,
    HeadOnly,
    /// Half of the list, and then a close or nothing more.
    Half,
    HalfForEver,
    Resets,
}

/// What the open watches of one life are told.
#[derive(Default)]
struct Life {
    /// Lines to be written to each watch, and those that have come for it.
    lines: RefCell<Vec<UnboundedSender<String>>>,
}

#[derive(Default)]
struct Inside {
    held: RefCell<(u64, Vec<Value>)>,
    /// The last changes, as watches are told.
    news: RefCell<String>,
    script: RefCell<VecDeque<CallFault>>,
    down: Cell<bool>,
    up_again: Notify,
    new_silent: Cell<bool>,
    keeps_back: Cell<bool>,
    life: RefCell<Rc<Life>>,
    orphans: RefCell<Rc<Life>>,
    watches: Cell<usize>,
    calls: Cell<usize>,
    open: Cell<usize>,
    watched: Notify,
    hold_look: RefCell<Option<oneshot::Sender<HeldPoll>>>,
    /// Calls that it bears in a second, and when those of late came.
    bears: Cell<Option<usize>>,
    came: RefCell<VecDeque<Instant>>,
    refused: Cell<usize>,
}

impl Inside {
    /// Whether one more is too many: also those refused cost it something.
    fn overrun(&self) -> bool {
        let Some(bears) = self.bears.get() else { return false };
        let mut came = self.came.borrow_mut();
        came.push_back(Instant::now());
        came.retain(|t| t.elapsed() < Duration::from_secs(1));
        let overrun = came.len() > bears;
        self.refused.set(self.refused.get() + usize::from(overrun));
        overrun
    }
}

/// A discovery that spoils its calls by script.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    inside: Rc<Inside>,
}

/// A look at the list as it was, whose answer the test lets go.
pub struct HeldPoll(oneshot::Sender<()>);

impl HeldPoll {
    pub fn answers(self) {
        let _ = self.0.send(());
    }
}

fn text(rev: u64, all: bool, rows: &[Value]) -> String {
    json!({"rev": rev, "all": all, "targets": rows}).to_string()
}

impl ScriptedDiscovery {
    pub async fn start(rev: u64, rows: Vec<Value>) -> Result<ScriptedDiscovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let inside = Rc::new(Inside { held: RefCell::new((rev, rows)), ..Inside::default() });
        let ours = inside.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let inside = ours.clone();
                tokio::task::spawn_local(async move {
                    inside.open.set(inside.open.get() + 1);
                    let _ = called(&inside, stream).await;
                    inside.open.set(inside.open.get() - 1);
                });
            }
        });
        Ok(ScriptedDiscovery { address, inside })
    }

    pub fn list(&self) -> Value {
        let held = self.inside.held.borrow();
        json!({"rev": held.0, "all": true, "targets": held.1})
    }

    /// Has that list, and tells watches of nothing.
    pub fn holds_quietly(&self, rev: u64, rows: Vec<Value>) {
        *self.inside.held.borrow_mut() = (rev, rows);
    }

    /// Has that list, and tells the watches that are not kept from it.
    pub fn holds(&self, rev: u64, rows: Vec<Value>) {
        self.holds_quietly(rev, rows);
        if !self.inside.keeps_back.get() {
            self.tells_watches(rev);
        }
    }

    /// Open watches are told of what it holds, as changes.
    pub fn tells_watches(&self, rev: u64) {
        let line = text(rev, false, &self.inside.held.borrow().1);
        self.inside.life.borrow().lines.borrow().iter().for_each(|l| drop(l.send(line.clone())));
    }

    /// Watches open now say nothing more, and stay open.
    pub fn silences_watches(&self) {
        let lines = std::mem::take(&mut *self.inside.life.borrow().lines.borrow_mut());
        // Kept: dropped they would close.
        lines.into_iter().for_each(|l| drop(l.send("silent".to_string())));
    }

    pub fn closes_watches(&self) {
        let lines = std::mem::take(&mut *self.inside.life.borrow().lines.borrow_mut());
        lines.into_iter().for_each(|l| drop(l.send("close".to_string())));
    }

    pub fn silences_new_watches(&self) {
        self.inside.new_silent.set(true);
    }

    /// Watches get signs of life and no change.
    pub fn keeps_changes_from_watches(&self) {
        self.inside.keeps_back.set(true);
    }

    pub fn watches_bring_half_for_ever(&self) {
        let life = self.inside.life.borrow();
        life.lines.borrow().iter().for_each(|l| drop(l.send("half for ever".to_string())));
    }

    /// The watches open now are an older life's: they go on with signs of life, and get only what is brought to them.
    pub fn orphans_watches(&self) {
        let before = self.inside.life.replace(Rc::default());
        *self.inside.orphans.borrow_mut() = before;
    }

    pub fn orphans_bring(&self, rev: u64, rows: Vec<Value>) {
        let line = text(rev, false, &rows);
        self.inside.orphans.borrow().lines.borrow().iter().for_each(|l| drop(l.send(line.clone())));
    }

    pub fn next_calls_are(&self, script: &[CallFault]) {
        self.inside.script.borrow_mut().extend(script);
    }

    /// While it is down it takes connections and says nothing to those that come, for ever.
    pub fn is_down(&self, down: bool) {
        self.inside.down.set(down);
    }

    /// It bears so many calls in a second, and refuses what comes beyond.
    pub fn bears(&self, calls: usize) {
        self.inside.bears.set(Some(calls));
    }

    pub fn refused(&self) -> usize {
        self.inside.refused.get()
    }

    /// The next look, as the list is when it is asked for.
    pub async fn holds_next_look(&self) -> HeldPoll {
        let (tell, told) = oneshot::channel();
        *self.inside.hold_look.borrow_mut() = Some(tell);
        told.await.expect("a look comes")
    }

    pub async fn until_watched(&self) {
        while self.watches() == 0 {
            self.inside.watched.notified().await;
        }
    }

    /// Watches and calls begun, connections open.
    pub fn watches(&self) -> usize {
        self.inside.watches.get()
    }

    pub fn calls(&self) -> usize {
        self.inside.calls.get()
    }

    pub fn open(&self) -> usize {
        self.inside.open.get()
    }
}

/// Nothing is said; it ends as the other side closes.
async fn hangs(mut stream: BufReader<TcpStream>) -> std::io::Result<()> {
    while stream.read(&mut [0; 64]).await? > 0 {}
    Ok(())
}

const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

async fn called(inside: &Rc<Inside>, stream: TcpStream) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    while stream.read_line(&mut line).await? > 2 && !line.ends_with("\r\n\r\n") {}
    inside.calls.set(inside.calls.get() + 1);
    let is_watch = line.contains("stream=1");
    if is_watch {
        inside.watches.set(inside.watches.get() + 1);
        inside.watched.notify_one();
    }
    if inside.overrun() {
        return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
    }
    let (rev, rows) = inside.held.borrow().clone();
    let body = text(rev, true, &rows);
    let held = if is_watch { None } else { inside.hold_look.borrow_mut().take() };
    if let Some(held) = held {
        let (go, gone) = oneshot::channel();
        let _ = held.send(HeldPoll(go));
        let _ = gone.await;
        return looked(&mut stream, &body).await;
    }
    if inside.down.get() {
        return hangs(stream).await;
    }
    let spoilt = inside.script.borrow_mut().pop_front();
    match spoilt {
        None if is_watch => watched(inside, stream, line, rev, body).await,
        None => looked(&mut stream, &body).await,
        Some(CallFault::Hangs) => hangs(stream).await,
        Some(CallFault::Refuses) => Ok(()),
        Some(CallFault::HeadOnly) => {
            stream.write_all(CHUNKED).await?;
            hangs(stream).await
        }
        Some(CallFault::Half) => {
            stream.write_all(CHUNKED).await?;
            stream.write_all(&chunk(&body[..body.len() / 2])).await?;
            hangs(stream).await
        }
        Some(CallFault::HalfForEver) => {
            stream.write_all(CHUNKED).await?;
            half_for_ever(&mut stream).await
        }
        Some(CallFault::Resets) => {
            stream.write_all(CHUNKED).await?;
            stream.get_ref().set_zero_linger()
        }
    }
}

async fn looked(stream: &mut BufReader<TcpStream>, body: &str) -> std::io::Result<()> {
    let head =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).await
}

async fn half_for_ever(stream: &mut BufReader<TcpStream>) -> std::io::Result<()> {
    stream.write_all(&chunk("{\"rev\":7,\"all\":true,\"targets\":[")).await?;
    loop {
        stream.write_all(&chunk("\n")).await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn watched(
    inside: &Rc<Inside>,
    mut stream: BufReader<TcpStream>,
    line: String,
    rev: u64,
    body: String,
) -> std::io::Result<()> {
    let index = line.split("index=").nth(1).and_then(|r| r.split([' ', '&']).next()?.parse::<u64>().ok());
    stream.write_all(CHUNKED).await?;
    if inside.new_silent.get() {
        return hangs(stream).await;
    }
    let (feed, mut fed) = unbounded_channel();
    inside.life.borrow().lines.borrow_mut().push(feed.clone());
    if index != Some(rev) && !inside.keeps_back.get() {
        let _ = feed.send(body);
    }
    drop(feed);
    loop {
        // A sign of life is due each 2 s.
        match tokio::time::timeout(Duration::from_secs(1), fed.recv()).await {
            Ok(Some(line)) if line == "silent" => return hangs(stream).await,
            Ok(Some(line)) if line == "close" => return Ok(()),
            Ok(Some(line)) if line == "half for ever" => return half_for_ever(&mut stream).await,
            Ok(Some(line)) => stream.write_all(&chunk(&(line + "\n"))).await?,
            Ok(None) => return hangs(stream).await,
            Err(_) => stream.write_all(&chunk("\n")).await?,
        }
    }
}

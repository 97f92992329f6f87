//! A stand-in for discovery with scripted faults.

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

/// Fault of one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFault {
    NoResponse,
    /// The connection is closed without a response.
    Close,
    StallAfterHead,
    /// Half of the list is sent and nothing after it.
    StallInBody,
    EndlessBody,
    ResetAfterHead,
}

/// The open watches of one incarnation.
#[derive(Default)]
struct WatchGroup {
    /// One sender per watch, for the lines to write to it.
    lines: RefCell<Vec<UnboundedSender<String>>>,
}

#[derive(Default)]
struct DiscoveryState {
    list: RefCell<(u64, Vec<Value>)>,
    /// The last changes sent to watches.
    last_changes: RefCell<String>,
    scripted_faults: RefCell<VecDeque<CallFault>>,
    is_down: Cell<bool>,
    up_notify: Notify,
    new_watches_silent: Cell<bool>,
    withholds_changes: Cell<bool>,
    current_watches: RefCell<Rc<WatchGroup>>,
    orphaned_watches: RefCell<Rc<WatchGroup>>,
    watch_count: Cell<usize>,
    call_count: Cell<usize>,
    open_connections: Cell<usize>,
    watch_opened: Notify,
    held_poll: RefCell<Option<oneshot::Sender<HeldPoll>>>,
    /// Largest number of calls per second that are answered; unlimited if `None`.
    capacity: Cell<Option<usize>>,
    /// Arrival times of the calls of the last second.
    recent_calls: RefCell<VecDeque<Instant>>,
    rejected_calls: Cell<usize>,
}

impl DiscoveryState {
    /// Counts a call and returns whether it exceeds the capacity. Rejected calls use capacity, too.
    fn exceeds_capacity(&self) -> bool {
        let Some(capacity) = self.capacity.get() else { return false };
        let mut recent_calls = self.recent_calls.borrow_mut();
        recent_calls.push_back(Instant::now());
        recent_calls.retain(|t| t.elapsed() < Duration::from_secs(1));
        let exceeds_capacity = recent_calls.len() > capacity;
        self.rejected_calls.set(self.rejected_calls.get() + usize::from(exceeds_capacity));
        exceeds_capacity
    }
}

/// A stand-in for discovery with scripted faults.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    state: Rc<DiscoveryState>,
}

/// A poll whose response the test releases. The response is the list as of the poll's arrival.
pub struct HeldPoll(oneshot::Sender<()>);

impl HeldPoll {
    pub fn release(self) {
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
        let state = Rc::new(DiscoveryState { list: RefCell::new((rev, rows)), ..DiscoveryState::default() });
        let shared = state.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = shared.clone();
                tokio::task::spawn_local(async move {
                    state.open_connections.set(state.open_connections.get() + 1);
                    let _ = handle_call(&state, stream).await;
                    state.open_connections.set(state.open_connections.get() - 1);
                });
            }
        });
        Ok(ScriptedDiscovery { address, state })
    }

    pub fn list(&self) -> Value {
        let list = self.state.list.borrow();
        json!({"rev": list.0, "all": true, "targets": list.1})
    }

    /// Replaces the list and sends nothing to watches.
    pub fn set_list_silently(&self, rev: u64, rows: Vec<Value>) {
        *self.state.list.borrow_mut() = (rev, rows);
    }

    /// Replaces the list and sends it to watches as changes, unless changes are withheld.
    pub fn set_list(&self, rev: u64, rows: Vec<Value>) {
        self.set_list_silently(rev, rows);
        if !self.state.withholds_changes.get() {
            self.send_changes(rev);
        }
    }

    /// Sends all rows of the list to the open watches as changes.
    pub fn send_changes(&self, rev: u64) {
        let line = text(rev, false, &self.state.list.borrow().1);
        self.state.current_watches.borrow().lines.borrow().iter().for_each(|l| drop(l.send(line.clone())));
    }

    /// Silences the open watches: they stay open, and nothing more is sent on them.
    pub fn silence_watches(&self) {
        let lines = std::mem::take(&mut *self.state.current_watches.borrow().lines.borrow_mut());
        // The senders are not just dropped, since that would end the watches.
        lines.into_iter().for_each(|l| drop(l.send("silent".to_string())));
    }

    pub fn close_watches(&self) {
        let lines = std::mem::take(&mut *self.state.current_watches.borrow().lines.borrow_mut());
        lines.into_iter().for_each(|l| drop(l.send("close".to_string())));
    }

    pub fn silence_new_watches(&self) {
        self.state.new_watches_silent.set(true);
    }

    /// From now on watches receive keep-alive lines but no changes.
    pub fn withhold_changes(&self) {
        self.state.withholds_changes.set(true);
    }

    pub fn send_endless_object(&self) {
        let current_watches = self.state.current_watches.borrow();
        current_watches.lines.borrow().iter().for_each(|l| drop(l.send("endless object".to_string())));
    }

    /// Assigns the open watches to an earlier incarnation. They still receive keep-alive lines, but no changes except
    /// those of `send_to_orphaned_watches`.
    pub fn orphan_watches(&self) {
        let orphaned = self.state.current_watches.replace(Rc::default());
        *self.state.orphaned_watches.borrow_mut() = orphaned;
    }

    pub fn send_to_orphaned_watches(&self, rev: u64, rows: Vec<Value>) {
        let line = text(rev, false, &rows);
        self.state.orphaned_watches.borrow().lines.borrow().iter().for_each(|l| drop(l.send(line.clone())));
    }

    pub fn script_calls(&self, scripted_faults: &[CallFault]) {
        self.state.scripted_faults.borrow_mut().extend(scripted_faults);
    }

    /// While it is down, connections are accepted and calls never get a response.
    pub fn set_down(&self, is_down: bool) {
        self.state.is_down.set(is_down);
    }

    /// Rejects calls beyond this number per second.
    pub fn set_capacity(&self, calls: usize) {
        self.state.capacity.set(Some(calls));
    }

    pub fn rejected_calls(&self) -> usize {
        self.state.rejected_calls.get()
    }

    /// Waits for the next poll and withholds its response.
    pub async fn hold_next_poll(&self) -> HeldPoll {
        let (poll_sender, poll_received) = oneshot::channel();
        *self.state.held_poll.borrow_mut() = Some(poll_sender);
        poll_received.await.expect("a poll arrives")
    }

    pub async fn wait_for_watch(&self) {
        while self.watch_count() == 0 {
            self.state.watch_opened.notified().await;
        }
    }

    /// Number of watches started so far.
    pub fn watch_count(&self) -> usize {
        self.state.watch_count.get()
    }

    pub fn call_count(&self) -> usize {
        self.state.call_count.get()
    }

    pub fn open_connections(&self) -> usize {
        self.state.open_connections.get()
    }
}

/// Sends nothing until the peer closes the connection.
async fn hang(mut stream: BufReader<TcpStream>) -> std::io::Result<()> {
    while stream.read(&mut [0; 64]).await? > 0 {}
    Ok(())
}

const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

async fn handle_call(state: &Rc<DiscoveryState>, stream: TcpStream) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    while stream.read_line(&mut line).await? > 2 && !line.ends_with("\r\n\r\n") {}
    state.call_count.set(state.call_count.get() + 1);
    let is_watch = line.contains("stream=1");
    if is_watch {
        state.watch_count.set(state.watch_count.get() + 1);
        state.watch_opened.notify_one();
    }
    if state.exceeds_capacity() {
        return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
    }
    let (rev, rows) = state.list.borrow().clone();
    let body = text(rev, true, &rows);
    let poll = if is_watch { None } else { state.held_poll.borrow_mut().take() };
    if let Some(poll) = poll {
        let (release_sender, release_received) = oneshot::channel();
        let _ = poll.send(HeldPoll(release_sender));
        let _ = release_received.await;
        return send_list(&mut stream, &body).await;
    }
    if state.is_down.get() {
        return hang(stream).await;
    }
    let fault = state.scripted_faults.borrow_mut().pop_front();
    match fault {
        None if is_watch => serve_watch(state, stream, line, rev, body).await,
        None => send_list(&mut stream, &body).await,
        Some(CallFault::NoResponse) => hang(stream).await,
        Some(CallFault::Close) => Ok(()),
        Some(CallFault::StallAfterHead) => {
            stream.write_all(CHUNKED).await?;
            hang(stream).await
        }
        Some(CallFault::StallInBody) => {
            stream.write_all(CHUNKED).await?;
            stream.write_all(&chunk(&body[..body.len() / 2])).await?;
            hang(stream).await
        }
        Some(CallFault::EndlessBody) => {
            stream.write_all(CHUNKED).await?;
            send_endless_body(&mut stream).await
        }
        Some(CallFault::ResetAfterHead) => {
            stream.write_all(CHUNKED).await?;
            stream.get_ref().set_zero_linger()
        }
    }
}

async fn send_list(stream: &mut BufReader<TcpStream>, body: &str) -> std::io::Result<()> {
    let head =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes()).await
}

async fn send_endless_body(stream: &mut BufReader<TcpStream>) -> std::io::Result<()> {
    stream.write_all(&chunk("{\"rev\":7,\"all\":true,\"targets\":[")).await?;
    loop {
        stream.write_all(&chunk("\n")).await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn serve_watch(
    state: &Rc<DiscoveryState>,
    mut stream: BufReader<TcpStream>,
    line: String,
    rev: u64,
    body: String,
) -> std::io::Result<()> {
    let index = line.split("index=").nth(1).and_then(|r| r.split([' ', '&']).next()?.parse::<u64>().ok());
    stream.write_all(CHUNKED).await?;
    if state.new_watches_silent.get() {
        return hang(stream).await;
    }
    let (line_sender, mut lines_to_send) = unbounded_channel();
    state.current_watches.borrow().lines.borrow_mut().push(line_sender.clone());
    if index != Some(rev) && !state.withholds_changes.get() {
        let _ = line_sender.send(body);
    }
    drop(line_sender);
    loop {
        // The protocol requires a keep-alive line every 2 s.
        match tokio::time::timeout(Duration::from_secs(1), lines_to_send.recv()).await {
            Ok(Some(line)) if line == "silent" => return hang(stream).await,
            Ok(Some(line)) if line == "close" => return Ok(()),
            Ok(Some(line)) if line == "endless object" => return send_endless_body(&mut stream).await,
            Ok(Some(line)) => stream.write_all(&chunk(&(line + "\n"))).await?,
            Ok(None) => return hang(stream).await,
            Err(_) => stream.write_all(&chunk("\n")).await?,
        }
    }
}

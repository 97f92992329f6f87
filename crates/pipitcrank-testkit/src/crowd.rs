//! A crowd of hostile clients: each opens a connection, misuses it as its behaviour says, and connects again once the
//! connection has ended.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::client::connect;

/// Length of the body of which `HalfBody` withholds the end; the protocol allows 64 KiB.
const HALF_BODY_BYTES: usize = 64 * 1024;
/// Bytes of that body that are withheld.
const WITHHELD_BYTES: usize = 512;
/// Length of the body of `SlowBody`.
const SLOW_BODY_BYTES: usize = 16 * 1024;
/// Length of each write of `SlowBody`.
const SLOW_PIECE_BYTES: usize = 64;
/// Pause between two writes of `SlowBody`.
const SLOW_PIECE_PAUSE: Duration = Duration::from_millis(6);
/// Number of header fields that `ManyFields` sends.
const FIELDS: usize = 3000;
/// Number of header fields in each write of `ManyFields`.
const FIELDS_PER_WRITE: usize = 100;
/// Pause between two writes of `ManyFields`.
const FIELDS_PAUSE: Duration = Duration::from_millis(10);
/// Length of the body of `OversizedBody`, which no server accepts.
const OVERSIZED_BODY_BYTES: usize = 8 << 20;
/// Longest wait for a response or a close.
const RESPONSE_WAIT: Duration = Duration::from_secs(4);
/// Pause after a connection that failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// What a client of a crowd does on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdBehavior {
    /// Connects and sends nothing.
    Silent,
    /// Sends a body of the largest accepted size except for its end.
    HalfBody,
    /// Sends a body in small pieces with pauses, and withholds its end.
    SlowBody,
    /// Like `SlowBody`, with each piece in a chunk of its own.
    SlowChunks,
    /// Sends a head of very many short fields, which does not end.
    ManyFields,
    /// Sends a body that is far too large, at full speed.
    OversizedBody,
}

impl CrowdBehavior {
    /// All behaviours.
    pub const ALL: [CrowdBehavior; 6] = [
        CrowdBehavior::Silent,
        CrowdBehavior::HalfBody,
        CrowdBehavior::SlowBody,
        CrowdBehavior::SlowChunks,
        CrowdBehavior::ManyFields,
        CrowdBehavior::OversizedBody,
    ];
}

/// Clients that misuse their connections until they are stopped. They run on a thread of their own, so that they do not
/// delay other stand-ins.
pub struct Crowd {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `count` clients of the co-ordinator at `address`, with the behaviours in turn.
    pub fn start(address: SocketAddr, behaviors: &[CrowdBehavior], count: usize) -> Crowd {
        let (stop, stopped) = oneshot::channel();
        let behaviors = behaviors.to_vec();
        let thread = std::thread::spawn(move || run_clients(address, &behaviors, count, stopped));
        Crowd { stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for Crowd {
    /// Stops all clients and closes their connections.
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs the clients until the crowd is stopped.
fn run_clients(
    address: SocketAddr,
    behaviors: &[CrowdBehavior],
    count: usize,
    stopped: oneshot::Receiver<()>,
) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut clients = JoinSet::new();
        for n in 0..count {
            clients.spawn_local(misuse_repeatedly(address, behaviors[n % behaviors.len()], n));
        }
        let _ = stopped.await;
    });
}

/// Misuses one connection after another.
async fn misuse_repeatedly(address: SocketAddr, behavior: CrowdBehavior, client: usize) {
    for round in 0.. {
        if misuse_connection(address, behavior, &format!("crowd-{client}-{round}")).await.is_err() {
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }
}

/// Opens a connection, misuses it and waits until the server ends it.
async fn misuse_connection(address: SocketAddr, behavior: CrowdBehavior, id: &str) -> std::io::Result<()> {
    let mut stream = connect(address).await?;
    let head = format!("POST /view HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 4000\r\n");
    match behavior {
        CrowdBehavior::Silent => {}
        CrowdBehavior::HalfBody => {
            stream.write_all(format!("{head}Content-Length: {HALF_BODY_BYTES}\r\n\r\n").as_bytes()).await?;
            stream.write_all(&vec![b'x'; HALF_BODY_BYTES - WITHHELD_BYTES]).await?;
        }
        CrowdBehavior::SlowBody => {
            stream.write_all(format!("{head}Content-Length: {SLOW_BODY_BYTES}\r\n\r\n").as_bytes()).await?;
            write_slowly(&mut stream, &[b'x'; SLOW_PIECE_BYTES]).await?;
        }
        CrowdBehavior::SlowChunks => {
            stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).await?;
            let chunk = format!("{SLOW_PIECE_BYTES:x}\r\n{}\r\n", "x".repeat(SLOW_PIECE_BYTES));
            write_slowly(&mut stream, chunk.as_bytes()).await?;
        }
        CrowdBehavior::ManyFields => {
            stream.write_all(head.as_bytes()).await?;
            for _ in 0..FIELDS / FIELDS_PER_WRITE {
                stream.write_all("a:b\r\n".repeat(FIELDS_PER_WRITE).as_bytes()).await?;
                tokio::time::sleep(FIELDS_PAUSE).await;
            }
        }
        CrowdBehavior::OversizedBody => {
            let head = format!("{head}Content-Length: {OVERSIZED_BODY_BYTES}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let piece = [b'x'; 16 * 1024];
            for _ in 0..OVERSIZED_BODY_BYTES / piece.len() {
                stream.write_all(&piece).await?;
            }
        }
    }
    let _ = tokio::time::timeout(RESPONSE_WAIT, stream.read(&mut [0; 256])).await;
    Ok(())
}

/// Writes all pieces of a slow body but the last one.
async fn write_slowly(stream: &mut TcpStream, piece: &[u8]) -> std::io::Result<()> {
    for _ in 1..SLOW_BODY_BYTES / SLOW_PIECE_BYTES {
        stream.write_all(piece).await?;
        tokio::time::sleep(SLOW_PIECE_PAUSE).await;
    }
    Ok(())
}

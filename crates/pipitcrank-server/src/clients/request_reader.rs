//! The stream from which the HTTP library reads a client's requests. It withholds the bytes after the current request.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

use super::client_connections::{ClientConnection, ConnectionPhase};
use super::head_tracker::HeadTracker;
use crate::runtime::memory_budget::MemoryBudget;
use crate::runtime::stream::{Expects, Stream};

/// Bytes after a request that are discarded without a pause. A client that sends endlessly must not starve others of CPU
/// time, and its close, which comes after all of these bytes, has to be detected soon.
pub const DISCARD_CHUNK_BYTES: usize = 1 << 20;
/// Bytes that the HTTP library is given at a time: half of its initial buffer, which grows when it is filled.
const MAX_READ_BYTES: usize = 4 * 1024;
/// Part of a head that the memory of a connection includes.
const INCLUDED_HEAD_BYTES: usize = 8 * 1024;
/// Pause after each discarded chunk.
pub const DISCARD_PAUSE: Duration = Duration::from_millis(1);

/// The stream that the HTTP library reads and writes.
pub struct RequestReader {
    stream: Rc<Stream>,
    connection: Rc<ClientConnection>,
    heads: Rc<RefCell<HeadTracker>>,
    /// Bytes that another process had read from the connection; they are returned before any others.
    unread: Bytes,
    /// Whether the client has closed its sending side.
    closed: bool,
    /// Bytes after the current request that were discarded since the last pause.
    discarded: usize,
    /// The running pause, if any.
    pause: Option<Pin<Box<Sleep>>>,
    /// Limits the memory of long heads.
    memory: MemoryBudget,
}

impl RequestReader {
    /// Creates a reader of the connection that first returns `unread`.
    pub fn new(
        stream: Rc<Stream>,
        connection: Rc<ClientConnection>,
        heads: Rc<RefCell<HeadTracker>>,
        unread: Bytes,
        memory: MemoryBudget,
    ) -> RequestReader {
        RequestReader { stream, connection, heads, unread, closed: false, discarded: 0, pause: None, memory }
    }

    /// Whether the client has closed its sending side.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// The bytes received from another process that the HTTP library has not read.
    pub fn into_unread(self) -> Bytes {
        self.unread
    }

    fn poll_some(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.unread.is_empty() {
            let may_be_incomplete = self.heads.borrow().may_be_incomplete();
            let expects = if may_be_incomplete { Expects::More } else { Expects::Nothing };
            return self.stream.poll_read_some(cx, &mut buf.limit(MAX_READ_BYTES), expects).map_ok(drop);
        }
        let n = buf.remaining().min(self.unread.len()).min(MAX_READ_BYTES);
        buf.put_slice(&self.unread[..n]);
        self.unread.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for RequestReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        loop {
            let room = buf.remaining().min(MAX_READ_BYTES);
            ready!(self.poll_some(cx, buf))?;
            let received = &buf.filled()[before..];
            self.closed |= received.is_empty();
            if received.is_empty() {
                return Poll::Ready(Ok(()));
            }
            if matches!(self.connection.phase(), ConnectionPhase::New | ConnectionPhase::Idle) {
                self.connection.set_phase(ConnectionPhase::Reading, Instant::now());
            }
            self.connection.record_read(Instant::now());
            let (all, own) = (received.len(), self.heads.borrow_mut().push(received));
            // A read that was cut off may have left bytes of the tail unread.
            if self.heads.borrow().is_complete() && (own < all || all == room) {
                self.connection.record_tail(Instant::now());
            }
            buf.set_filled(before + own);
            let is_long = self.heads.borrow().head_bytes() > INCLUDED_HEAD_BYTES;
            if is_long && !self.connection.hold_head_memory(&self.memory) {
                buf.set_filled(before);
                self.connection.shed();
                return Poll::Pending;
            }
            if own > 0 {
                self.discarded = all - own;
                return Poll::Ready(Ok(()));
            }
            // The HTTP library stops reading while it holds bytes that it can't process yet, and would miss the client's close.
            self.discarded += all;
            if self.discarded > DISCARD_CHUNK_BYTES {
                self.discarded = 0;
                self.pause = Some(Box::pin(sleep(DISCARD_PAUSE)));
            }
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(cx));
                self.pause = None;
            }
        }
    }
}

impl AsyncWrite for RequestReader {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.stream.poll_write_some(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream.poll_write_pieces(cx, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written everything.
        self.connection.set_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shut_down())
    }
}

//! The stream from which the HTTP library reads a client's requests. It detects where a request begins and how its head frames
//! the body, which the library does not expose.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

use super::client_connections::{ClientConnection, ConnectionPhase};
use crate::runtime::stream::{Expects, Stream};

/// Bytes after a request that are discarded without a pause. A client that sends endlessly must not starve others of CPU
/// time, and its close, which comes after all of these bytes, has to be detected soon.
pub const DISCARD_CHUNK_BYTES: usize = 1 << 20;
/// Pause after each discarded chunk.
pub const DISCARD_PAUSE: Duration = Duration::from_millis(1);

/// How the end of a request's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`, in bytes; 0 for a request without a body.
    Length(u64),
    /// `Transfer-Encoding`.
    Chunked,
    /// Both headers are present, so two parsers may disagree about the end of the request.
    Ambiguous,
}

/// Parses the framing of request heads independently of the HTTP library.
pub struct HeadTracker {
    max_head_bytes: usize,
    /// The part of the head received so far; emptied once the head is complete.
    head: Vec<u8>,
    /// Framing of the current request, once its head is complete.
    framing: Option<Framing>,
    /// Bytes of the body not yet received, if its length is known.
    body_left: u64,
    /// Whether bytes arrived after the request: a pipelined request, or a body longer than its `Content-Length`.
    has_trailing_bytes: bool,
}

impl HeadTracker {
    /// Creates a tracker for heads of up to `max_head_bytes`; the HTTP library rejects longer ones.
    pub fn new(max_head_bytes: usize) -> HeadTracker {
        HeadTracker {
            max_head_bytes,
            head: Vec::new(),
            framing: None,
            body_left: 0,
            has_trailing_bytes: false,
        }
    }

    /// Consumes received bytes; returns how many of them belong to the current request. Bytes after the request are never used.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut own = 0;
        if self.framing.is_none() {
            let before = self.head.len();
            let room = (self.max_head_bytes - before).min(bytes.len());
            self.head.extend_from_slice(&bytes[..room]);
            let Some(end) = end_of_head(&self.head) else { return bytes.len() };
            own = end - before;
            let framing = framing(&self.head[..end]);
            self.body_left = if let Framing::Length(length) = framing { length } else { 0 };
            self.framing = Some(framing);
            self.head = Vec::new();
        }
        let Some(Framing::Length(_)) = self.framing else { return bytes.len() };
        let of_body = self.body_left.min((bytes.len() - own) as u64);
        self.body_left -= of_body;
        own += of_body as usize;
        self.has_trailing_bytes |= bytes.len() > own;
        own
    }

    /// Whether the whole request has been received; false for a chunked body, whose end is not tracked here.
    fn is_complete(&self) -> bool {
        matches!(self.framing, Some(Framing::Length(_))) && self.body_left == 0
    }

    /// Whether a request has begun and may be incomplete.
    pub fn may_be_incomplete(&self) -> bool {
        !self.head.is_empty() || self.framing.is_some() && !self.is_complete()
    }

    /// Framing of the current request, once its head is complete.
    pub fn framing(&self) -> Option<Framing> {
        self.framing
    }

    /// Whether the connection may carry another request. The current request must be known to be complete, with no bytes after
    /// it, so that the next head is tracked from its first byte.
    pub fn allows_next_request(&self) -> bool {
        self.is_complete() && !self.has_trailing_bytes
    }

    /// Starts tracking the next request, after the current one was answered.
    pub fn reset(&mut self) {
        *self = HeadTracker::new(self.max_head_bytes);
    }
}

/// Position after the empty line that ends a head. Empty lines before the request line are skipped.
fn end_of_head(bytes: &[u8]) -> Option<usize> {
    let start = bytes.iter().position(|b| !b"\r\n".contains(b))?;
    let mut line = start;
    while let Some(n) = bytes[line..].iter().position(|&b| b == b'\n') {
        let end = line + n;
        if bytes[line..end].trim_ascii().is_empty() {
            return Some(end + 1);
        }
        line = end + 1;
    }
    None
}

fn framing(head: &[u8]) -> Framing {
    let (mut length, mut chunked) = (None, false);
    for line in head.split(|&b| b == b'\n') {
        let Some(colon) = line.iter().position(|&b| b == b':') else { continue };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
            length = Some(value.unwrap_or(u64::MAX));
        }
        chunked |= name.eq_ignore_ascii_case(b"transfer-encoding");
    }
    match (length, chunked) {
        (Some(_), true) => Framing::Ambiguous,
        (None, true) => Framing::Chunked,
        (length, false) => Framing::Length(length.unwrap_or(0)),
    }
}

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
}

impl RequestReader {
    /// Creates a reader of the connection that first returns `unread`.
    pub fn new(
        stream: Rc<Stream>,
        connection: Rc<ClientConnection>,
        heads: Rc<RefCell<HeadTracker>>,
        unread: Bytes,
    ) -> RequestReader {
        RequestReader { stream, connection, heads, unread, closed: false, discarded: 0, pause: None }
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
            return self.stream.poll_read_some(cx, buf, expects).map_ok(drop);
        }
        let n = buf.remaining().min(self.unread.len());
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
            ready!(self.poll_some(cx, buf))?;
            let received = &buf.filled()[before..];
            self.closed |= received.is_empty();
            if received.is_empty() {
                return Poll::Ready(Ok(()));
            }
            if matches!(self.connection.phase(), ConnectionPhase::New | ConnectionPhase::Idle) {
                self.connection.set_phase(ConnectionPhase::Reading, Instant::now());
            }
            let (all, own) = (received.len(), self.heads.borrow_mut().push(received));
            buf.set_filled(before + own);
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

#[cfg(test)]
mod tests;

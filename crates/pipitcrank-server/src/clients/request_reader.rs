//! The stream of one client's connection as HTTP is read from it: it notes when a request begins and how its head frames the
//! body, which the HTTP library does not tell.

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

/// Bytes behind a request that are discarded in one go: a client that sends without end must not cost others the processor,
/// and its close has to be found behind all of it soon.
pub const DISCARD_PIECE: usize = 1 << 20;
/// Pause after each such piece.
pub const DISCARD_PAUSE: Duration = Duration::from_millis(1);

/// How a request says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length in bytes; 0 where it has no body.
    Length(u64),
    /// By chunks.
    Chunked,
    /// Both ways at once, so that two readers may not agree on what is one request.
    Ambiguous,
}

/// Follows the heads of requests beside the HTTP library.
pub struct HeadTracker {
    max_head: usize,
    /// The head as far as it has come; emptied once whole.
    head: Vec<u8>,
    /// Of a whole head: how its request is framed.
    framing: Option<Framing>,
    /// Bytes of the body that are still to come, where its length is known.
    body_left: u64,
    /// Something came behind the request: a next one before the answer, or a length that does not fit.
    has_more: bool,
}

impl HeadTracker {
    /// Heads longer than so many bytes are not followed: the library refuses them.
    pub fn new(max_head: usize) -> HeadTracker {
        HeadTracker { max_head, head: Vec::new(), framing: None, body_left: 0, has_more: false }
    }

    /// Follows bytes that came; returns how many of them are of the present request. What is behind it is never used.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut own = 0;
        if self.framing.is_none() {
            let before = self.head.len();
            let room = (self.max_head - before).min(bytes.len());
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
        self.has_more |= bytes.len() > own;
        own
    }

    /// Whether it is known that the request has come whole.
    fn is_whole(&self) -> bool {
        matches!(self.framing, Some(Framing::Length(_))) && self.body_left == 0
    }

    /// Whether a request has begun and is not known to be whole.
    pub fn awaits_rest(&self) -> bool {
        !self.head.is_empty() || self.framing.is_some() && !self.is_whole()
    }

    /// How the present request is framed, once its head is whole.
    pub fn framing(&self) -> Option<Framing> {
        self.framing
    }

    /// Whether another request may follow on the connection: only where it is known that this one has come whole and none has
    /// begun behind it, so that each head is seen from its first byte.
    pub fn may_follow(&self) -> bool {
        self.is_whole() && !self.has_more
    }

    /// The request was answered; what comes now is the next one.
    pub fn next(&mut self) {
        *self = HeadTracker::new(self.max_head);
    }
}

/// Position behind the empty line that ends a head. Empty lines before a request are not its end.
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
    /// What another process had read from the connection: it comes before all else.
    unread: Bytes,
    /// The client has closed its side.
    closed: bool,
    /// Bytes behind the present request that were discarded since the last pause.
    discarded: usize,
    /// The pause under way.
    pause: Option<Pin<Box<Sleep>>>,
}

impl RequestReader {
    /// A reader of that connection, that begins with bytes read from it before.
    pub fn new(
        stream: Rc<Stream>,
        connection: Rc<ClientConnection>,
        heads: Rc<RefCell<HeadTracker>>,
        unread: Bytes,
    ) -> RequestReader {
        RequestReader { stream, connection, heads, unread, closed: false, discarded: 0, pause: None }
    }

    /// Whether the client has closed its side.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// What another process had read and the library has not.
    pub fn into_unread(self) -> Bytes {
        self.unread
    }

    fn poll_some(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.unread.is_empty() {
            let awaits_rest = self.heads.borrow().awaits_rest();
            let expects = if awaits_rest { Expects::More } else { Expects::Nothing };
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
            let came = &buf.filled()[before..];
            self.closed |= came.is_empty();
            if came.is_empty() {
                return Poll::Ready(Ok(()));
            }
            if matches!(self.connection.phase(), ConnectionPhase::New | ConnectionPhase::Idle) {
                self.connection.set_phase(ConnectionPhase::Reading, Instant::now());
            }
            let (all, own) = (came.len(), self.heads.borrow_mut().push(came));
            buf.set_filled(before + own);
            if own > 0 {
                self.discarded = all - own;
                return Poll::Ready(Ok(()));
            }
            // The library reads no further where it has bytes that it can't use yet, and would miss the client's close.
            self.discarded += all;
            if self.discarded > DISCARD_PIECE {
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
        // The library flushes once all that there was to write has been written.
        self.connection.set_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shut_down())
    }
}

#[cfg(test)]
mod tests;

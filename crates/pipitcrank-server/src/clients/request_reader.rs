//! The stream of one client's connection as HTTP is read from it: it notes when a request begins and how its head
//! says the body is framed, which the HTTP library does not tell.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

use crate::clients::client_connections::{ClientConnection, ConnectionPhase};
use crate::runtime::stream::{Expects, Stream};

/// How a request says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length, or it has no body.
    Length(u64),
    Chunked,
    /// Both ways at once, so that two readers may not agree on what is one request.
    Mixed,
}

/// Reads the bytes of a connection beside the HTTP library.
pub struct HeadTracker {
    longest: usize,
    /// The head as far as it has come; emptied once whole.
    head: Vec<u8>,
    /// Of a whole head: how it is framed, and what of its body is still to come.
    framing: Option<Framing>,
    left: u64,
    /// Something came behind the request: a next one before the answer, or a length that does not fit.
    more: bool,
}

impl HeadTracker {
    pub fn new(longest: usize) -> HeadTracker {
        HeadTracker { longest, head: Vec::new(), framing: None, left: 0, more: false }
    }

    /// How many of the bytes that came are of the request at hand; what stands behind it is never used.
    pub fn see(&mut self, bytes: &[u8]) -> usize {
        let mut own = 0;
        if self.framing.is_none() {
            let before = self.head.len();
            let room = (self.longest - before).min(bytes.len());
            self.head.extend_from_slice(&bytes[..room]);
            let Some(end) = end_of_head(&self.head) else { return bytes.len() };
            own = end - before;
            let framing = framing(&self.head[..end]);
            self.left = if let Framing::Length(left) = framing { left } else { 0 };
            self.framing = Some(framing);
            self.head = Vec::new();
        }
        let Some(Framing::Length(_)) = self.framing else { return bytes.len() };
        let of_body = self.left.min((bytes.len() - own) as u64);
        self.left -= of_body;
        own += of_body as usize;
        self.more |= bytes.len() > own;
        own
    }

    /// It is known that the request has come whole.
    pub fn whole(&self) -> bool {
        matches!(self.framing, Some(Framing::Length(_))) && self.left == 0
    }

    /// A request has begun, and is not known to be whole.
    pub fn awaits_rest(&self) -> bool {
        !self.head.is_empty() || self.framing.is_some() && !self.whole()
    }

    /// How the request at hand is framed, once its head is whole.
    pub fn framing(&self) -> Option<Framing> {
        self.framing
    }

    /// Whether another request may follow on the connection: only where it is known that this one has come whole
    /// and none has begun behind it, so that each head is seen from its first byte.
    pub fn may_follow(&self) -> bool {
        self.whole() && !self.more
    }

    /// The request was answered; what comes now is the next one.
    pub fn next(&mut self) {
        *self = HeadTracker::new(self.longest);
    }
}

/// Behind the empty line that ends a head. Lines before a request that are empty are not its end.
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
        (Some(_), true) => Framing::Mixed,
        (None, true) => Framing::Chunked,
        (length, false) => Framing::Length(length.unwrap_or(0)),
    }
}

pub struct RequestReader {
    pub stream: Rc<Stream>,
    pub connection: Rc<ClientConnection>,
    pub heads: Rc<std::cell::RefCell<HeadTracker>>,
    /// The client has closed its side.
    pub ended: bool,
    /// What another process had read from it: comes before all else.
    pub before: Bytes,
    /// Bytes thrown away that came behind the request at hand, since the last pause.
    pub behind: usize,
    /// The pause under way.
    pub pause: Option<Pin<Box<Sleep>>>,
}

/// So much of what stands behind a request is thrown away in one go, then others get their turns: a client that sends
/// without end must not cost them the processor, and its own close has to be found behind all of it soon.
pub const BEHIND_PIECE: usize = 1 << 20;
pub const BEHIND_PAUSE: Duration = Duration::from_millis(1);

impl RequestReader {
    /// Takes bytes from before, or from the connection.
    fn poll_some(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.before.is_empty() {
            let begun = self.heads.borrow().awaits_rest();
            let expects = if begun { Expects::More } else { Expects::Nothing };
            return self.stream.poll_read_some(cx, buf, expects).map_ok(drop);
        }
        let n = buf.remaining().min(self.before.len());
        buf.put_slice(&self.before[..n]);
        self.before.advance(n);
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
            self.ended |= came.is_empty();
            if came.is_empty() {
                return Poll::Ready(Ok(()));
            }
            if matches!(self.connection.doing(), ConnectionPhase::Silent | ConnectionPhase::Idle) {
                self.connection.turns_to(ConnectionPhase::Begun, Instant::now());
            }
            let (all, own) = (came.len(), self.heads.borrow_mut().see(came));
            buf.set_filled(before + own);
            if own > 0 {
                self.behind = all - own;
                return Poll::Ready(Ok(()));
            }
            // Guards against a client that has closed and is not seen to: the library reads no further where it has bytes
            // that it can't use yet.
            self.behind += all;
            if self.behind > BEHIND_PIECE {
                self.behind = 0;
                self.pause = Some(Box::pin(sleep(BEHIND_PAUSE)));
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
        // Called once all that there was to write has been written.
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shut_down())
    }
}

#[cfg(test)]
mod tests;

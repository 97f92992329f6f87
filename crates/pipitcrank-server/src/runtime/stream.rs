//! The one stream type of all TCP connections: to clients, replicas and the discovery service. It reads and writes until the
//! system reports that it would block, and repeats an interrupted call.
//!
//! The runtime's own stream takes a read that brought less than it asked for as a sign that nothing is left, and a write
//! likewise, and then waits for the system to report readiness. The system does not report again what was there already:
//! where a read was cut short for another reason, the rest would lie unread. Reading once more after each short read would
//! cost a system call for every message, and most messages end with a short read. So that read is made some milliseconds
//! later, and only while something more is expected.

use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BufMut;
use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// A TCP connection.
pub struct Stream {
    tcp: TcpStream,
    /// The last read was short: there may be more of which the system reports nothing.
    may_have_more: Cell<bool>,
    /// Timer of the read that is made without readiness; kept for the next one.
    recheck: RefCell<Option<Pin<Box<Sleep>>>>,
    /// Whether that timer runs.
    rechecking: Cell<bool>,
}

/// Time from a short read to the read that is made without readiness.
const RECHECK: Duration = Duration::from_millis(4);

/// Most bytes that a read without readiness takes.
const MAX_RECHECK_READ: usize = 16 * 1024;

/// Whether more is to come for which somebody waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expects {
    /// The rest of a message, or an answer.
    More,
    /// What was read is whole. A close is reported all the same.
    Nothing,
}

/// Whether the call is to be repeated: at once, or once the system reports readiness.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl Stream {
    /// Wraps a connection; small writes go out at once from now on.
    pub fn new(tcp: TcpStream) -> Stream {
        let _ = tcp.set_nodelay(true);
        Stream {
            tcp,
            may_have_more: Cell::default(),
            recheck: RefCell::default(),
            rechecking: Cell::default(),
        }
    }

    /// The connection itself.
    pub fn into_tcp(self) -> TcpStream {
        self.tcp
    }

    /// Reads; 0 bytes where the peer has closed, or the buffer is full.
    pub fn poll_read_some(
        &self,
        cx: &mut Context<'_>,
        buf: &mut impl BufMut,
        expects: Expects,
    ) -> Poll<io::Result<usize>> {
        loop {
            let ready = self.tcp.poll_read_ready(cx)?.is_ready();
            if !ready {
                ready!(self.poll_recheck(cx, expects));
            }
            let room = buf.chunk_mut().len();
            let read =
                if ready { self.tcp.try_read_buf(buf) } else { self.read_without_readiness(buf, room) };
            match read {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.may_have_more.set(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => self.may_have_more.set(true),
                Ok(n) if 0 < n && n < room => {
                    self.may_have_more.set(true);
                    self.clear_readiness();
                    return Poll::Ready(Ok(n));
                }
                read => return Poll::Ready(read),
            }
        }
    }

    /// Reads as `poll_read_some` does.
    pub async fn read_some(&self, buf: &mut impl BufMut, expects: Expects) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_read_some(cx, buf, expects)).await
    }

    /// Ready once it is time for a read without readiness.
    fn poll_recheck(&self, cx: &mut Context<'_>, expects: Expects) -> Poll<()> {
        if !self.may_have_more.get() || expects == Expects::Nothing {
            self.rechecking.set(false);
            return Poll::Pending;
        }
        let mut recheck = self.recheck.borrow_mut();
        let sleeping = recheck.get_or_insert_with(|| Box::pin(sleep(RECHECK)));
        if !self.rechecking.replace(true) {
            sleeping.as_mut().reset(Instant::now() + RECHECK);
        }
        ready!(sleeping.as_mut().poll(cx));
        self.rechecking.set(false);
        Poll::Ready(())
    }

    /// Reads although the system has reported nothing.
    fn read_without_readiness(&self, buf: &mut impl BufMut, room: usize) -> io::Result<usize> {
        let mut bytes = vec![0; room.min(MAX_RECHECK_READ)];
        let n = (&*socket2::SockRef::from(&self.tcp)).read(&mut bytes)?;
        buf.put_slice(&bytes[..n]);
        Ok(n)
    }

    /// No read is tried until the system reports readiness again.
    fn clear_readiness(&self) {
        let _ =
            self.tcp.try_io(Interest::READABLE, || io::Result::<()>::Err(io::ErrorKind::WouldBlock.into()));
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.tcp.poll_write_ready(cx))?;
            match write() {
                Err(e) if is_retryable(&e) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Writes some of the bytes.
    pub fn poll_write_some(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, || self.tcp.try_write(bytes))
    }

    /// Writes some of the pieces, in one call.
    pub fn poll_write_pieces(
        &self,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, || self.tcp.try_write_vectored(pieces))
    }

    /// Writes all of the bytes.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match std::future::poll_fn(|cx| self.poll_write_some(cx, bytes)).await? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                n => bytes = &bytes[n..],
            }
        }
        Ok(())
    }

    /// Writes once, as far as it goes; an error of the kind `WouldBlock` where nothing can be written now.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match self.tcp.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                written => return written,
            }
        }
    }

    /// Ends once something can be written.
    pub async fn writable(&self) -> io::Result<()> {
        self.tcp.writable().await
    }

    /// Closes this side's direction.
    pub fn shut_down(&self) -> io::Result<()> {
        socket2::SockRef::from(&self.tcp).shutdown(Shutdown::Write)
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.poll_read_some(cx, buf, Expects::More).map_ok(drop)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_some(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_pieces(cx, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shut_down())
    }
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

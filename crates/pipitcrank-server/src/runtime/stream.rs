//! The stream type of all TCP connections: to clients, replicas and the discovery service. It reads and writes until the kernel
//! reports that the call would block, and retries interrupted calls.
//!
//! tokio's `TcpStream` takes a short read or write as a sign that the socket is not ready, and then waits for the next
//! readiness event. The kernel reports no new event for data that was already there, so if a read was short for another
//! reason, the rest would stay unread. Another read after each short one would cost a system call per message, since most
//! messages end with a short read. This type makes that read some milliseconds later, and only while more data is expected.

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
    /// Whether the last read was short, so that there may be more data without a readiness event.
    may_have_more: Cell<bool>,
    /// Timer of the next read without a readiness event; reused.
    recheck: RefCell<Option<Pin<Box<Sleep>>>>,
    /// Whether the recheck timer is running.
    rechecking: Cell<bool>,
}

/// Time from a short read to the read without a readiness event.
const RECHECK_DELAY: Duration = Duration::from_millis(4);

/// Limit of a read without a readiness event.
const MAX_RECHECK_READ_BYTES: usize = 16 * 1024;

/// Bytes that are read and discarded at a time.
const DISCARD_BUFFER_BYTES: usize = 64 * 1024;

thread_local! {
    /// Buffer of discarded bytes, shared by all connections: hundreds of them may discard at the same time.
    static DISCARDED: RefCell<Vec<u8>> = RefCell::new(Vec::with_capacity(DISCARD_BUFFER_BYTES));
}

/// Whether the reader waits for more data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expects {
    /// The rest of a message or an answer is outstanding.
    More,
    /// All messages are complete. A close by the peer is reported nevertheless.
    Nothing,
}

/// Whether the call should be retried, at once or after the next readiness event.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl Stream {
    /// Wraps a connection, and disables Nagle's algorithm on it.
    pub fn new(tcp: TcpStream) -> Stream {
        let _ = tcp.set_nodelay(true);
        Stream {
            tcp,
            may_have_more: Cell::default(),
            recheck: RefCell::default(),
            rechecking: Cell::default(),
        }
    }

    /// Returns the wrapped connection.
    pub fn into_tcp(self) -> TcpStream {
        self.tcp
    }

    /// Reads some bytes; 0 means that the peer has closed or the buffer is full.
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

    /// Async version of [`Stream::poll_read_some`].
    pub async fn read_some(&self, buf: &mut impl BufMut, expects: Expects) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_read_some(cx, buf, expects)).await
    }

    /// Reads some bytes and discards them; returns 0 when the peer has closed. More bytes are expected.
    pub async fn discard_some(&self) -> io::Result<usize> {
        std::future::poll_fn(|cx| {
            DISCARDED.with_borrow_mut(|buffer| {
                buffer.clear();
                self.poll_read_some(cx, buffer, Expects::More)
            })
        })
        .await
    }

    /// Ready when a read without a readiness event is due.
    fn poll_recheck(&self, cx: &mut Context<'_>, expects: Expects) -> Poll<()> {
        if !self.may_have_more.get() || expects == Expects::Nothing {
            self.rechecking.set(false);
            return Poll::Pending;
        }
        let mut recheck = self.recheck.borrow_mut();
        let sleeping = recheck.get_or_insert_with(|| Box::pin(sleep(RECHECK_DELAY)));
        if !self.rechecking.replace(true) {
            sleeping.as_mut().reset(Instant::now() + RECHECK_DELAY);
        }
        ready!(sleeping.as_mut().poll(cx));
        self.rechecking.set(false);
        Poll::Ready(())
    }

    /// Reads without a readiness event.
    fn read_without_readiness(&self, buf: &mut impl BufMut, room: usize) -> io::Result<usize> {
        let mut bytes = vec![0; room.min(MAX_RECHECK_READ_BYTES)];
        let n = (&*socket2::SockRef::from(&self.tcp)).read(&mut bytes)?;
        buf.put_slice(&bytes[..n]);
        Ok(n)
    }

    /// Suspends reads until the next readiness event.
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

    /// Writes some bytes of the buffers, in one system call.
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

    /// Writes as many bytes as possible without waiting; fails with `WouldBlock` if nothing can be written now.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match self.tcp.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                written => return written,
            }
        }
    }

    /// Completes once something can be written.
    pub async fn writable(&self) -> io::Result<()> {
        self.tcp.writable().await
    }

    /// Completes once the peer has shut down its sending side or closed, however many bytes before that are unread.
    pub async fn closed_by_peer(&self) {
        // Readiness for urgent data is never reported, so this waits for the close alone.
        while let Ok(ready) = self.tcp.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
        }
    }

    /// Shuts down the sending side.
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

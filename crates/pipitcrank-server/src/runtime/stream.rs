//! The one stream type of all TCP connections: clients', replicas', discovery's. It reads and writes until the system says
//! that it would block, and takes an interrupted call up again.
//!
//! The runtime's own stream takes a read that brought less than it asked for as a sign that nothing is left, and a write
//! likewise, and then waits for the system to tell of more. The system does not tell twice of what was there already: where
//! a read is cut short for another reason the rest lay unread until the request's time was over. To read once more after each
//! short read costs a call for every message, though, and most messages end with a short read. So that is done some
//! milliseconds later, and only while something more is expected.

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

pub struct Stream {
    tcp: TcpStream,
    /// The last read was short: there may be more that nobody tells of.
    unsure: Cell<bool>,
    /// When to look, and whether that time runs.
    recheck: RefCell<Option<Pin<Box<Sleep>>>>,
    rechecks: Cell<bool>,
}

/// After a short read more is looked for so late: answers that come soon are told of anyway.
const RECHECK: Duration = Duration::from_millis(4);

/// Most that one such look reads.
const LONGEST_UNTOLD: usize = 16 * 1024;

/// Whether more is to come that somebody waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expects {
    More,
    /// What was read is whole. A close is told of all the same.
    Nothing,
}

/// Whether the call is to be made again: at once, or once the system says that it can go on.
fn again(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl Stream {
    /// Small writes go out at once.
    pub fn new(tcp: TcpStream) -> Stream {
        let _ = tcp.set_nodelay(true);
        Stream { tcp, unsure: Cell::default(), recheck: RefCell::default(), rechecks: Cell::default() }
    }

    pub fn into_tcp(self) -> TcpStream {
        self.tcp
    }

    /// Bytes read; 0 where the other side has closed, or the buffer is full.
    pub fn poll_read_some(
        &self,
        cx: &mut Context<'_>,
        buf: &mut impl BufMut,
        expects: Expects,
    ) -> Poll<io::Result<usize>> {
        loop {
            let told = self.tcp.poll_read_ready(cx)?.is_ready();
            if !told {
                ready!(self.poll_recheck(cx, expects));
            }
            let room = buf.chunk_mut().len();
            let read = if told { self.tcp.try_read_buf(buf) } else { self.read_untold(buf, room) };
            match read {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.unsure.set(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => self.unsure.set(true),
                Ok(n) if 0 < n && n < room => {
                    self.unsure.set(true);
                    self.nothing_more_is_told();
                    return Poll::Ready(Ok(n));
                }
                read => return Poll::Ready(read),
            }
        }
    }

    pub async fn read_some(&self, buf: &mut impl BufMut, expects: Expects) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_read_some(cx, buf, expects)).await
    }

    /// Ready once it is time to look for more that nobody tells of.
    fn poll_recheck(&self, cx: &mut Context<'_>, expects: Expects) -> Poll<()> {
        if !self.unsure.get() || expects == Expects::Nothing {
            self.rechecks.set(false);
            return Poll::Pending;
        }
        let mut recheck = self.recheck.borrow_mut();
        let sleeping = recheck.get_or_insert_with(|| Box::pin(sleep(RECHECK)));
        if !self.rechecks.replace(true) {
            sleeping.as_mut().reset(Instant::now() + RECHECK);
        }
        ready!(sleeping.as_mut().poll(cx));
        self.rechecks.set(false);
        Poll::Ready(())
    }

    /// A read although nothing is told of.
    fn read_untold(&self, buf: &mut impl BufMut, room: usize) -> io::Result<usize> {
        let mut bytes = vec![0; room.min(LONGEST_UNTOLD)];
        let n = (&*socket2::SockRef::from(&self.tcp)).read(&mut bytes)?;
        buf.put_slice(&bytes[..n]);
        Ok(n)
    }

    /// Until the system tells of more, no read is tried.
    fn nothing_more_is_told(&self) {
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
                Err(e) if again(&e) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    pub fn poll_write_some(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, || self.tcp.try_write(bytes))
    }

    pub fn poll_write_pieces(
        &self,
        cx: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, || self.tcp.try_write_vectored(pieces))
    }

    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match std::future::poll_fn(|cx| self.poll_write_some(cx, bytes)).await? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                n => bytes = &bytes[n..],
            }
        }
        Ok(())
    }

    /// One write, as far as it goes; an error of the kind `WouldBlock` where nothing can be taken now.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match self.tcp.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                written => return written,
            }
        }
    }

    pub async fn writable(&self) -> io::Result<()> {
        self.tcp.writable().await
    }

    /// Says that nothing more comes from this side.
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

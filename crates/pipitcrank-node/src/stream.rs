//! The one stream type of all TCP connections: clients', replicas', discovery's. It reads and writes until the system says
//! that it would block, and takes an interrupted call up again.
//!
//! The runtime's own stream takes a read that brought less than it asked for as a sign that nothing is left, and a write
//! likewise, and then waits for the system to tell of more. The system does not tell twice of what was there already: where
//! a read is cut short for another reason the rest lay unread until the request's time was over.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::BufMut;
use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

pub struct Stream {
    tcp: TcpStream,
}

/// Whether the call is to be made again: at once, or once the system says that it can go on.
fn again(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl Stream {
    /// Small writes go out at once.
    pub fn new(tcp: TcpStream) -> Stream {
        let _ = tcp.set_nodelay(true);
        Stream { tcp }
    }

    pub fn into_tcp(self) -> TcpStream {
        self.tcp
    }

    /// Bytes read; 0 where the other side has closed, or the buffer is full.
    pub fn poll_read_some(&self, cx: &mut Context<'_>, buf: &mut impl BufMut) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.tcp.poll_read_ready(cx))?;
            match self.tcp.try_read_buf(buf) {
                Err(e) if again(&e) => {}
                read => return Poll::Ready(read),
            }
        }
    }

    pub async fn read_some(&self, buf: &mut impl BufMut) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_read_some(cx, buf)).await
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
        self.poll_read_some(cx, buf).map_ok(drop)
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

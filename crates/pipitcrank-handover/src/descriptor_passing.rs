//! Messages with descriptors over a private pair of Unix sockets, made by the keeper and inherited: no name in any
//! file system stands for it, and the peer's user is checked all the same. A frame is four bytes of length and a
//! message in postcard's form; a descriptor travels with the frame's first byte (SCM_RIGHTS, unix(7)).
//!
//! A message that is oversized, cut, of another form, or that lacks its descriptor ends the link with its reason.

use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream as StdStream;
use std::rc::Rc;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg, sockopt,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Longest message: an answer of 200 parts at the protocol's longest value.
const LONGEST: usize = 16 << 20;
/// Descriptors that have come before the messages that they go with.
const MOST_WAITING: usize = 64;
const PIECE: usize = 64 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum Broken {
    #[error("the other side has closed it")]
    Closed,
    #[error("it ended within a message")]
    Cut,
    #[error("a message of {0} bytes was announced")]
    TooLong(usize),
    #[error("a message can't be read")]
    Garbled,
    #[error("more descriptors came than belong to messages")]
    Descriptors,
    #[error("the other side runs as user {0}")]
    Stranger(u32),
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Both ends of a link as files, to be given to two processes.
pub fn pair() -> io::Result<(StdStream, StdStream)> {
    StdStream::pair()
}

/// The sending side; messages go out in order. Dropped, it closes its direction once all is out. What waits is
/// bounded by what the sender holds open: each message belongs to a connection, a query or a step.
#[derive(Clone)]
pub struct Outgoing(UnboundedSender<(Vec<u8>, Option<OwnedFd>)>);

pub struct Incoming {
    stream: Rc<UnixStream>,
    buffer: Vec<u8>,
    fds: VecDeque<OwnedFd>,
}

/// Joins this end; the peer has to be a process of our own user.
pub fn join(stream: StdStream) -> Result<(Outgoing, Incoming), Broken> {
    let peer = sockopt::socket_peercred(&stream).map_err(io::Error::from)?;
    if peer.uid != rustix::process::geteuid() {
        return Err(Broken::Stranger(peer.uid.as_raw()));
    }
    stream.set_nonblocking(true)?;
    let stream = Rc::new(UnixStream::from_std(stream)?);
    let (queue, queued) = unbounded_channel();
    tokio::task::spawn_local(write_out(stream.clone(), queued));
    Ok((Outgoing(queue), Incoming { stream, buffer: Vec::new(), fds: VecDeque::new() }))
}

async fn write_out(stream: Rc<UnixStream>, mut queued: UnboundedReceiver<(Vec<u8>, Option<OwnedFd>)>) {
    while let Some((bytes, mut fd)) = queued.recv().await {
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let sent = stream.async_io(Interest::WRITABLE, || send(&stream, rest, fd.as_ref())).await;
            match sent {
                Ok(n) => rest = &rest[n..],
                // The reader sees the end.
                Err(_) => return,
            }
            fd = None;
        }
    }
    let _ = rustix::net::shutdown(&*stream, rustix::net::Shutdown::Write);
}

fn send(stream: &UnixStream, bytes: &[u8], fd: Option<&OwnedFd>) -> io::Result<usize> {
    let fds: Vec<_> = fd.iter().map(|fd| fd.as_fd()).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut with = SendAncillaryBuffer::new(&mut space);
    if !fds.is_empty() {
        with.push(SendAncillaryMessage::ScmRights(&fds));
    }
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut with, SendFlags::NOSIGNAL)?)
}

fn framed(body: Vec<u8>) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes()[..], &body].concat()
}

impl Outgoing {
    /// Whether the other side may still get it is not known here: its end shows at the incoming side.
    pub fn send(&self, message: &impl Serialize, fd: Option<OwnedFd>) {
        let Ok(body) = postcard::to_allocvec(&(fd.is_some(), message)) else { return };
        let _ = self.0.send((framed(body), fd));
    }

    /// Sends a descriptor that its message does not speak of: for tests of what the other side does then.
    pub fn send_with_stray(&self, message: &impl Serialize, fd: OwnedFd) {
        let Ok(body) = postcard::to_allocvec(&(false, message)) else { return };
        let _ = self.0.send((framed(body), Some(fd)));
    }
}

impl Incoming {
    /// The next message, with its descriptor if it has one. May be dropped half way: nothing is lost.
    pub async fn next<M: DeserializeOwned>(&mut self) -> Result<(M, Option<OwnedFd>), Broken> {
        loop {
            if let Some(found) = self.take()? {
                return Ok(found);
            }
            let stream = self.stream.clone();
            let (buffer, fds) = (&mut self.buffer, &mut self.fds);
            let came = stream.async_io(Interest::READABLE, || receive(&stream, buffer, fds)).await?;
            if came == 0 {
                return Err(if self.buffer.is_empty() { Broken::Closed } else { Broken::Cut });
            }
            if self.fds.len() > MOST_WAITING {
                return Err(Broken::Descriptors);
            }
        }
    }

    fn take<M: DeserializeOwned>(&mut self) -> Result<Option<(M, Option<OwnedFd>)>, Broken> {
        let Some(head) = self.buffer.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > LONGEST {
            return Err(Broken::TooLong(length));
        }
        let Some(body) = self.buffer.get(4..4 + length) else { return Ok(None) };
        let ((with_fd, message), rest): ((bool, M), _) =
            postcard::take_from_bytes(body).map_err(|_| Broken::Garbled)?;
        if !rest.is_empty() {
            return Err(Broken::Garbled);
        }
        let fd = if with_fd { Some(self.fds.pop_front().ok_or(Broken::Descriptors)?) } else { None };
        self.buffer.drain(..4 + length);
        Ok(Some((message, fd)))
    }
}

fn receive(stream: &UnixStream, buffer: &mut Vec<u8>, fds: &mut VecDeque<OwnedFd>) -> io::Result<usize> {
    let mut piece = vec![0; PIECE];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(8))];
    let mut with = RecvAncillaryBuffer::new(&mut space);
    let came = recvmsg(stream, &mut [IoSliceMut::new(&mut piece)], &mut with, RecvFlags::CMSG_CLOEXEC)?;
    for message in with.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            fds.extend(rights);
        }
    }
    buffer.extend_from_slice(&piece[..came.bytes]);
    Ok(came.bytes)
}

/// The machine's monotonic clock in microseconds: the same for all its processes.
pub fn monotonic_micros() -> i64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec * 1_000_000 + now.tv_nsec / 1000
}

//! Messages with descriptors over a private pair of Unix sockets, made by the supervisor and inherited by workers: no name
//! in a file system stands for it, and the peer's user is checked all the same. A frame is four bytes of length and a
//! message in postcard's form; a descriptor travels with the frame's first byte (SCM_RIGHTS, unix(7)).
//!
//! A message that is too long, truncated or malformed, or that lacks its descriptor, ends the link with its reason.

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

use crate::exact_decode::decode_exact;

/// Longest message, in bytes: an answer of 200 parts at the protocol's longest value.
const MAX_MESSAGE_LENGTH: usize = 16 << 20;
/// Most descriptors received ahead of the messages that they belong to.
const MAX_PENDING_DESCRIPTORS: usize = 64;
/// Most descriptors taken by one call of `recvmsg`.
const MAX_DESCRIPTORS_PER_READ: usize = 8;
/// Most bytes taken by one call of `recvmsg`.
const READ_LENGTH: usize = 64 * 1024;
const LENGTH_PREFIX: usize = 4;

/// Why a link has ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The peer closed it between two messages.
    #[error("the peer closed the link")]
    Closed,
    /// The peer closed it within a message.
    #[error("the link ended within a message")]
    Truncated,
    /// A frame states a length over the limit, in bytes.
    #[error("a message of {0} bytes was announced")]
    MessageTooLong(usize),
    /// A message can't be decoded.
    #[error("a message is malformed")]
    Malformed,
    /// A message lacks its descriptor, or descriptors came that belong to no message.
    #[error("descriptors do not match the messages")]
    DescriptorMismatch,
    /// The peer is a process of another user, with this user id.
    #[error("the peer runs as user {0}")]
    ForeignUser(u32),
    /// The operating system failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Both ends of a link as files, to be given to two processes.
pub fn socket_pair() -> io::Result<(StdStream, StdStream)> {
    StdStream::pair()
}

/// A message as received.
#[derive(Debug)]
pub struct Received<M> {
    /// The message.
    pub message: M,
    /// The descriptor that it carried.
    pub descriptor: Option<OwnedFd>,
}

struct Frame {
    bytes: Vec<u8>,
    descriptor: Option<OwnedFd>,
}

/// The sending side; messages go out in order. Dropped, it closes its direction once all is sent. The queue is bounded by
/// what the sender holds open: each message belongs to a connection, a query or a step.
#[derive(Clone)]
pub struct LinkSender(UnboundedSender<Frame>);

/// The receiving side.
pub struct LinkReceiver {
    stream: Rc<UnixStream>,
    buffer: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

/// Opens this end of a link, within a `LocalSet`. Fails where the peer is a process of another user.
pub fn open_link(stream: StdStream) -> Result<(LinkSender, LinkReceiver), LinkError> {
    let peer = sockopt::socket_peercred(&stream).map_err(io::Error::from)?;
    if peer.uid != rustix::process::geteuid() {
        return Err(LinkError::ForeignUser(peer.uid.as_raw()));
    }
    stream.set_nonblocking(true)?;
    let stream = Rc::new(UnixStream::from_std(stream)?);
    let (sender, queue) = unbounded_channel();
    tokio::task::spawn_local(write_frames(stream.clone(), queue));
    let receiver = LinkReceiver { stream, buffer: Vec::new(), descriptors: VecDeque::new() };
    Ok((LinkSender(sender), receiver))
}

async fn write_frames(stream: Rc<UnixStream>, mut queue: UnboundedReceiver<Frame>) {
    while let Some(Frame { bytes, mut descriptor }) = queue.recv().await {
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let send = || send_bytes(&stream, rest, descriptor.as_ref());
            match stream.async_io(Interest::WRITABLE, send).await {
                Ok(sent) => rest = &rest[sent..],
                // The receiving side reports the end of the link.
                Err(_) => return,
            }
            descriptor = None;
        }
    }
    let _ = rustix::net::shutdown(&*stream, rustix::net::Shutdown::Write);
}

fn send_bytes(stream: &UnixStream, bytes: &[u8], descriptor: Option<&OwnedFd>) -> io::Result<usize> {
    let descriptors: Vec<_> = descriptor.iter().map(|descriptor| descriptor.as_fd()).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() {
        ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
    }
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut ancillary, SendFlags::NOSIGNAL)?)
}

impl LinkSender {
    /// Queues a message. Whether the peer receives it is not known here; the end of the link shows at the receiver.
    pub fn send(&self, message: &impl Serialize, descriptor: Option<OwnedFd>) {
        self.send_frame(message, descriptor.is_some(), descriptor);
    }

    /// Sends a descriptor that its message does not announce: for tests of what the peer does then.
    pub fn send_with_unannounced_descriptor(&self, message: &impl Serialize, descriptor: OwnedFd) {
        self.send_frame(message, false, Some(descriptor));
    }

    fn send_frame(&self, message: &impl Serialize, announced: bool, descriptor: Option<OwnedFd>) {
        let Ok(body) = postcard::to_allocvec(&(announced, message)) else { return };
        let bytes = [&(body.len() as u32).to_be_bytes()[..], &body].concat();
        let _ = self.0.send(Frame { bytes, descriptor });
    }
}

impl LinkReceiver {
    /// The next message. Cancel safe: a dropped call loses nothing.
    pub async fn receive<M: DeserializeOwned>(&mut self) -> Result<Received<M>, LinkError> {
        loop {
            if let Some(received) = self.take_message()? {
                return Ok(received);
            }
            if self.read_more().await? == 0 {
                return Err(if self.buffer.is_empty() { LinkError::Closed } else { LinkError::Truncated });
            }
            if self.descriptors.len() > MAX_PENDING_DESCRIPTORS {
                return Err(LinkError::DescriptorMismatch);
            }
        }
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        let stream = self.stream.clone();
        let (buffer, descriptors) = (&mut self.buffer, &mut self.descriptors);
        stream.async_io(Interest::READABLE, || receive_bytes(&stream, buffer, descriptors)).await
    }

    fn take_message<M: DeserializeOwned>(&mut self) -> Result<Option<Received<M>>, LinkError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_PREFIX>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_MESSAGE_LENGTH {
            return Err(LinkError::MessageTooLong(length));
        }
        let frame_end = LENGTH_PREFIX + length;
        let Some(body) = self.buffer.get(LENGTH_PREFIX..frame_end) else { return Ok(None) };
        let (announced, message): (bool, M) = decode_exact(body).map_err(|_| LinkError::Malformed)?;
        let descriptor = match announced {
            true => Some(self.descriptors.pop_front().ok_or(LinkError::DescriptorMismatch)?),
            false => None,
        };
        self.buffer.drain(..frame_end);
        Ok(Some(Received { message, descriptor }))
    }
}

fn receive_bytes(
    stream: &UnixStream,
    buffer: &mut Vec<u8>,
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut bytes = vec![0; READ_LENGTH];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_READ))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let received =
        recvmsg(stream, &mut [IoSliceMut::new(&mut bytes)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            descriptors.extend(rights);
        }
    }
    buffer.extend_from_slice(&bytes[..received.bytes]);
    Ok(received.bytes)
}

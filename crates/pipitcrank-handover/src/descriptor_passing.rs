//! Links that carry messages and file descriptors between processes. A link is a pair of connected Unix sockets, which
//! the supervisor creates and workers inherit. The sockets have no name in the file system; the user of the peer process
//! is checked nevertheless.
//!
//! A frame consists of a length of four bytes and a message in postcard encoding. A file descriptor is sent with the
//! first byte of its frame (SCM_RIGHTS, see unix(7)).
//!
//! A message that is too long, truncated, malformed or without its descriptor ends the link with an error.

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

/// Longest message: an answer of 200 parts with values of the protocol's maximum length.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Maximum number of descriptors received before the messages that carry them are complete.
const MAX_PENDING_DESCRIPTORS: usize = 64;
/// Maximum number of descriptors received by one call of `recvmsg`.
const MAX_DESCRIPTORS_PER_READ: usize = 8;
/// Maximum number of bytes received by one call of `recvmsg`.
const READ_BYTES: usize = 64 * 1024;
const LENGTH_PREFIX_BYTES: usize = 4;

/// Reason why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The peer closed the link between two messages.
    #[error("the peer closed the link")]
    Closed,
    /// The peer closed the link within a message.
    #[error("the peer closed the link before the end of a message")]
    Truncated,
    /// A frame has the given length in bytes, which is over the limit.
    #[error(
        "received a message header with a length of {0} bytes, over the limit of {MAX_MESSAGE_BYTES} bytes"
    )]
    MessageTooLong(usize),
    /// A message can't be decoded, or states another protocol version.
    #[error("received a message that can't be decoded or states another protocol version")]
    Malformed,
    /// A message arrived without its descriptor, or too many descriptors arrived that belong to no message.
    #[error(
        "a message lacks its descriptor, or more than {MAX_PENDING_DESCRIPTORS} descriptors have no message"
    )]
    DescriptorMismatch,
    /// The peer process runs as another user, with the given user id.
    #[error("the peer process runs as user id {0}, not as the user of this process")]
    ForeignUser(u32),
    /// The operating system reported an error.
    #[error("socket error on the link: {0}")]
    Io(#[from] io::Error),
}

/// Creates the two sockets of a link, one for each process.
pub fn socket_pair() -> io::Result<(StdStream, StdStream)> {
    StdStream::pair()
}

/// A received message with its descriptor.
#[derive(Debug)]
pub struct Received<M> {
    /// The message.
    pub message: M,
    /// The file descriptor sent with it.
    pub descriptor: Option<OwnedFd>,
}

struct Frame {
    bytes: Vec<u8>,
    descriptor: Option<OwnedFd>,
}

/// Sending side of a link, which sends messages in order. Dropping it closes this direction once all messages are sent.
/// The number of queued messages is bounded, as each belongs to an open connection, an open query or an upgrade step.
#[derive(Clone)]
pub struct LinkSender(UnboundedSender<Frame>);

/// Receiving side of a link.
pub struct LinkReceiver {
    stream: Rc<UnixStream>,
    buffer: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

/// Opens one end of a link within a `LocalSet`. Fails if the peer process runs as another user.
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
                // The receiving side of the link reports the error.
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
    /// Queues a message. Delivery is not confirmed; only the [`LinkReceiver`] reports the end of the link.
    pub fn send(&self, message: &impl Serialize, descriptor: Option<OwnedFd>) {
        self.send_frame(message, descriptor.is_some(), descriptor);
    }

    /// Sends a descriptor that its message does not announce, for tests of the peer's error handling.
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
    /// Receives the next message. Cancel safe: dropping the future loses no data.
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
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(LinkError::MessageTooLong(length));
        }
        let frame_end = LENGTH_PREFIX_BYTES + length;
        let Some(body) = self.buffer.get(LENGTH_PREFIX_BYTES..frame_end) else { return Ok(None) };
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
    let mut bytes = vec![0; READ_BYTES];
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

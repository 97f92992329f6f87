//! Server side of a peer's link: the handshake, and the messages until the link ends.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use pipitcrank_server::runtime::event_loop::EventLoop;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::flow_control::{INITIAL_CREDIT, ReceiveWindow};
use crate::forward_service::ForwardService;
use crate::frames::{CAPABILITIES, LinkMessage, PROTOCOL_VERSION, take_frame};
use crate::link_end::LinkEnd;
use crate::message_sender::{MessageSender, message_queue};
use crate::received_forwards::StreamId;

/// Time limit for a peer's first message.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without received bytes after which a link is closed; peers send a heartbeat every 50 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a draining session checks whether its link can be closed. The link stays open for at least this
/// long, so that messages in transit when draining began are still answered.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of messages queued for one peer; a peer that sends requests without reading the replies is
/// disconnected.
const MAX_QUEUED_MESSAGES: usize = 50_000;

/// State shared by all sessions.
pub(crate) struct SessionContext {
    pub(crate) event_loop: Rc<EventLoop>,
    pub(crate) own_site: String,
    pub(crate) incarnation: u64,
    /// Names of the sites whose links are accepted.
    pub(crate) peers: Vec<String>,
    pub(crate) service: Rc<ForwardService>,
    pub(crate) draining: watch::Receiver<bool>,
}

impl SessionContext {
    /// Serves a link until its end.
    pub(crate) async fn serve(&self, stream: TcpStream) -> LinkEnd {
        let _ = stream.set_nodelay(true);
        let (mut reader, writer) = stream.into_split();
        let mut buffer = BytesMut::new();
        let hello =
            tokio::time::timeout(HANDSHAKE_TIMEOUT, receive_first_message(&mut reader, &mut buffer)).await;
        let (stream_id, credit) =
            match hello.unwrap_or(Err(LinkEnd::Silent)).and_then(|m| self.identify_peer(m)) {
                Ok(peer) => peer,
                Err(end) => return end,
            };
        let (sender, message_writer) = message_queue();
        sender.send(LinkMessage::Hello {
            version: PROTOCOL_VERSION,
            site: self.own_site.clone(),
            incarnation: self.incarnation,
            stream: stream_id.stream,
            credit: INITIAL_CREDIT,
            capabilities: CAPABILITIES,
        });
        let generation = self.service.register_connection(&stream_id, sender.clone());
        let (credit_returned, returned) = watch::channel(0u64);
        let writing = tokio::task::spawn_local(message_writer.run(writer, credit, returned));
        let mut session = Session {
            context: self,
            stream_id,
            generation,
            reader,
            buffer,
            sender,
            credit_returned,
            window: ReceiveWindow::new(),
        };
        let end = session.run().await;
        self.service.unregister_connection(&session.stream_id, generation);
        writing.abort();
        end
    }

    /// Checks a peer's first message and returns its stream and the credit that it grants, in bytes.
    fn identify_peer(&self, hello: LinkMessage) -> Result<(StreamId, u32), LinkEnd> {
        match hello {
            LinkMessage::Hello { version: PROTOCOL_VERSION, site, incarnation, stream, credit, .. } => {
                if !self.peers.contains(&site) {
                    tracing::warn!("rejecting the link of site '{site}': it is not a configured site");
                    return Err(LinkEnd::UnknownSite);
                }
                Ok((StreamId { site, incarnation, stream }, credit))
            }
            LinkMessage::Hello { .. } => Err(LinkEnd::OtherVersion),
            _ => Err(LinkEnd::BadBytes),
        }
    }
}

/// State of a link after its handshake.
struct Session<'a> {
    context: &'a SessionContext,
    stream_id: StreamId,
    generation: u64,
    reader: OwnedReadHalf,
    buffer: BytesMut,
    sender: MessageSender,
    /// Total credit that the peer has returned, in bytes.
    credit_returned: watch::Sender<u64>,
    window: ReceiveWindow,
}

impl Session<'_> {
    async fn run(&mut self) -> LinkEnd {
        let mut draining_since = None;
        loop {
            if let Err(end) = self.process_frames() {
                return end;
            }
            let draining = *self.context.draining.borrow();
            draining_since = if draining { draining_since.or_else(|| Some(Instant::now())) } else { None };
            if self.is_drained(draining_since) {
                return LinkEnd::Draining;
            }
            let wait = if draining { DRAIN_CHECK_INTERVAL } else { SILENCE_TIMEOUT };
            match tokio::time::timeout(wait, self.reader.read_buf(&mut self.buffer)).await {
                Err(_) if draining => {}
                Ok(Ok(0)) => return LinkEnd::Closed,
                Ok(Ok(_)) => {}
                Ok(Err(_)) => return LinkEnd::Reset,
                Err(_) => return LinkEnd::Silent,
            }
        }
    }

    /// Whether draining began at least [`DRAIN_CHECK_INTERVAL`] ago, no message is queued for the peer and none of its
    /// forwards is running.
    fn is_drained(&self, draining_since: Option<Instant>) -> bool {
        draining_since.is_some_and(|since| since.elapsed() >= DRAIN_CHECK_INTERVAL)
            && self.sender.queued() == 0
            && !self.context.service.has_running(&self.stream_id)
    }

    fn process_frames(&mut self) -> Result<(), LinkEnd> {
        loop {
            if !self.context.service.is_newest(&self.stream_id, self.generation) {
                return Err(LinkEnd::Replaced);
            }
            if self.sender.queued() > MAX_QUEUED_MESSAGES {
                return Err(LinkEnd::NotReading);
            }
            let (message, length) = match take_frame(&mut self.buffer) {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                Err(error) => {
                    tracing::warn!(
                        "site {} sent an invalid frame, closing its link: {error}",
                        self.stream_id.site
                    );
                    return Err(LinkEnd::BadBytes);
                }
            };
            if message.is_flow_controlled() && !self.window.received(length) {
                return Err(LinkEnd::NoCredit);
            }
            if let Some(bytes) = self.window.credit_to_return() {
                self.sender.send(LinkMessage::Credit { bytes });
            }
            self.handle_message(message)?;
        }
    }

    fn handle_message(&mut self, message: LinkMessage) -> Result<(), LinkEnd> {
        let (service, stream_id, sender) = (&self.context.service, &self.stream_id, &self.sender);
        match message {
            LinkMessage::Forward(forward) => service.handle_forward(stream_id, forward, None, sender),
            LinkMessage::ForwardWithKey(forward, key) => {
                service.handle_forward(stream_id, forward, Some(key.into()), sender);
            }
            LinkMessage::Cancel { number } => service.handle_cancel(stream_id, number, sender),
            LinkMessage::StatusRequest { numbers } => {
                numbers.into_iter().for_each(|number| service.send_status(stream_id, number, sender));
            }
            LinkMessage::Credit { bytes } => {
                self.credit_returned.send_modify(|total| *total = total.saturating_add(u64::from(bytes)));
            }
            LinkMessage::Ping { sent_us } => {
                let answered_us = self.context.event_loop.clock.now().as_micros();
                sender.send(LinkMessage::Pong { sent_us, answered_us });
            }
            LinkMessage::Hello { .. }
            | LinkMessage::PartAnswer { .. }
            | LinkMessage::End { .. }
            | LinkMessage::Pong { .. } => return Err(LinkEnd::BadBytes),
        }
        Ok(())
    }
}

async fn receive_first_message(
    reader: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
) -> Result<LinkMessage, LinkEnd> {
    loop {
        match take_frame(buffer) {
            Ok(Some((message, _))) => return Ok(message),
            Ok(None) => {}
            Err(_) => return Err(LinkEnd::BadBytes),
        }
        match reader.read_buf(buffer).await {
            Ok(0) => return Err(LinkEnd::Closed),
            Ok(_) => {}
            Err(_) => return Err(LinkEnd::Reset),
        }
    }
}

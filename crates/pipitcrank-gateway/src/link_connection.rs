//! Client side of one connection of a stream to another site: the handshake, and the messages until it ends.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use pipitcrank_core::ids::{AttemptOutcome, ReplicaId};
use pipitcrank_core::time::{TimeSpan, Timestamp};
use pipitcrank_server::exchange::{AttemptHandle, OutgoingForward, OutgoingPart, QueryPart};
use pipitcrank_server::runtime::clock::duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, MissedTickBehavior};

use crate::flow_control::{INITIAL_CREDIT, ReceiveWindow, SendWindow};
use crate::frames::{
    CAPABILITIES, Forward, ForwardOutcome, ForwardPart, LinkMessage, PROTOCOL_VERSION, encode, take_frame,
};
use crate::link_end::LinkEnd;
use crate::remote_site::{LinkStream, LocalSite, RemoteSite, StreamCommand};
use crate::sent_forwards::{ForwardedPart, NewForward, Reconnection};
use crate::site_health::HEARTBEAT_INTERVAL;

/// Time without received bytes after which the connection is closed. Heartbeats are sent every 50 ms, so the site stops
/// receiving forwards long before; this timeout ends connections that stall without a transport error.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// A connected TCP stream whose handshake is complete.
pub(crate) struct OpenConnection {
    stream: TcpStream,
    /// Incarnation of the peer's process.
    pub(crate) incarnation: u64,
    /// Initial credit that the peer granted, in bytes.
    credit: u32,
    /// Bytes that were received after the peer's handshake message.
    received: BytesMut,
}

impl OpenConnection {
    pub(crate) async fn connect(
        local: &LocalSite,
        site: &RemoteSite,
        link_stream: &LinkStream,
    ) -> Result<OpenConnection, LinkEnd> {
        let mut stream = TcpStream::connect(site.address).await.map_err(|_| LinkEnd::Refused)?;
        let _ = stream.set_nodelay(true);
        let hello = LinkMessage::Hello {
            version: PROTOCOL_VERSION,
            site: local.name.clone(),
            incarnation: local.incarnation,
            stream: link_stream.number,
            credit: INITIAL_CREDIT,
            capabilities: CAPABILITIES,
        };
        stream.write_all(&encode(&hello)).await.map_err(|_| LinkEnd::Reset)?;
        let mut received = BytesMut::new();
        loop {
            match take_frame(&mut received) {
                Ok(Some((hello, _))) => return OpenConnection::new(stream, received, hello, &site.name),
                Ok(None) => {}
                Err(_) => return Err(LinkEnd::BadBytes),
            }
            match stream.read_buf(&mut received).await {
                Ok(0) => return Err(LinkEnd::Closed),
                Ok(_) => {}
                Err(_) => return Err(LinkEnd::Reset),
            }
        }
    }

    fn new(
        stream: TcpStream,
        received: BytesMut,
        hello: LinkMessage,
        expected_site: &str,
    ) -> Result<OpenConnection, LinkEnd> {
        let LinkMessage::Hello { version, site, incarnation, credit, .. } = hello else {
            return Err(LinkEnd::BadBytes);
        };
        if version != PROTOCOL_VERSION {
            return Err(LinkEnd::OtherVersion);
        }
        if site != expected_site {
            return Err(LinkEnd::OtherSite);
        }
        Ok(OpenConnection { stream, incarnation, credit, received })
    }
}

/// A frame that waits to be written.
struct OutgoingFrame {
    bytes: Vec<u8>,
    /// Number of the forward in the frame, if it carries one.
    forward_number: Option<u64>,
}

/// An open connection, on which messages are exchanged with the peer.
pub(crate) struct Connection<'a> {
    local: &'a LocalSite,
    site: &'a RemoteSite,
    link_stream: &'a LinkStream,
    stream: TcpStream,
    received: BytesMut,
    send_window: SendWindow,
    /// Initial credit that the peer granted, in bytes.
    initial_credit: u32,
    receive_window: ReceiveWindow,
    /// Rest of the frame that is being written.
    current_frame: Bytes,
    /// Number of the forward in the frame that is being written, if it carries one.
    current_forward: Option<u64>,
    /// Frames that wait to be written: small messages, and the forwards of the last command.
    queued_frames: VecDeque<OutgoingFrame>,
}

impl<'a> Connection<'a> {
    pub(crate) fn new(
        local: &'a LocalSite,
        site: &'a RemoteSite,
        link_stream: &'a LinkStream,
        established: OpenConnection,
    ) -> Connection<'a> {
        let OpenConnection { stream, credit, received, .. } = established;
        Connection {
            local,
            site,
            link_stream,
            stream,
            received,
            send_window: SendWindow::new(credit),
            initial_credit: credit,
            receive_window: ReceiveWindow::new(),
            current_frame: Bytes::new(),
            current_forward: None,
            queued_frames: VecDeque::new(),
        }
    }

    /// Runs until the connection ends. `same_process` is whether the peer is the same process as on the previous
    /// connection.
    pub(crate) async fn run(
        mut self,
        same_process: bool,
        commands: &mut UnboundedReceiver<StreamCommand>,
    ) -> LinkEnd {
        match self.run_until_error(same_process, commands).await {
            Ok(never) => match never {},
            Err(end) => end,
        }
    }

    async fn run_until_error(
        &mut self,
        same_process: bool,
        commands: &mut UnboundedReceiver<StreamCommand>,
    ) -> Result<Infallible, LinkEnd> {
        self.resolve_in_doubt(same_process);
        self.ping();
        let mut heartbeats = tokio::time::interval(duration(HEARTBEAT_INTERVAL));
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_message = Instant::now();
        loop {
            self.process_frames()?;
            if self.current_frame.is_empty() {
                self.begin_next_frame();
            }
            let is_idle = self.current_frame.is_empty();
            tokio::select! {
                biased;
                _ = self.stream.readable() => if self.read()? {
                    last_message = Instant::now();
                },
                ready = self.stream.writable(), if !is_idle => {
                    ready.map_err(|_| LinkEnd::Reset)?;
                    self.write()?;
                }
                _ = heartbeats.tick() => {
                    if last_message.elapsed() > SILENCE_TIMEOUT {
                        return Err(LinkEnd::Silent);
                    }
                    self.ping();
                }
                Some(command) = commands.recv(), if is_idle && self.send_window.can_send() => {
                    self.handle_command(command);
                }
            }
        }
    }

    /// Requests the status of forwards in doubt from the same process, or ends them if the peer is another process.
    fn resolve_in_doubt(&mut self, same_process: bool) {
        let reconnection = self.link_stream.sent.borrow_mut().reconnected(same_process);
        match reconnection {
            Reconnection::RequestStatus(numbers) if numbers.is_empty() => {}
            Reconnection::RequestStatus(numbers) => self.send(&LinkMessage::StatusRequest { numbers }),
            Reconnection::Closed(closed) => {
                closed.into_iter().for_each(|closed| self.site.close_forward(self.local, closed));
            }
        }
    }

    /// Reads the available bytes and returns whether there were any.
    fn read(&mut self) -> Result<bool, LinkEnd> {
        match self.stream.try_read_buf(&mut self.received) {
            Ok(0) => Err(LinkEnd::Closed),
            Ok(_) => {
                self.site.health.borrow_mut().message_received(self.local.event_loop.clock.now());
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(_) => Err(LinkEnd::Reset),
        }
    }

    fn write(&mut self) -> Result<(), LinkEnd> {
        match self.stream.try_write(&self.current_frame) {
            Ok(written) => self.current_frame.advance(written),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return Err(LinkEnd::Reset),
        }
        if self.current_frame.is_empty()
            && let Some(number) = self.current_forward.take()
        {
            self.link_stream.sent.borrow_mut().mark_written(number);
            self.local.event_loop.counters.add("forwards", "sent");
        }
        Ok(())
    }

    fn send(&mut self, message: &LinkMessage) {
        self.queued_frames.push_back(OutgoingFrame { bytes: encode(message), forward_number: None });
    }

    /// Queues a heartbeat unless frames are waiting to be written. While the peer does not read, more pings would only
    /// lengthen the queue.
    fn ping(&mut self) {
        if self.queued_frames.is_empty() && self.current_frame.is_empty() {
            let sent_us = self.local.event_loop.clock.now().as_micros();
            self.send(&LinkMessage::Ping { sent_us });
        }
    }

    fn begin_next_frame(&mut self) {
        if let Some(OutgoingFrame { bytes, forward_number }) = self.queued_frames.pop_front() {
            if forward_number.is_some() {
                self.send_window.consume(bytes.len());
            }
            (self.current_frame, self.current_forward) = (bytes.into(), forward_number);
        }
    }

    fn handle_command(&mut self, command: StreamCommand) {
        match command {
            StreamCommand::Cancel { number } => self.send(&LinkMessage::Cancel { number }),
            StreamCommand::Forward { replica, attempts } => self.queue_forwards(replica, attempts),
        }
    }

    /// Queues frames for those attempts that the exchange still authorizes.
    fn queue_forwards(&mut self, replica: ReplicaId, mut attempts: Vec<AttemptHandle>) {
        self.link_stream.queued.set(self.link_stream.queued.get() - 1);
        let now = self.local.event_loop.clock.now();
        let round_trip = self.site.health.borrow().round_trip_bound().unwrap_or(TimeSpan::ZERO);
        let outgoing =
            self.local.event_loop.update(|exchange| exchange.authorize_forward(now, replica, &mut attempts));
        for forward in outgoing {
            self.queue_forward(now, round_trip, forward);
        }
        self.site.publish_delay(self.local);
    }

    fn queue_forward(&mut self, now: Timestamp, round_trip: TimeSpan, outgoing: OutgoingForward) {
        let health_id = self.site.health.borrow_mut().forward_sent(now);
        let forwarded = |out: &OutgoingPart| ForwardedPart { shard: out.part.shard, attempt: out.attempt };
        let number = self.link_stream.sent.borrow_mut().begin(NewForward {
            parts: outgoing.parts.iter().map(forwarded).collect(),
            idempotent: outgoing.idempotent,
            delegation: outgoing.delegation,
            health_id,
            deadline: outgoing.deadline,
        });
        let part = |out: &OutgoingPart| {
            let QueryPart { shard, weight, work } = out.part;
            ForwardPart { shard, weight, estimated_work: work }
        };
        let forward = Forward {
            number,
            query_id: outgoing.id,
            class: self.local.classes[outgoing.class.0 as usize].clone(),
            time_left: outgoing.deadline - now - round_trip,
            delegated_retries: outgoing.retries,
            sites_crossed: vec![self.local.name.clone()],
            parts: outgoing.parts.iter().map(part).collect(),
            text: outgoing.text.to_string(),
        };
        let message = match outgoing.idempotency_key {
            None => LinkMessage::Forward(forward),
            Some(key) => LinkMessage::ForwardWithKey(forward, key.to_string()),
        };
        self.queued_frames.push_back(OutgoingFrame { bytes: encode(&message), forward_number: Some(number) });
    }

    fn process_frames(&mut self) -> Result<(), LinkEnd> {
        loop {
            let (message, length) = match take_frame(&mut self.received) {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(()),
                Err(error) => {
                    tracing::warn!(
                        site = self.site.name,
                        "received an invalid frame, closing the connection: {error}"
                    );
                    return Err(LinkEnd::BadBytes);
                }
            };
            if message.is_flow_controlled() && !self.receive_window.received(length) {
                return Err(LinkEnd::NoCredit);
            }
            if let Some(bytes) = self.receive_window.credit_to_return() {
                self.send(&LinkMessage::Credit { bytes });
            }
            self.handle_message(message)?;
        }
    }

    fn handle_message(&mut self, message: LinkMessage) -> Result<(), LinkEnd> {
        let now = self.local.event_loop.clock.now();
        match message {
            LinkMessage::PartAnswer { number, shard, value } => {
                self.handle_answer(now, number, shard, value);
            }
            LinkMessage::End { number, outcome, retries_made } => {
                self.handle_end(number, outcome, retries_made);
            }
            LinkMessage::Credit { bytes } => {
                if !self.send_window.replenish(bytes, self.initial_credit) {
                    return Err(LinkEnd::BadCredit);
                }
            }
            LinkMessage::Pong { sent_us, answered_us } => self.handle_pong(now, sent_us, answered_us)?,
            LinkMessage::Ping { sent_us } => {
                self.send(&LinkMessage::Pong { sent_us, answered_us: now.as_micros() });
            }
            LinkMessage::Hello { .. }
            | LinkMessage::Forward(_)
            | LinkMessage::ForwardWithKey(..)
            | LinkMessage::Cancel { .. }
            | LinkMessage::StatusRequest { .. } => return Err(LinkEnd::BadBytes),
        }
        Ok(())
    }

    fn handle_answer(&self, now: Timestamp, number: u64, shard: u32, value: String) {
        let event_loop = &self.local.event_loop;
        let attempt = self.link_stream.sent.borrow_mut().part_answered(number, shard);
        let Some(attempt) = attempt else {
            event_loop.counters.add("forwards", "late_parts");
            return;
        };
        self.site.health.borrow_mut().part_answered(now);
        event_loop.counters.add("forwards", "parts");
        event_loop
            .update(|exchange| exchange.attempt_ended(attempt, AttemptOutcome::Success, Some(value), None));
    }

    fn handle_end(&self, number: u64, outcome: ForwardOutcome, retries_made: u32) {
        let closed = self.link_stream.sent.borrow_mut().end(number, outcome, retries_made);
        match closed {
            Some(closed) => self.site.close_forward(self.local, closed),
            None if outcome == ForwardOutcome::Unknown => {}
            None => self.local.event_loop.counters.add("forwards", "late_ends"),
        }
    }

    fn handle_pong(&self, now: Timestamp, sent_us: i64, answered_us: i64) -> Result<(), LinkEnd> {
        let round_trip = now - Timestamp::from_micros(sent_us);
        if round_trip < TimeSpan::ZERO {
            return Err(LinkEnd::BadBytes);
        }
        self.site.health.borrow_mut().round_trip_measured(now, round_trip);
        let clock_offset_us = answered_us.saturating_sub(sent_us / 2 + now.as_micros() / 2);
        tracing::trace!(site = self.site.name, round_trip_us = round_trip.as_micros(), clock_offset_us);
        Ok(())
    }
}

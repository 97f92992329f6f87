//! Seals outgoing messages and queues them until they are taken.

use std::net::SocketAddr;

use pipitcrank_membership::envelope::{DatagramKind, OutgoingDatagram, Sealer};

use super::config::SentTraffic;
use super::message::{Message, OperatorAnswer};

pub(super) struct Outbox {
    sealer: Sealer,
    queued: Vec<OutgoingDatagram>,
    sent: SentTraffic,
}

impl Outbox {
    pub(super) fn new(sealer: Sealer) -> Outbox {
        Outbox { sealer, queued: Vec::new(), sent: SentTraffic::default() }
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: &Message) {
        if let Ok(body) = postcard::to_allocvec(message) {
            self.seal(to, DatagramKind::Message, &body);
        }
    }

    pub(super) fn answer(&mut self, to: SocketAddr, ticket: u64, answer: OperatorAnswer) {
        self.send(to, &Message::Answer { ticket, answer });
    }

    /// Seals and queues a body. A body too long to be sealed is dropped.
    pub(super) fn seal(&mut self, to: SocketAddr, kind: DatagramKind, body: &[u8]) {
        if let Some(bytes) = self.sealer.seal(to, kind, body) {
            self.sent.bytes += bytes.len() as u64;
            self.sent.datagrams += 1;
            self.queued.push(OutgoingDatagram { to, bytes });
        }
    }

    pub(super) fn take(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.queued)
    }

    pub(super) fn sent(&self) -> SentTraffic {
        self.sent
    }
}

//! Client side of operators' commands.

use std::net::SocketAddr;

use pipitcrank_membership::envelope::{DatagramKind, Opener, Sealer};

use super::message::{Message, OperatorAnswer};
use crate::constants::SPREADING_MULTIPLIER;
use crate::decision::OperatorOrder;

/// An answer with the node that sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedAnswer {
    /// Address of the answering node.
    pub from: SocketAddr,
    /// Answer of the node.
    pub answer: OperatorAnswer,
}

/// One operator's command: seals its requests and opens the answers. All requests of a command carry the same
/// ticket, so that a node answers a repeated request as before.
pub struct OperatorClient {
    sealer: Sealer,
    opener: Opener,
    ticket: u64,
}

impl OperatorClient {
    /// Creates the client of one command. `own` is the address for answers; `started` distinguishes the
    /// command from earlier ones.
    pub fn new(key: [u8; 32], own: SocketAddr, started: u64) -> OperatorClient {
        let ticket = started.wrapping_mul(SPREADING_MULTIPLIER) ^ u64::from(own.port());
        OperatorClient { sealer: Sealer::new(key, own, started), opener: Opener::new(key, own), ticket }
    }

    /// Builds a datagram with the order or, without one, a request for the status.
    pub fn request(&mut self, to: SocketAddr, order: Option<OperatorOrder>) -> Option<Vec<u8>> {
        self.seal(to, &Message::OperatorRequest { ticket: self.ticket, order })
    }

    /// Builds a request for the members with higher addresses than `after`.
    pub fn request_members(&mut self, to: SocketAddr, after: Option<SocketAddr>) -> Option<Vec<u8>> {
        self.seal(to, &Message::MembersRequest { ticket: self.ticket, after })
    }

    /// Builds a request to one voter to exclude the voters of `slots`.
    pub fn request_exclusion(&mut self, to: SocketAddr, slots: Vec<u8>) -> Option<Vec<u8>> {
        self.seal(to, &Message::ExcludeVoters { ticket: self.ticket, slots })
    }

    fn seal(&mut self, to: SocketAddr, message: &Message) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(message).ok()?;
        self.sealer.seal(to, DatagramKind::Message, &body)
    }

    /// Opens a datagram and returns its answer, or `None` if it does not answer this command.
    pub fn open_answer(&mut self, datagram: &[u8]) -> Option<ReceivedAnswer> {
        let opened = self.opener.open(datagram).ok()?;
        match postcard::from_bytes(opened.body).ok()? {
            Message::Answer { ticket, answer } if ticket == self.ticket => {
                Some(ReceivedAnswer { from: opened.from, answer })
            }
            _ => None,
        }
    }
}

//! What a voter has to send, until it is taken.

use super::message::{AddressedOutput, VoterMessage, VoterOutput};

/// Outputs that wait to be sent, at most: some seconds' worth.
const MAX_WAITING: usize = 512;

pub(super) struct Outbox {
    own_slot: usize,
    slot_count: usize,
    waiting: Vec<AddressedOutput>,
}

impl Outbox {
    pub(super) fn new(own_slot: usize, slot_count: usize) -> Outbox {
        Outbox { own_slot, slot_count, waiting: Vec::new() }
    }

    pub(super) fn send(&mut self, slot: usize, message: VoterMessage) {
        self.waiting.push(AddressedOutput { slot, output: VoterOutput::Message(message) });
    }

    pub(super) fn send_to_all(&mut self, message: VoterMessage) {
        for slot in (0..self.slot_count).filter(|slot| *slot != self.own_slot) {
            let output = VoterOutput::Message(message.clone());
            self.waiting.push(AddressedOutput { slot, output });
        }
    }

    pub(super) fn extend(&mut self, outputs: Vec<AddressedOutput>) {
        self.waiting.extend(outputs);
    }

    /// While nothing can be persisted nothing is sent: what has waited for long is as good as lost.
    pub(super) fn drop_excess(&mut self) {
        let excess = self.waiting.len().saturating_sub(MAX_WAITING);
        self.waiting.drain(..excess);
    }

    pub(super) fn take(&mut self) -> Vec<AddressedOutput> {
        std::mem::take(&mut self.waiting)
    }
}

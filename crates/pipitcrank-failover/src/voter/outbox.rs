//! Outputs of a voter that wait to be sent.

use super::message::{AddressedOutput, VoterMessage, VoterOutput};

/// Largest number of queued outputs: the output of a few seconds.
const MAX_QUEUED: usize = 512;

pub(super) struct Outbox {
    own_slot: usize,
    slot_count: usize,
    queued: Vec<AddressedOutput>,
}

impl Outbox {
    pub(super) fn new(own_slot: usize, slot_count: usize) -> Outbox {
        Outbox { own_slot, slot_count, queued: Vec::new() }
    }

    pub(super) fn send(&mut self, slot: usize, message: VoterMessage) {
        self.queued.push(AddressedOutput { slot, output: VoterOutput::Message(message) });
    }

    pub(super) fn send_to_all(&mut self, message: VoterMessage) {
        for slot in (0..self.slot_count).filter(|slot| *slot != self.own_slot) {
            let output = VoterOutput::Message(message.clone());
            self.queued.push(AddressedOutput { slot, output });
        }
    }

    pub(super) fn extend(&mut self, outputs: Vec<AddressedOutput>) {
        self.queued.extend(outputs);
    }

    /// Drops the oldest outputs above the limit. Outputs queue up while the state cannot be persisted, and
    /// messages delayed that long are of no more use than lost ones.
    pub(super) fn drop_excess(&mut self) {
        let excess = self.queued.len().saturating_sub(MAX_QUEUED);
        self.queued.drain(..excess);
    }

    pub(super) fn take(&mut self) -> Vec<AddressedOutput> {
        std::mem::take(&mut self.queued)
    }
}

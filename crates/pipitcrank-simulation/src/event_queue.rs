//! What is to happen, in the order of simulated time.

use std::collections::BTreeMap;

use pipitcrank_core::time::Timestamp;

/// What happens next.
pub enum SimulationEvent {
    /// A datagram arrives.
    Datagram {
        /// Index of the node that receives it.
        node: usize,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// The deadline of the node with this index has come.
    NodeDeadline(usize),
    /// Load and replicas advance by a step.
    Step,
}

/// Events by time; of several at one time the one scheduled first comes first.
#[derive(Default)]
pub struct EventQueue {
    events: BTreeMap<(Timestamp, u64), SimulationEvent>,
    scheduled: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Removes the next event.
    pub fn pop(&mut self) -> Option<(Timestamp, SimulationEvent)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}

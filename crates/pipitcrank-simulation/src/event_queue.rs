//! Queue of scheduled events, in the order of simulated time.

use std::collections::BTreeMap;

use pipitcrank_core::time::Timestamp;

/// A scheduled event.
pub enum SimulationEvent {
    /// Arrival of a datagram.
    Datagram {
        /// Index of the node that receives it.
        node: usize,
        /// Content of the datagram.
        bytes: Vec<u8>,
    },
    /// Deadline of the node with this index.
    NodeDeadline(usize),
    /// Next step of the load and the replicas.
    Step,
}

/// Events by time. Events at the same time are returned in the order in which they were scheduled.
#[derive(Default)]
pub struct EventQueue {
    events: BTreeMap<(Timestamp, u64), SimulationEvent>,
    scheduled_count: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Timestamp, event: SimulationEvent) {
        self.scheduled_count += 1;
        self.events.insert((at, self.scheduled_count), event);
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<(Timestamp, SimulationEvent)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}

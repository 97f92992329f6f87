//! The emulator: many nodes in simulated time, in zones, on a network with faults, in front of replicas with queues. It
//! drives the state machines that the program drives, and has no rules of its own. The same seed gives the same bytes.
//!
//! | module | job |
//! | --- | --- |
//! | `event_queue`, `network` | what happens next; datagrams in transit, with delay, loss and partitions |
//! | `zone_replicas` | a zone's replicas as one queue, which can fail, be slow or warm up |
//! | `zones` | the experiment `zones` |
//! | `plot` | time series as an SVG image |

pub mod event_queue;
pub mod network;
pub mod plot;
pub mod zone_replicas;
pub mod zones;

//! Emulator of many nodes in simulated time: nodes in zones, a network with faults, and replicas with queues.
//! It runs the same state machines as the program and adds no routing or failover rules to them. Runs with
//! the same seed give byte-identical results.
//!
//! | module | contents |
//! | --- | --- |
//! | `event_queue` | events in the order of simulated time |
//! | `network` | datagrams in transit, with delay, loss and partitions |
//! | `zone_replicas` | replicas of a zone as one queue, which can fail, slow down or warm up |
//! | `zones` | experiment `zones`: the failure of a zone under load |
//! | `plot` | time series as an SVG image |

pub mod event_queue;
pub mod network;
pub mod plot;
pub mod zone_replicas;
pub mod zones;

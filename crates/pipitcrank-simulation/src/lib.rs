//! The emulator: many copies in simulated time, in zones, on a net with faults, before leaves with queues. It drives the
//! books that the program drives, and has no rules of its own. The same seed gives the same bytes.
//!
//! | file | what |
//! | --- | --- |
//! | `net.rs` | datagrams on their way: delay, loss, zones that do not hear each other |
//! | `leaves.rs` | a zone's leaves as one queue, that can be lost, slow or cold |
//! | `zones.rs` | the experiment `zones` |
//! | `plot.rs` | figures over time as a picture |

pub mod net;
pub mod plot;
pub mod replicas;
pub mod zones;

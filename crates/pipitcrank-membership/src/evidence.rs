//! What nodes observe of zones, combined. A few nodes of each zone report bounded counts of each zone's replicas; the newest
//! valid report of each reporter enters a matrix, from zone to zone. From it four faults are distinguished: a dead zone, a
//! cut path between two zones, a zone that is cut off from all others, and a single isolated node. Where work goes is not
//! decided here.
//!
//! | file | contents |
//! | --- | --- |
//! | `report.rs` | a node's report |
//! | `reporters.rs` | which nodes report, and how often |
//! | `matrix.rs` | the combined evidence, and the finding on a zone |
//! | `table.rs` | the newest reports, from which the matrix is made |

mod matrix;
mod report;
mod reporters;
mod table;

pub use matrix::{EvidenceCell, EvidenceMatrix, HEALTHY_FRACTION, UNHEALTHY_FRACTION, ZoneHealth};
pub use report::{EvidenceReport, ReplicaCounts};
pub use reporters::{REPORT_INTERVAL, REPORTERS_PER_ZONE, is_reporter};
pub use table::{EvidenceTable, REPORT_LIFETIME};

#[cfg(test)]
mod tests;

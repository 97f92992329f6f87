//! Combined observations of zones. A few nodes of each zone report bounded counts of the replicas of every
//! zone. The newest valid report of each reporter enters a matrix of observing and observed zones. The matrix
//! distinguishes four faults: a dead zone, a cut path between two zones, a zone cut off from all others, and
//! a single isolated node. Routing is not decided here.
//!
//! | file | contents |
//! | --- | --- |
//! | `report.rs` | report of one node |
//! | `reporters.rs` | selection of the reporting nodes, and the report interval |
//! | `matrix.rs` | combined evidence, and the health of each zone |
//! | `table.rs` | newest reports, from which the matrix is computed |

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

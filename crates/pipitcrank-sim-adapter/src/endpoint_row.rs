//! Row of an endpoint list.

use pipitcrank_core::time::Timestamp;

use crate::line::Line;
use crate::protocol_error::ProtocolError;

/// One replica of an endpoint list.
pub struct EndpointRow {
    pub replica: String,
    pub zone: Option<String>,
    pub cell: u32,
    pub is_up: bool,
    pub started: Option<Timestamp>,
}

impl EndpointRow {
    /// Lifecycle of a replica that accepts parts.
    const UP: &str = "U";
    /// Lifecycle of a replica that drains.
    const LEAVING: &str = "L";
    /// Lifecycle of a replica that has stopped. Its row may have no cell.
    const DOWN: &str = "D";

    pub fn read(line: &Line) -> Result<EndpointRow, ProtocolError> {
        if line.keyword() != "ROW" {
            return Err(line.error("rows", "is larger than the number of ROW lines"));
        }
        let lifecycle = line.field("lifecycle")?;
        if ![Self::UP, Self::LEAVING, Self::DOWN].contains(&lifecycle) {
            return Err(line.error("lifecycle", &format!("is '{lifecycle}', expected U, L or D")));
        }
        let started = line.finite_or("start_time_s", 0.0)?;
        let is_down = lifecycle == Self::DOWN;
        Ok(EndpointRow {
            replica: line.field("replica")?.to_string(),
            zone: line.optional_field("zone").map(str::to_string),
            cell: if is_down { line.parse_or("cell", 0)? } else { line.parse("cell")? },
            is_up: lifecycle == Self::UP,
            started: (started != 0.0).then(|| Timestamp::from_secs_f64(started)),
        })
    }
}

//! One row of an endpoint list.

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
    /// Lifecycles on the wire: up, leaving, down.
    const UP: &str = "U";
    const LEAVING: &str = "L";
    const DOWN: &str = "D";

    pub fn read(line: &Line) -> Result<EndpointRow, ProtocolError> {
        if line.word() != "ROW" {
            return Err(line.error("rows", "counts more rows than follow"));
        }
        let lifecycle = line.field("lifecycle")?;
        if ![Self::UP, Self::LEAVING, Self::DOWN].contains(&lifecycle) {
            return Err(line.error("lifecycle", &format!("is '{lifecycle}', none of U, L, D")));
        }
        let started = line.amount_or("start_time_s", 0.0)?;
        let is_down = lifecycle == Self::DOWN;
        Ok(EndpointRow {
            replica: line.field("replica")?.to_string(),
            zone: line.optional("zone").map(str::to_string),
            cell: if is_down { line.number_in_or("cell", 0)? } else { line.number_in("cell")? },
            is_up: lifecycle == Self::UP,
            started: (started != 0.0).then(|| Timestamp::from_secs_f64(started)),
        })
    }
}

//! Line-by-line reader of the input.

use std::io::BufRead;

use crate::endpoint_row::EndpointRow;
use crate::line::Line;
use crate::protocol_error::ProtocolError;

/// The input and the last line read from it.
pub struct LineReader<'a> {
    input: &'a mut dyn BufRead,
    text: String,
    number: u64,
}

impl<'a> LineReader<'a> {
    pub fn new(input: &'a mut dyn BufRead) -> LineReader<'a> {
        LineReader { input, text: String::new(), number: 0 }
    }

    /// Number of the last line read, starting at 1; 0 before the first line.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Reads the next line; returns `None` at the end of the input.
    pub fn next(&mut self) -> Result<Option<Line<'_>>, ProtocolError> {
        self.text.clear();
        let next_number = self.number + 1;
        let read = self.input.read_line(&mut self.text);
        match read.map_err(|source| ProtocolError::ReadFailed { line: next_number, source })? {
            0 => Ok(None),
            _ => Ok(Some(self.advance_line())),
        }
    }

    /// Reads the rows of an endpoint list. A line that cannot be read is treated as an invalid row.
    pub fn read_rows(&mut self, count: usize) -> Result<Vec<EndpointRow>, ProtocolError> {
        let mut rows = Vec::new();
        for _ in 0..count {
            self.text.clear();
            if self.input.read_line(&mut self.text).is_ok_and(|length| length == 0) {
                return Err(ProtocolError::IncompleteList { line: self.number });
            }
            rows.push(EndpointRow::read(&self.advance_line())?);
        }
        Ok(rows)
    }

    fn advance_line(&mut self) -> Line<'_> {
        self.number += 1;
        Line::new(self.number, self.text.trim_end_matches(['\n', '\r']))
    }
}

//! Reads the input line by line.

use std::io::BufRead;

use crate::endpoint_row::EndpointRow;
use crate::line::Line;
use crate::protocol_error::ProtocolError;

/// The input and the line read last.
pub struct LineReader<'a> {
    input: &'a mut dyn BufRead,
    text: String,
    number: u64,
}

impl<'a> LineReader<'a> {
    pub fn new(input: &'a mut dyn BufRead) -> LineReader<'a> {
        LineReader { input, text: String::new(), number: 0 }
    }

    /// Number of the line read last, counted from 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The next line; none at the end of the input.
    pub fn next(&mut self) -> Result<Option<Line<'_>>, ProtocolError> {
        self.text.clear();
        let next_number = self.number + 1;
        let read = self.input.read_line(&mut self.text);
        match read.map_err(|source| ProtocolError::NotRead { line: next_number, source })? {
            0 => Ok(None),
            _ => Ok(Some(self.take_line())),
        }
    }

    /// The rows of an endpoint list. A line that can't be read is no row.
    pub fn rows(&mut self, count: usize) -> Result<Vec<EndpointRow>, ProtocolError> {
        let mut rows = Vec::new();
        for _ in 0..count {
            self.text.clear();
            if self.input.read_line(&mut self.text).is_ok_and(|length| length == 0) {
                return Err(ProtocolError::EndsInList { line: self.number });
            }
            rows.push(EndpointRow::read(&self.take_line())?);
        }
        Ok(rows)
    }

    fn take_line(&mut self) -> Line<'_> {
        self.number += 1;
        Line::new(self.number, self.text.trim_end_matches(['\n', '\r']))
    }
}

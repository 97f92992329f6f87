//! Splitting of a byte stream into JSON objects, independent of line ends and of the sizes of the received pieces.

use bytes::{Buf, BytesMut};

/// Reason for which a stream cannot be split any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonStreamError {
    /// The text between two objects is not white space.
    #[error("expected the start of a JSON object, got another character")]
    NotAnObject,
    /// An object is longer than the limit.
    #[error("expected an object within the length limit, got a longer one")]
    TooLong,
}

/// Splits a byte stream into JSON objects without decoding them.
pub struct JsonObjectStream {
    max_length: usize,
    buffer: BytesMut,
    /// Number of bytes of the buffer that have been scanned. Each byte is scanned once.
    scanned: usize,
    depth: u32,
    in_string: bool,
    /// Whether the previous byte was an escaping backslash within a string.
    escaped: bool,
}

impl JsonObjectStream {
    /// Creates an empty stream. `max_length`: maximum length of an object in bytes.
    pub fn new(max_length: usize) -> JsonObjectStream {
        JsonObjectStream {
            max_length,
            buffer: BytesMut::new(),
            scanned: 0,
            depth: 0,
            in_string: false,
            escaped: false,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes that are buffered.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether part of an object is buffered. Valid after `take` has returned `None`.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes and returns the next complete object; `None` if the buffer holds no complete object.
    pub fn take(&mut self) -> Result<Option<BytesMut>, JsonStreamError> {
        if self.depth == 0 {
            let blank = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.buffer.advance(blank);
        }
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if self.scanned > self.max_length {
                return Err(JsonStreamError::TooLong);
            }
            if self.in_string {
                self.scan_string(byte);
                continue;
            }
            match byte {
                b'{' => self.depth += 1,
                _ if self.depth == 0 => return Err(JsonStreamError::NotAnObject),
                b'"' => self.in_string = true,
                b'}' if self.depth == 1 => {
                    self.depth = 0;
                    return Ok(Some(self.buffer.split_to(std::mem::take(&mut self.scanned))));
                }
                b'}' => self.depth -= 1,
                _ => {}
            }
        }
        Ok(None)
    }

    fn scan_string(&mut self, byte: u8) {
        let ends = byte == b'"' && !self.escaped;
        self.escaped = byte == b'\\' && !self.escaped;
        self.in_string = !ends;
    }
}

#[cfg(test)]
mod tests;

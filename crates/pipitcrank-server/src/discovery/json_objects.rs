//! JSON objects cut out of a stream of bytes, however it is broken into lines and pieces. They are decoded elsewhere.

use bytes::{Buf, BytesMut};

/// Why a stream can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonStreamError {
    /// Something that is no object stands between two.
    #[error("something between two objects")]
    NotAnObject,
    /// An object is longer than the limit.
    #[error("an object over the limit")]
    TooLong,
}

/// Cuts objects out of the bytes that came.
pub struct JsonObjectStream {
    max_length: usize,
    buffer: BytesMut,
    /// Bytes of the buffer that were scanned: each is scanned once.
    scanned: usize,
    depth: u32,
    in_string: bool,
    /// The byte before was a backslash within a string.
    escaped: bool,
}

impl JsonObjectStream {
    /// A stream whose objects are no longer than so many bytes.
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

    /// Adds bytes that came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether some of the next object has come; after `take` has found no whole one.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the next object that has come whole.
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

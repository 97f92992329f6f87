//! Objects of JSON cut out of a stream of bytes, however it is broken into lines and pieces. What is in them is read
//! elsewhere.

use bytes::{Buf, BytesMut};

#[derive(Debug, PartialEq)]
pub enum JsonStreamError {
    /// Something that is no object stands between two.
    Between,
    /// An object of more bytes than are taken.
    TooLong,
}

/// Holds what of the next object has come.
pub struct JsonObjectStream {
    longest: usize,
    buffer: BytesMut,
    /// Bytes of it looked at: each is looked at once.
    seen: usize,
    depth: u32,
    /// Within a text, and behind a backslash there.
    text: bool,
    escaped: bool,
}

impl JsonObjectStream {
    /// None is longer than so many bytes.
    pub fn new(longest: usize) -> JsonObjectStream {
        JsonObjectStream { longest, buffer: BytesMut::new(), seen: 0, depth: 0, text: false, escaped: false }
    }

    pub fn came(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether some of the next one has come; after `take` has found no whole one.
    pub fn begun(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next one that has come whole.
    pub fn take(&mut self) -> Result<Option<BytesMut>, JsonStreamError> {
        if self.depth == 0 {
            let blank = self.buffer.iter().take_while(|b| b.is_ascii_whitespace()).count();
            self.buffer.advance(blank);
        }
        while let Some(&byte) = self.buffer.get(self.seen) {
            self.seen += 1;
            if self.seen > self.longest {
                return Err(JsonStreamError::TooLong);
            }
            if self.text {
                let ends = byte == b'"' && !self.escaped;
                self.escaped = byte == b'\\' && !self.escaped;
                self.text = !ends;
                continue;
            }
            match byte {
                b'{' => self.depth += 1,
                _ if self.depth == 0 => return Err(JsonStreamError::Between),
                b'"' => self.text = true,
                b'}' if self.depth == 1 => {
                    self.depth = 0;
                    return Ok(Some(self.buffer.split_to(std::mem::take(&mut self.seen))));
                }
                b'}' => self.depth -= 1,
                _ => {}
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests;

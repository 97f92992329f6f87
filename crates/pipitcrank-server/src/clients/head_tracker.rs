//! Tracks request heads as they are received: where a request begins and how its head frames the body, which the HTTP
//! library does not expose. A head is examined byte by byte and not stored.

/// How the end of a request's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`, in bytes; 0 for a request without a body.
    Length(u64),
    /// `Transfer-Encoding`.
    Chunked,
    /// Both headers are present, so two parsers may disagree about the end of the request.
    Ambiguous,
}

/// Stored beginning of the current line. A framing header that is longer counts as one with an invalid value.
const MAX_LINE_BYTES: usize = 256;

/// The line of a head that is being received.
#[derive(Default)]
struct Line {
    /// At most `MAX_LINE_BYTES` of it, without the line end.
    text: Vec<u8>,
    is_truncated: bool,
    has_content: bool,
}

impl Line {
    fn push(&mut self, byte: u8) {
        self.has_content |= !byte.is_ascii_whitespace();
        if self.text.len() < MAX_LINE_BYTES {
            self.text.push(byte);
        } else {
            self.is_truncated = true;
        }
    }

    /// Name and value, if the line is a header field.
    fn field(&self) -> Option<(&[u8], &[u8])> {
        let colon = self.text.iter().position(|&byte| byte == b':')?;
        Some((self.text[..colon].trim_ascii(), self.text[colon + 1..].trim_ascii()))
    }

    fn clear(&mut self) {
        self.text.clear();
        (self.is_truncated, self.has_content) = (false, false);
    }
}

/// Parses the framing of request heads independently of the HTTP library.
pub struct HeadTracker {
    max_head_bytes: usize,
    /// Length of the part of the head received so far; 0 once the head is complete.
    head_bytes: usize,
    line: Line,
    /// Whether the request line has begun. Empty lines before it are skipped.
    has_begun: bool,
    content_length: Option<u64>,
    has_transfer_encoding: bool,
    /// Framing of the current request, once its head is complete.
    framing: Option<Framing>,
    /// Bytes of the body not yet received, if its length is known.
    body_left: u64,
    /// Whether bytes arrived after the request: a pipelined request, or a body longer than its `Content-Length`.
    has_trailing_bytes: bool,
}

impl HeadTracker {
    /// Creates a tracker for heads of up to `max_head_bytes`; the HTTP library rejects longer ones.
    pub fn new(max_head_bytes: usize) -> HeadTracker {
        HeadTracker {
            max_head_bytes,
            head_bytes: 0,
            line: Line::default(),
            has_begun: false,
            content_length: None,
            has_transfer_encoding: false,
            framing: None,
            body_left: 0,
            has_trailing_bytes: false,
        }
    }

    /// Consumes received bytes; returns how many of them belong to the current request. Bytes after the request are never used.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut own = 0;
        if self.framing.is_none() {
            let room = (self.max_head_bytes - self.head_bytes).min(bytes.len());
            let Some(end) = self.push_head(&bytes[..room]) else { return bytes.len() };
            own = end;
        }
        let Some(Framing::Length(_)) = self.framing else { return bytes.len() };
        let of_body = self.body_left.min((bytes.len() - own) as u64);
        self.body_left -= of_body;
        own += of_body as usize;
        self.has_trailing_bytes |= bytes.len() > own;
        own
    }

    /// Consumes bytes of the head; returns the position after its end, if it ends in these bytes.
    fn push_head(&mut self, bytes: &[u8]) -> Option<usize> {
        for (position, &byte) in bytes.iter().enumerate() {
            self.head_bytes += 1;
            if byte != b'\n' {
                self.has_begun |= byte != b'\r';
                self.line.push(byte);
                continue;
            }
            if self.has_begun && !self.line.has_content {
                self.finish_head();
                return Some(position + 1);
            }
            self.finish_line();
        }
        None
    }

    fn finish_line(&mut self) {
        if let Some((name, value)) = self.line.field() {
            if name.eq_ignore_ascii_case(b"content-length") {
                let text = std::str::from_utf8(value).ok().filter(|_| !self.line.is_truncated);
                self.content_length = Some(text.and_then(|text| text.parse().ok()).unwrap_or(u64::MAX));
            }
            self.has_transfer_encoding |= name.eq_ignore_ascii_case(b"transfer-encoding");
        }
        self.line.clear();
    }

    fn finish_head(&mut self) {
        let framing = match (self.content_length, self.has_transfer_encoding) {
            (Some(_), true) => Framing::Ambiguous,
            (None, true) => Framing::Chunked,
            (length, false) => Framing::Length(length.unwrap_or(0)),
        };
        self.body_left = if let Framing::Length(length) = framing { length } else { 0 };
        self.framing = Some(framing);
        self.head_bytes = 0;
        self.line = Line::default();
    }

    /// Length of the part of an incomplete head received so far.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Whether the whole request has been received; false for a chunked body, whose end is not tracked here.
    pub fn is_complete(&self) -> bool {
        matches!(self.framing, Some(Framing::Length(_))) && self.body_left == 0
    }

    /// Whether a request has begun and may be incomplete.
    pub fn may_be_incomplete(&self) -> bool {
        self.head_bytes > 0 || self.framing.is_some() && !self.is_complete()
    }

    /// Framing of the current request, once its head is complete.
    pub fn framing(&self) -> Option<Framing> {
        self.framing
    }

    /// Whether the connection may carry another request. The current request must be known to be complete, with no bytes after
    /// it, so that the next head is tracked from its first byte.
    pub fn allows_next_request(&self) -> bool {
        self.is_complete() && !self.has_trailing_bytes
    }

    /// Starts tracking the next request, after the current one was answered.
    pub fn reset(&mut self) {
        *self = HeadTracker::new(self.max_head_bytes);
    }
}

#[cfg(test)]
mod tests;

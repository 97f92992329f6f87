//! Credit-based flow control of one direction of a link, in bytes of frames. The sender stops when it has no credit,
//! and the receiver returns credit as it consumes frames, so a peer cannot make the other side buffer without bound.

/// Initial credit, in bytes: enough for a hundred typical forwards or answers, or for several of maximum length.
pub const INITIAL_CREDIT: u32 = 1 << 20;
/// Number of consumed bytes after which credit is returned, in one frame of nine bytes.
const CREDIT_STEP: u32 = INITIAL_CREDIT / 8;

/// Credit account of the sending side.
#[derive(Debug, Default)]
pub struct SendWindow {
    credit: i64,
}

impl SendWindow {
    /// A window with an initial credit of `initial` bytes.
    pub fn new(initial: u32) -> SendWindow {
        SendWindow { credit: i64::from(initial) }
    }

    /// Whether another frame may be sent. A frame may exceed the remaining credit, so that a long frame never waits
    /// for ever.
    pub fn can_send(&self) -> bool {
        self.credit > 0
    }

    /// Deducts a sent frame of `bytes` bytes.
    pub fn consume(&mut self, bytes: usize) {
        self.credit -= bytes as i64;
    }

    /// Adds `bytes` of returned credit. Returns false if the credit is above `limit` now: the peer has violated the
    /// protocol.
    pub fn replenish(&mut self, bytes: u32, limit: u32) -> bool {
        self.credit += i64::from(bytes);
        self.credit <= i64::from(limit)
    }
}

/// Credit account of the receiving side.
#[derive(Debug, Default)]
pub struct ReceiveWindow {
    /// Consumed bytes for which no credit has been returned yet.
    unreturned: u32,
    /// Remaining credit of the sender, in bytes.
    credit: i64,
}

impl ReceiveWindow {
    /// A window whose sender has [`INITIAL_CREDIT`].
    pub fn new() -> ReceiveWindow {
        ReceiveWindow { unreturned: 0, credit: i64::from(INITIAL_CREDIT) }
    }

    /// Records a received frame of `bytes` bytes. Returns false if the sender had no credit for it.
    pub fn received(&mut self, bytes: usize) -> bool {
        let had_credit = self.credit > 0;
        self.credit -= bytes as i64;
        self.unreturned = self.unreturned.saturating_add(bytes as u32);
        had_credit
    }

    /// Credit that is due to be returned to the sender, in bytes; `None` until enough bytes are consumed.
    pub fn credit_to_return(&mut self) -> Option<u32> {
        let bytes = (self.unreturned >= CREDIT_STEP).then(|| std::mem::take(&mut self.unreturned))?;
        self.credit += i64::from(bytes);
        Some(bytes)
    }
}

#[cfg(test)]
mod tests;

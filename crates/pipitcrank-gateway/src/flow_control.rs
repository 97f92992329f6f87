//! Flow control of one direction of a link, in bytes of frames: the sender stops without credit, the receiver returns
//! credit as it takes frames out. So neither side's memory grows with what the other sends.

/// Credit at the start, in bytes: a hundred usual forwards or answers, and several of the longest.
pub const INITIAL_CREDIT: u32 = 1 << 20;
/// Credit is returned in steps of so many bytes: a frame of nine bytes for each.
const CREDIT_STEP: u32 = INITIAL_CREDIT / 8;

/// The sending side.
#[derive(Debug, Default)]
pub struct SendWindow {
    credit: i64,
}

impl SendWindow {
    /// A window with that much credit, in bytes.
    pub fn new(initial: u32) -> SendWindow {
        SendWindow { credit: i64::from(initial) }
    }

    /// Whether a frame may be begun. One may overdraw, so that no frame is too long for any credit.
    pub fn can_send(&self) -> bool {
        self.credit > 0
    }

    /// A frame of so many bytes is sent.
    pub fn consume(&mut self, bytes: usize) {
        self.credit -= bytes as i64;
    }

    /// Credit was returned; false where there is more than `limit` now, which no sound peer causes.
    pub fn replenish(&mut self, bytes: u32, limit: u32) -> bool {
        self.credit += i64::from(bytes);
        self.credit <= i64::from(limit)
    }
}

/// The receiving side.
#[derive(Debug, Default)]
pub struct ReceiveWindow {
    /// Bytes taken out, for which no credit was returned yet.
    unreturned: u32,
    /// Credit that the sender has.
    credit: i64,
}

impl ReceiveWindow {
    /// A window with [`INITIAL_CREDIT`].
    pub fn new() -> ReceiveWindow {
        ReceiveWindow { unreturned: 0, credit: i64::from(INITIAL_CREDIT) }
    }

    /// A frame of so many bytes was received; false where it was begun without credit.
    pub fn received(&mut self, bytes: usize) -> bool {
        let had_credit = self.credit > 0;
        self.credit -= bytes as i64;
        self.unreturned = self.unreturned.saturating_add(bytes as u32);
        had_credit
    }

    /// Credit to return now, in bytes.
    pub fn credit_to_return(&mut self) -> Option<u32> {
        let bytes = (self.unreturned >= CREDIT_STEP).then(|| std::mem::take(&mut self.unreturned))?;
        self.credit += i64::from(bytes);
        Some(bytes)
    }
}

#[cfg(test)]
mod tests;

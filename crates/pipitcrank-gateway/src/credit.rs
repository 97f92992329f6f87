//! Credit of one direction of a link, in bytes of frames: who sends stops without it, who receives gives it back as it
//! takes frames out. So neither side's memory grows with what the other sends.

/// Bytes on the way at most: a hundred usual forwards or answers, and several of the longest.
pub const FIRST: u32 = 1 << 20;
/// Given back in steps of so much: a frame of nine bytes for each eighth of it.
const STEP: u32 = FIRST / 8;

/// The sending side.
#[derive(Debug, Default)]
pub struct Spending {
    left: i64,
}

impl Spending {
    pub fn new(first: u32) -> Spending {
        Spending { left: i64::from(first) }
    }

    /// Whether a frame may be begun. One may overdraw, so that no frame is too long for any credit.
    pub fn may(&self) -> bool {
        self.left > 0
    }

    pub fn spend(&mut self, bytes: usize) {
        self.left -= bytes as i64;
    }

    /// More was given; false where it is more than was ever spent, which no sound peer does.
    pub fn get(&mut self, more: u32, first: u32) -> bool {
        self.left += i64::from(more);
        self.left <= i64::from(first)
    }
}

/// The receiving side.
#[derive(Debug, Default)]
pub struct Giving {
    taken: u32,
    out: i64,
}

impl Giving {
    pub fn new() -> Giving {
        Giving { taken: 0, out: i64::from(FIRST) }
    }

    /// A frame of so many bytes came; false where it was begun without credit.
    pub fn came(&mut self, bytes: usize) -> bool {
        let may = self.out > 0;
        self.out -= bytes as i64;
        self.taken = self.taken.saturating_add(bytes as u32);
        may
    }

    /// What to give back now.
    pub fn give(&mut self) -> Option<u32> {
        let back = (self.taken >= STEP).then(|| std::mem::take(&mut self.taken))?;
        self.out += i64::from(back);
        Some(back)
    }
}

#[cfg(test)]
mod tests;

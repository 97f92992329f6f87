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
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Frames and credit on a way of any length: never more on it than the credit and one frame, and it never
        /// comes to a standstill.
        #[test]
        fn what_is_on_the_way_is_bounded_and_all_gets_through(
            frames in proptest::collection::vec(1usize..400_000, 1..80), takes in proptest::collection::vec(any::<bool>(), 0..300))
        {
            let (mut spending, mut giving) = (Spending::new(FIRST), Giving::new());
            let (mut to_send, mut way, mut back) = (frames.clone(), Vec::new(), Vec::new());
            to_send.reverse();
            let mut takes = takes.into_iter().chain(std::iter::repeat(true));
            let mut got = 0;
            for _ in 0..10_000 {
                if got == frames.len() { break; }
                if spending.may() && let Some(frame) = to_send.pop() {
                    spending.spend(frame);
                    way.push(frame);
                }
                prop_assert!(way.iter().sum::<usize>() <= FIRST as usize + 400_000);
                if takes.next() == Some(true) && !way.is_empty() {
                    prop_assert!(giving.came(way.remove(0)));
                    got += 1;
                    back.extend(giving.give());
                }
                for more in back.drain(..) { prop_assert!(spending.get(more, FIRST)); }
            }
            prop_assert_eq!(got, frames.len());
        }
    }

    #[test]
    fn a_peer_that_sends_without_credit_or_gives_what_nobody_spent_is_seen() {
        let mut giving = Giving::new();
        assert!(giving.came(FIRST as usize + 5), "one may overdraw");
        assert!(!giving.came(1));
        assert!(!Spending::new(FIRST).get(1, FIRST));
    }
}

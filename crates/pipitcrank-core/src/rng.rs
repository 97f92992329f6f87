//! A lag-1 multiply-with-carry random number generator with 32-bit words and 64 bits of state.

/// The random number generator.
pub struct Rng(u64);

impl Default for Rng {
    fn default() -> Rng {
        Rng::new(0)
    }
}

impl Rng {
    /// Fractional part of the golden ratio as a 64-bit fraction.
    const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;
    /// A safe-prime multiplier published by Marsaglia.
    const MULTIPLIER: u64 = 4_294_957_665;

    /// Creates a generator from a seed. The lowest bit is set and the highest bit is cleared, which excludes
    /// the two states that the generator never leaves.
    pub fn new(seed: u64) -> Rng {
        Rng((seed ^ (seed >> 31)).wrapping_mul(Self::GOLDEN_RATIO) >> 1 | 1)
    }

    fn next_word(&mut self) -> u32 {
        self.0 = Self::MULTIPLIER * (self.0 & 0xFFFF_FFFF) + (self.0 >> 32);
        self.0 as u32
    }

    /// Returns a number in [0, 1).
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.next_word()) / 4_294_967_296.0
    }

    /// Returns an index below `n`, which must be at least 1.
    pub fn below(&mut self, n: usize) -> usize {
        ((u64::from(self.next_word()) * n as u64) >> 32) as usize
    }
}

//! A lag-1 multiply-with-carry random number generator (32-bit words, 64-bit state).

/// The generator.
pub struct Rng(u64);

impl Default for Rng {
    fn default() -> Rng {
        Rng::new(0)
    }
}

impl Rng {
    /// Fractional part of the golden ratio, in 64 bits.
    const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;
    /// A safe-prime multiplier of Marsaglia's.
    const MULTIPLIER: u64 = 4_294_957_665;

    /// A generator for the seed. One set low bit and one clear high bit avoid both states that the generator never
    /// leaves.
    pub fn new(seed: u64) -> Rng {
        Rng((seed ^ (seed >> 31)).wrapping_mul(Self::GOLDEN_RATIO) >> 1 | 1)
    }

    fn next_word(&mut self) -> u32 {
        self.0 = Self::MULTIPLIER * (self.0 & 0xFFFF_FFFF) + (self.0 >> 32);
        self.0 as u32
    }

    /// A number from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.next_word()) / 4_294_967_296.0
    }

    /// An index below `n`, which is at least 1.
    pub fn below(&mut self, n: usize) -> usize {
        ((u64::from(self.next_word()) * n as u64) >> 32) as usize
    }
}

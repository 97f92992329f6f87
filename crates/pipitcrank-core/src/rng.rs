//! Chance: a lag-1 multiply-with-carry generator (32-bit words, 64-bit state).

pub struct Rng(u64);

impl Default for Rng {
    fn default() -> Rng {
        Rng::new(0)
    }
}

impl Rng {
    /// Mixes the seed with the golden ratio's fraction; one set low bit and one clear high bit keep clear of
    /// both states in which the generator stands still.
    pub fn new(seed: u64) -> Rng {
        Rng((seed ^ (seed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 1 | 1)
    }

    /// One step with the multiplier 4294957665, a safe-prime choice of Marsaglia's.
    fn word(&mut self) -> u32 {
        self.0 = 4_294_957_665 * (self.0 & 0xFFFF_FFFF) + (self.0 >> 32);
        self.0 as u32
    }

    /// A share from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.word()) / 4_294_967_296.0
    }

    /// An index below `n`, which is at least 1.
    pub fn below(&mut self, n: usize) -> usize {
        ((u64::from(self.word()) * n as u64) >> 32) as usize
    }
}

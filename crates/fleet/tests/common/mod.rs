//! Shared by the simulations.

/// A random number generator that is the same on all platforms: Knuth's linear congruential one, modulo 2^64.
pub struct Rng(pub u64);

impl Rng {
    /// A random number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound.max(1)
    }
}

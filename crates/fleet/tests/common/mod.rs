//! The random number generator that the simulations share.

/// A linear congruential generator modulo 2^64, with Knuth's constants. It gives the same numbers on all platforms, so
/// that a seed reproduces a run.
pub struct Rng(pub u64);

impl Rng {
    /// Returns a random number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound.max(1)
    }
}

//! A pseudorandom number generator for the random part of backoffs.

/// A linear congruential generator modulo 2^64, with Knuth's constants. Its output is reproducible from the seed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Jitter {
    state: u64,
}

impl Jitter {
    const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
    const INCREMENT: u64 = 1_442_695_040_888_963_407;
    /// The number of high bits of the state that form a fraction. The low bits are not used, since their periods are
    /// short.
    const FRACTION_BITS: u32 = 24;

    /// Returns a generator. The lowest bit of the seed is ignored: seeds 2n and 2n + 1 give the same sequence.
    pub(super) fn new(seed: u64) -> Jitter {
        Jitter { state: seed | 1 }
    }

    /// Returns a random number in the range from 0 (inclusive) to 1 (exclusive).
    pub(super) fn fraction(&mut self) -> f64 {
        self.state = self
            .state
            .wrapping_mul(Self::MULTIPLIER)
            .wrapping_add(Self::INCREMENT);
        let high_bits = self.state >> (u64::BITS - Self::FRACTION_BITS);
        high_bits as f64 / f64::from(1 << Self::FRACTION_BITS)
    }
}

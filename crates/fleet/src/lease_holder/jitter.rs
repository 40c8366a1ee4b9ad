//! Random numbers for the jitter of backoffs.

/// Knuth's linear congruential generator, modulo 2^64.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Jitter {
    state: u64,
}

impl Jitter {
    const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
    const INCREMENT: u64 = 1_442_695_040_888_963_407;
    /// The high bits of the state that make a fraction; the low bits have short periods.
    const FRACTION_BITS: u32 = 24;

    /// A generator with this seed.
    pub(super) fn new(seed: u64) -> Jitter {
        Jitter { state: seed | 1 }
    }

    /// A random number of 0 up to, but not including, 1.
    pub(super) fn fraction(&mut self) -> f64 {
        self.state = self
            .state
            .wrapping_mul(Self::MULTIPLIER)
            .wrapping_add(Self::INCREMENT);
        let high_bits = self.state >> (u64::BITS - Self::FRACTION_BITS);
        high_bits as f64 / f64::from(1 << Self::FRACTION_BITS)
    }
}

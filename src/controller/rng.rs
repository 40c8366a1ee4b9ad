//! Generates the random numbers of one gateway. Equal seeds give equal sequences.

/// Multiplier of the multiply-with-carry generator.
const MULTIPLIER: u64 = 4_294_957_665;
/// Exclusive upper limit of the generator's state: the multiplier times 2^32.
const STATE_LIMIT: u64 = 0xffff_da61_0000_0000;
const LOW_WORD: u64 = 0xffff_ffff;

/// Multiply-with-carry generator: the lower 32 bits of the state are the output, the upper 32 bits the carry.
#[derive(Default)]
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Rng((seed | 1) % STATE_LIMIT)
    }

    /// Returns a uniformly distributed number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn uniform(&mut self) -> f64 {
        self.0 = MULTIPLIER * (self.0 & LOW_WORD) + (self.0 >> 32);
        (self.0 & LOW_WORD) as f64 / 4_294_967_296.0
    }
}

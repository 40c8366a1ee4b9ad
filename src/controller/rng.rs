//! The random numbers of one gateway, repeatable by its seed.

/// Period constants of the multiply-with-carry generator.
const MULTIPLIER: u64 = 4_294_957_665;
const STATE_LIMIT: u64 = 0xffff_da61_0000_0000;
const LOW_WORD: u64 = 0xffff_ffff;

/// A multiply-with-carry generator.
#[derive(Default)]
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Rng((seed | 1) % STATE_LIMIT)
    }

    /// A number from 0 to below 1.
    pub(crate) fn uniform(&mut self) -> f64 {
        self.0 = MULTIPLIER * (self.0 & LOW_WORD) + (self.0 >> 32);
        (self.0 & LOW_WORD) as f64 / 4_294_967_296.0
    }
}

//! The random draws of a world: one seed, one day.

pub(super) struct Dice(pub(super) u64);

impl Dice {
    pub(super) fn roll(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }

    pub(super) fn one_in(&mut self, n: u64) -> bool {
        self.roll(n) == 0
    }

    pub(super) fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.roll(to - from)
    }
}

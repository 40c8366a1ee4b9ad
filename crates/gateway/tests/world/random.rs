//! Random numbers of the simulation: one seed gives one day.

pub(super) struct Rng(pub(super) u64);

impl Rng {
    pub(super) fn draw(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }

    pub(super) fn one_in(&mut self, n: u64) -> bool {
        self.draw(n) == 0
    }

    pub(super) fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.draw(to - from)
    }
}

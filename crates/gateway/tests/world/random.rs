//! Pseudo-random numbers of the simulation. Equal seeds give equal simulated days.

pub(super) struct Rng(pub(super) u64);

impl Rng {
    /// Returns a number less than `below`.
    pub(super) fn draw(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }

    /// Returns true with a probability of 1 in `n`.
    pub(super) fn one_in(&mut self, n: u64) -> bool {
        self.draw(n) == 0
    }

    /// Returns a number from `from` to `to`, without `to`.
    pub(super) fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.draw(to - from)
    }
}

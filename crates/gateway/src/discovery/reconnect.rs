//! When the change log is connected to again: paced, and with jitter, so that a fleet that lost it at once is not in step.

use std::time::Duration;

/// The longest pause between two connections.
pub const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The pace of one gateway's connections to the log.
#[derive(Clone, Debug)]
pub struct Reconnect {
    pause: Duration,
    state: u64,
}

impl Reconnect {
    /// `seed` sets a gateway apart from the others of its fleet.
    pub fn new(pause: Duration, seed: u64) -> Self {
        Reconnect {
            pause: pause.min(LONGEST_PAUSE),
            state: seed,
        }
    }

    /// How long to wait with the next connection where the last was begun so long ago: from begin to begin a whole pause, and
    /// a random part of a second one, also after one that lasted.
    pub fn wait(&mut self, since: Duration) -> Duration {
        self.pause.saturating_sub(since) + self.pause.mul_f64(self.fraction())
    }

    /// How much later than it could be a connection is opened beside one that is slow: a random part of a quarter of a pause.
    pub fn jitter_beside(&mut self) -> Duration {
        (self.pause / 4).mul_f64(self.fraction())
    }

    /// The next random number from 0 to less than 1, by splitmix64.
    fn fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

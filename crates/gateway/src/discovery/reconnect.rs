//! The backoff of connections to the change log: paced, with jitter, so that a fleet that lost the log at once does not
//! reconnect in step.

use std::time::Duration;

/// The longest backoff between the starts of two connections, without jitter.
pub const MAX_PAUSE: Duration = Duration::from_millis(500);

/// The backoff of one gateway's connections to the log.
#[derive(Clone, Debug)]
pub struct Reconnect {
    pause: Duration,
    random_state: u64,
}

impl Reconnect {
    /// A backoff of `pause`, [`MAX_PAUSE`] at most; `seed` differs between the gateways of a fleet.
    pub fn new(pause: Duration, seed: u64) -> Self {
        Reconnect {
            pause: pause.min(MAX_PAUSE),
            random_state: seed,
        }
    }

    /// How long to wait before the next connection, where the last one was begun `since_last_start` ago: a pause from start to start, and
    /// up to another one as jitter, even after a connection that lasted.
    pub fn next_pause(&mut self, since_last_start: Duration) -> Duration {
        let jitter = self.pause.mul_f64(self.random_fraction());
        self.pause.saturating_sub(since_last_start) + jitter
    }

    /// The jitter of a connection that is opened beside a slow one: up to a quarter of a pause.
    pub fn backup_jitter(&mut self) -> Duration {
        (self.pause / 4).mul_f64(self.random_fraction())
    }

    /// The next random number from 0 to less than 1, by splitmix64.
    fn random_fraction(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

//! When engines started, on this process's own clock. The change log tells starts in Unix time, and no two machines' wall clocks
//! need agree: either may be off by seconds or by an hour. What is certain is that a start lies before the moment at which it
//! is heard of, and how far two starts that the log tells lie apart. So the newest start heard of so far counts as just now, and
//! the others as long before it as told: the latest that they can be, by which a cold engine is never held for a warm one. Where
//! our own clock makes a start later than that, that counts: so a log that is wrong about one start ages no other.

/// What starts heard of so far tell.
#[derive(Clone, Copy, Debug)]
pub struct StartTimes {
    /// The least time, in seconds, between a start as told and when it was heard of.
    least_lag: f64,
    heard: f64,
}

impl StartTimes {
    pub fn new() -> StartTimes {
        StartTimes {
            least_lag: f64::INFINITY,
            heard: 0.0,
        }
    }

    /// Starts, in Unix seconds as told, that are heard of at `now`, in seconds of this process's clock.
    pub fn hear(&mut self, now: f64, told: impl Iterator<Item = f64>) {
        self.heard = now;
        self.least_lag = told.fold(self.least_lag, |least, start| least.min(now - start));
    }

    /// The latest that a start can be which was heard of by now, in seconds of this process's clock.
    pub fn latest(&self, told: f64) -> f64 {
        (told + self.least_lag).max(told).min(self.heard)
    }
}

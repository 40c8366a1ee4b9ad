//! The one clock: monotonic, anchored once to Unix time, in seconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    unix: f64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            anchor: Instant::now(),
            unix: unix.as_secs_f64(),
        }
    }

    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> f64 {
        self.unix + instant.saturating_duration_since(self.anchor).as_secs_f64()
    }

    /// The instant of a time on this clock, for timers.
    pub fn instant(&self, at: f64) -> Instant {
        self.anchor + span(at - self.unix)
    }
}

/// A span from seconds; none that is negative, no number, or longer than a day.
pub fn span(seconds: f64) -> Duration {
    const DAY: f64 = 86_400.0;
    Duration::try_from_secs_f64(seconds.clamp(0.0, DAY)).unwrap_or_default()
}

/// Minute of the day, UTC, of a time on the clock.
pub fn minute_of_day(now: f64) -> u32 {
    ((now / 60.0).max(0.0) as u64 % (24 * 60)) as u32
}

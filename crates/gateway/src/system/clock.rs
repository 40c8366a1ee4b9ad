//! Provides the gateway's monotonic clock, in seconds, anchored to Unix time at the start.
//!
//! The wall clock is read once, at the start, so that later steps of it have no effect. No decision compares this clock
//! with the clock of another machine.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds per second. The admission controller uses seconds; the wire, the journal and the log use milliseconds.
pub const MILLIS_PER_SECOND: f64 = 1000.0;
const SECONDS_PER_MINUTE: f64 = 60.0;
const MINUTES_PER_DAY: u64 = 24 * 60;

/// A monotonic clock in seconds since the Unix epoch, which it takes from the wall clock at the start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    anchor_unix_seconds: f64,
}

impl Clock {
    /// Creates a clock that is anchored to the wall clock's current time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            anchor: Instant::now(),
            anchor_unix_seconds: since_epoch.as_secs_f64(),
        }
    }

    /// The current time, in Unix seconds.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// Converts an instant to Unix seconds. An instant before the start of the clock counts as the start.
    pub fn at(&self, instant: Instant) -> f64 {
        let since_start = instant.saturating_duration_since(self.anchor);
        self.anchor_unix_seconds + since_start.as_secs_f64()
    }

    /// Converts Unix seconds to an instant for timers, clamped to the range from the start of the clock to a day later.
    pub fn instant(&self, time: f64) -> Instant {
        self.anchor + clamped_duration(time - self.anchor_unix_seconds)
    }
}

/// Converts seconds to a duration, clamped to the range from zero to one day; NaN becomes zero.
pub fn clamped_duration(seconds: f64) -> Duration {
    const DAY_SECONDS: f64 = 86_400.0;
    Duration::try_from_secs_f64(seconds.clamp(0.0, DAY_SECONDS)).unwrap_or_default()
}

/// The minute of the day in UTC, from 0 to 1439, of a time in Unix seconds.
pub fn minute_of_day(now: f64) -> u32 {
    let minute = (now / SECONDS_PER_MINUTE).max(0.0) as u64;
    (minute % MINUTES_PER_DAY) as u32
}

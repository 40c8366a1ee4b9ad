//! The gateway's one clock: monotonic, in seconds, anchored to Unix time when it is started.
//!
//! The wall clock is read once, at the start. A later step of it changes nothing, and no decision compares this clock with
//! that of another machine.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Decisions take seconds; the wire, the journal and the log have milliseconds.
pub const MILLIS_PER_SECOND: f64 = 1000.0;
const SECONDS_PER_MINUTE: f64 = 60.0;
const MINUTES_PER_DAY: u64 = 24 * 60;

/// A monotonic clock whose times are seconds since the Unix epoch, as the wall clock had it at the start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    anchor_unix_seconds: f64,
}

impl Clock {
    /// A clock that is anchored to the wall clock now.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            anchor: Instant::now(),
            anchor_unix_seconds: since_epoch.as_secs_f64(),
        }
    }

    /// The time now, in seconds.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The time of an instant, in seconds; one before the start counts as the start.
    pub fn at(&self, instant: Instant) -> f64 {
        let since_start = instant.saturating_duration_since(self.anchor);
        self.anchor_unix_seconds + since_start.as_secs_f64()
    }

    /// The instant of a time in seconds, for timers; at most a day after the start.
    pub fn instant(&self, time: f64) -> Instant {
        self.anchor + clamped_duration(time - self.anchor_unix_seconds)
    }
}

/// A duration from seconds, clamped to the range from zero to a day; zero for NaN.
pub fn clamped_duration(seconds: f64) -> Duration {
    const DAY_SECONDS: f64 = 86_400.0;
    Duration::try_from_secs_f64(seconds.clamp(0.0, DAY_SECONDS)).unwrap_or_default()
}

/// The minute of the day, in UTC, of a time in Unix seconds.
pub fn minute_of_day(now: f64) -> u32 {
    let minute = (now / SECONDS_PER_MINUTE).max(0.0) as u64;
    (minute % MINUTES_PER_DAY) as u32
}

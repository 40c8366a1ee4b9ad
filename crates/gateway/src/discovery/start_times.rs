//! Start times of engines on this process's own clock.
//!
//! The change log reports starts in Unix seconds of another machine's wall clock, which may differ from ours by seconds or
//! by an hour. Two readings of the log's clock are compared with each other, to learn how far apart two starts lie. A
//! reading of the log's clock is never taken as a time of ours, and no decision follows from the difference of the clocks
//! alone. What is certain is that a start lies before the moment at which it is reported.
//!
//! So the newest start reported so far counts as just now, and the others as long before it as the log has them. This is
//! the latest that they can be, so that a cold engine never counts as warm. Where our own clock puts a start later than
//! that, the later time counts: a log that is wrong about one start then ages no other.

/// Converts start times of the change log's clock to this process's clock.
#[derive(Clone, Copy, Debug)]
pub struct StartTimeConverter {
    /// The least time between a start and the report of it, in seconds; the start by the log's clock, the report by ours.
    min_lag_seconds: f64,
    /// When starts were last reported, in seconds of our clock.
    last_report: f64,
}

impl StartTimeConverter {
    /// A converter that knows no start yet.
    pub fn new() -> StartTimeConverter {
        StartTimeConverter {
            min_lag_seconds: f64::INFINITY,
            last_report: 0.0,
        }
    }

    /// Records starts, in Unix seconds of the log's clock, that are reported at `now`, in seconds of our clock.
    pub fn record(&mut self, now: f64, starts: impl Iterator<Item = f64>) {
        self.last_report = now;
        let lags = starts.map(|start| now - start);
        self.min_lag_seconds = lags.fold(self.min_lag_seconds, f64::min);
    }

    /// The latest time, in seconds of our clock, that a start can have had which was recorded before; `start` is in Unix
    /// seconds of the log's clock.
    pub fn latest_start(&self, start: f64) -> f64 {
        (start + self.min_lag_seconds)
            .max(start)
            .min(self.last_report)
    }
}

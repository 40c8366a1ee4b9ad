//! Converts the start times of engines to the clock of this process.
//!
//! The change log reports start times in Unix seconds of another machine's wall clock, which may differ from the clock
//! of this process by seconds or by an hour. No decision therefore relies on the difference between the two clocks
//! alone. The certain facts are that a start precedes its report, and how far apart two starts lie on the log's clock.
//!
//! Each start is converted to the latest time that it can have had. Of all reported starts, the one with the smallest
//! difference between report and start is assumed to coincide with its report. The others precede or follow it as on
//! the log's clock. An engine that started recently, and is still cold, thus never counts as warm.
//!
//! If a reported start, read as a time of this process, is later than the converted one, the later time applies, but at
//! most the time of the last report. Otherwise a single engine whose reported start is too late would make all other
//! engines look older than the log reports them.

/// Converts start times from the change log's clock to the clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct StartTimeConverter {
    /// The least difference seen between the time of a report, by the clock of this process, and a start reported then,
    /// by the log's clock; in seconds. Infinite before the first report.
    min_lag_seconds: f64,
    /// The time of the last report, in seconds of the clock of this process.
    last_report: f64,
}

impl StartTimeConverter {
    /// Creates a converter to which no start has been reported.
    pub fn new() -> StartTimeConverter {
        StartTimeConverter {
            min_lag_seconds: f64::INFINITY,
            last_report: 0.0,
        }
    }

    /// Records `starts`, in Unix seconds of the log's clock, that are reported at `now`, in seconds of the clock of
    /// this process.
    pub fn record(&mut self, now: f64, starts: impl Iterator<Item = f64>) {
        self.last_report = now;
        let lags = starts.map(|start| now - start);
        self.min_lag_seconds = lags.fold(self.min_lag_seconds, f64::min);
    }

    /// Returns the latest time that a recorded start can have had, in seconds of the clock of this process. `start` is
    /// in Unix seconds of the log's clock.
    pub fn latest_start(&self, start: f64) -> f64 {
        (start + self.min_lag_seconds)
            .max(start)
            .min(self.last_report)
    }
}

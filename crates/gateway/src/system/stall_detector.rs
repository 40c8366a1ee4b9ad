//! Detects stalls, in which this process had no processor time.
//!
//! A request that is read right after a stall may have arrived at any time since the process last ran, and its client
//! may have waited since then.

/// Maximum interval between two runs of the scheduler, for an event or its timer, in a process that is not stalled. It
/// allows for a late timer.
const MAX_RUN_INTERVAL_SECONDS: f64 = 0.12;
/// Time after a stall within which all data that arrived during the stall is read.
const CATCH_UP_SECONDS: f64 = 0.05;

/// Detects stalls from the times at which the process runs. All times are in seconds of the gateway's clock.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    last_run: f64,
    last_stall: Option<Stall>,
}

/// A period in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// The last run of the process before the stall.
    began: f64,
    /// The first run of the process after the stall.
    ended: f64,
}

impl Stall {
    /// Whether data that was read at `read_at` may have arrived during the stall.
    fn covers(&self, read_at: f64) -> bool {
        read_at >= self.began && read_at < self.ended + CATCH_UP_SECONDS
    }
}

impl StallDetector {
    /// Creates a detector, with `now` as the first run of the process.
    pub fn new(now: f64) -> StallDetector {
        StallDetector {
            last_run: now,
            last_stall: None,
        }
    }

    /// Records that the process runs at `now`, after a stall if the last run is more than 0.12 s ago.
    pub fn record_run(&mut self, now: f64) {
        if now - self.last_run > MAX_RUN_INTERVAL_SECONDS {
            self.last_stall = Some(Stall {
                began: self.last_run,
                ended: now,
            });
        }
        self.last_run = self.last_run.max(now);
    }

    /// The earliest time at which data that was read at `read_at` can have arrived. Also records that the process runs
    /// at `now`. Stalls of up to 0.12 s are not detected.
    pub fn arrival_time(&mut self, now: f64, read_at: f64) -> f64 {
        self.record_run(now);
        match self.last_stall {
            Some(stall) if stall.covers(read_at) => stall.began,
            _ => read_at,
        }
    }
}

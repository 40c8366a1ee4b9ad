//! Detects when this process had no processor time.
//!
//! What is read right after such a stall may have arrived at any time since the process last ran, and its client has
//! waited since then.

/// The scheduler runs at least this often, for an event or its timer, however late that is.
const MAX_RUN_INTERVAL_SECONDS: f64 = 0.12;
/// After a stall, what arrived during it is read within this time.
const CATCH_UP_SECONDS: f64 = 0.05;

/// Detects stalls from the times at which the process runs; all times are seconds of the gateway's clock.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    last_run: f64,
    last_stall: Option<Stall>,
}

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// When the process ran before it.
    began: f64,
    /// When the process ran again.
    ended: f64,
}

impl Stall {
    /// Whether what was read at this time may have arrived during the stall.
    fn covers(&self, read: f64) -> bool {
        read >= self.began && read < self.ended + CATCH_UP_SECONDS
    }
}

impl StallDetector {
    /// A detector for a process that runs now.
    pub fn new(now: f64) -> StallDetector {
        StallDetector {
            last_run: now,
            last_stall: None,
        }
    }

    /// Records that the process runs now.
    pub fn record_run(&mut self, now: f64) {
        if now - self.last_run > MAX_RUN_INTERVAL_SECONDS {
            self.last_stall = Some(Stall {
                began: self.last_run,
                ended: now,
            });
        }
        self.last_run = self.last_run.max(now);
    }

    /// The earliest time at which what was read at `read` can have arrived. A stall of less than
    /// 0.12 s is not seen.
    pub fn arrival_time(&mut self, now: f64, read: f64) -> f64 {
        self.record_run(now);
        match self.last_stall {
            Some(stall) if stall.covers(read) => stall.began,
            _ => read,
        }
    }
}

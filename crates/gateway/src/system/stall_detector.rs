//! Whether this process has had processor time. What is read right after it had none may have come at any time since it last
//! ran, and its client has waited since then.

/// The scheduler hears of something, or of its timer, this often at least, in seconds; with what a timer may be late.
const LONGEST_BEAT: f64 = 0.12;
/// For so long after a gap what had come meanwhile is still being read.
const CATCHING_UP: f64 = 0.05;

/// When the process ran last, in seconds of the gateway's clock.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    last: f64,
    /// The last gap: when the process ran before it, and when it ran again.
    gap: Option<(f64, f64)>,
}

impl StallDetector {
    pub fn new(now: f64) -> StallDetector {
        StallDetector {
            last: now,
            gap: None,
        }
    }

    /// It runs now.
    pub fn running(&mut self, now: f64) {
        if now - self.last > LONGEST_BEAT {
            self.gap = Some((self.last, now));
        }
        self.last = self.last.max(now);
    }

    /// The earliest time at which what was read at `read` can have come; less than [`LONGEST_BEAT`] may be missing.
    pub fn arrival_time(&mut self, now: f64, read: f64) -> f64 {
        self.running(now);
        match self.gap {
            Some((from, until)) if read >= from && read < until + CATCHING_UP => from.min(read),
            _ => read,
        }
    }
}

//! Simulated time in whole microseconds, so that the order of events never depends on rounding.

const MICROS_PER_SECOND: f64 = 1e6;

/// A moment of the simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SimTime(u64);

impl SimTime {
    /// The beginning of the simulation.
    pub const START: SimTime = SimTime(0);

    pub fn from_seconds(seconds: f64) -> SimTime {
        SimTime((seconds.max(0.0) * MICROS_PER_SECOND).round() as u64)
    }

    pub fn seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// The first moment at which `seconds` have passed; at least one microsecond later.
    pub fn after(self, seconds: f64) -> SimTime {
        SimTime(self.0 + ((seconds * MICROS_PER_SECOND).ceil() as u64).max(1))
    }

    /// Seconds since an earlier moment; 0 if that is later.
    pub fn since(self, earlier: SimTime) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / MICROS_PER_SECOND
    }
}

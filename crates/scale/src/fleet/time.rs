//! Simulated time in whole microseconds, so that the order of events does not depend on rounding errors.

const MICROS_PER_SECOND: f64 = 1e6;

/// A point in simulated time.
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

    /// Returns the first point at which `seconds` have passed, at least one microsecond later than this one.
    pub fn after(self, seconds: f64) -> SimTime {
        SimTime(self.0 + ((seconds * MICROS_PER_SECOND).ceil() as u64).max(1))
    }

    /// Returns the seconds since `earlier`, or 0 if `earlier` is later than this point.
    pub fn since(self, earlier: SimTime) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / MICROS_PER_SECOND
    }
}

//! Defines ranges of whole numbers and of times of day.

use serde::Serialize;

/// An inclusive range of whole numbers, serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(u32, u32)")]
pub struct NumberRange {
    /// Lowest number.
    pub first: u32,
    /// Highest number, inclusive; at least `first`.
    pub last: u32,
}

impl NumberRange {
    /// Returns whether the range contains a number.
    pub fn contains(&self, number: u32) -> bool {
        (self.first..=self.last).contains(&number)
    }
}

impl From<NumberRange> for (u32, u32) {
    fn from(range: NumberRange) -> Self {
        (range.first, range.last)
    }
}

/// A range of times of day in minutes since midnight UTC, serialized as a pair. If `until` is not greater than `from`,
/// the range extends over midnight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(u32, u32)")]
pub struct MinuteRange {
    /// First minute, inclusive, 0 to 1439.
    pub from: u32,
    /// End of the range, exclusive, 0 to 1440.
    pub until: u32,
}

impl MinuteRange {
    /// Returns whether the range contains a minute of the day.
    pub fn contains(&self, minute: u32) -> bool {
        match self.from < self.until {
            true => (self.from..self.until).contains(&minute),
            false => minute >= self.from || minute < self.until,
        }
    }
}

impl From<MinuteRange> for (u32, u32) {
    fn from(range: MinuteRange) -> Self {
        (range.from, range.until)
    }
}

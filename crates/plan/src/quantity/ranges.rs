//! Ranges of whole numbers, and of times of day.

use serde::Serialize;

/// A range of whole numbers. It is serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(u32, u32)")]
pub struct NumberRange {
    /// The lowest number.
    pub first: u32,
    /// The highest number, which is in the range.
    pub last: u32,
}

impl NumberRange {
    /// Whether a number is in the range.
    pub fn contains(&self, number: u32) -> bool {
        (self.first..=self.last).contains(&number)
    }
}

impl From<NumberRange> for (u32, u32) {
    fn from(range: NumberRange) -> Self {
        (range.first, range.last)
    }
}

/// A range of times of day, in minutes since midnight, UTC; it goes over midnight where `until` is not above `from`.
/// It is serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(u32, u32)")]
pub struct MinuteRange {
    /// The first minute.
    pub from: u32,
    /// The first minute after the range.
    pub until: u32,
}

impl MinuteRange {
    /// Whether a minute of the day is in the range.
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

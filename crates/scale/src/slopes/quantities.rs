//! The quantities of a point, one of which a sweep varies.

use crate::experiment::InvalidValue;
use serde::{Deserialize, Serialize};

/// Larger points would not fit a test machine.
pub const MAX_SIZE: u64 = 10_000_000;
const MAX_LOSS_PERCENT: u64 = 90;

/// The quantity that grows from point to point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    Engines,
    Gateways,
    QueriesPerSecond,
    Keys,
    ChangesPerSecond,
    Members,
    OpenAttempts,
}

impl Quantity {
    pub fn label(self) -> &'static str {
        match self {
            Quantity::Engines => "engines",
            Quantity::Gateways => "gateways",
            Quantity::QueriesPerSecond => "queries/s",
            Quantity::Keys => "keys",
            Quantity::ChangesPerSecond => "changes/s",
            Quantity::Members => "members",
            Quantity::OpenAttempts => "open attempts",
        }
    }
}

/// The quantities of a point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Quantities {
    pub engines: u64,
    pub gateways: u64,
    /// Queries that the one measured gateway receives.
    pub queries_per_second: u64,
    /// Distinct keys of a class of queries in order; 0 for no such class.
    pub keys: u64,
    /// Changed entries of the list.
    pub changes_per_second: u64,
    pub members: u64,
    pub open_attempts: u64,
    /// Simulated seconds that are measured.
    pub seconds: f64,
    /// Simulated seconds before.
    pub settling: f64,
    /// Processor seconds of one query on an engine.
    pub work: f64,
    /// Engines of a subset; 0 for the whole list.
    pub subset_size: u64,
    /// Messages that are lost, of 100.
    pub loss: u64,
}

impl Default for Quantities {
    fn default() -> Self {
        Quantities {
            engines: 80,
            gateways: 4400,
            queries_per_second: 1795,
            keys: 0,
            changes_per_second: 0,
            members: 50,
            open_attempts: 1000,
            seconds: 4.0,
            settling: 2.0,
            work: 0.0033,
            subset_size: 0,
            loss: 0,
        }
    }
}

impl Quantities {
    /// The same with one quantity set.
    pub fn with(mut self, quantity: Quantity, size: u64) -> Self {
        match quantity {
            Quantity::Engines => self.engines = size,
            Quantity::Gateways => self.gateways = size,
            Quantity::QueriesPerSecond => self.queries_per_second = size,
            Quantity::Keys => self.keys = size,
            Quantity::ChangesPerSecond => self.changes_per_second = size,
            Quantity::Members => self.members = size,
            Quantity::OpenAttempts => self.open_attempts = size,
        }
        self
    }
}

impl Quantities {
    /// # Errors
    ///
    /// The first of the quantities that can't be simulated.
    pub fn check(&self) -> Result<(), InvalidValue> {
        self.check_times()?;
        self.check_counts()
    }

    fn check_times(&self) -> Result<(), InvalidValue> {
        let times = [
            ("fixed.seconds", self.seconds),
            ("fixed.settling", self.settling),
            ("fixed.work", self.work),
        ];
        let unusable = |(_, seconds): &(_, f64)| !(seconds.is_finite() && *seconds > 0.0);
        let Some((key, seconds)) = times.into_iter().find(unusable) else {
            return Ok(());
        };
        let (expected, remedy) = ("a time over 0", "write it in seconds");
        Err(InvalidValue::new(key, seconds, expected, remedy))
    }

    fn check_counts(&self) -> Result<(), InvalidValue> {
        if self.loss > MAX_LOSS_PERCENT {
            let (expected, remedy) = ("0 to 90 of 100", "no message comes at 100");
            return Err(InvalidValue::new("fixed.loss", self.loss, expected, remedy));
        }
        let counts = [
            ("fixed.engines", self.engines),
            ("fixed.gateways", self.gateways),
            ("fixed.queries-per-second", self.queries_per_second),
            ("fixed.members", self.members),
            ("fixed.open-attempts", self.open_attempts),
        ];
        let unusable = |(_, count): &(_, u64)| *count == 0 || *count > MAX_SIZE;
        let Some((key, count)) = counts.into_iter().find(unusable) else {
            return Ok(());
        };
        let expected = "a number from 1 to 10,000,000";
        let remedy = "leave the key out for the usual number";
        Err(InvalidValue::new(key, count, expected, remedy))
    }
}

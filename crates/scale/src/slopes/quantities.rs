//! Quantities of a point, one of which a sweep varies.

use crate::experiment::InvalidValue;
use serde::{Deserialize, Serialize};

/// Maximum value of a quantity; larger points do not fit on a test machine.
pub const MAX_SIZE: u64 = 10_000_000;
/// At 100 % no message would arrive.
const MAX_LOSS_PERCENT: u64 = 90;

/// A quantity that a sweep can vary.
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
    /// Name of the quantity in tables and results.
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

/// All quantities of a point. Each role uses those that concern it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Quantities {
    pub engines: u64,
    pub gateways: u64,
    /// Rate of queries at the one measured gateway.
    pub queries_per_second: u64,
    /// Number of distinct ordering keys of the class whose queries run in order; 0 for no such class.
    pub keys: u64,
    /// Rate of changed entries of the list.
    pub changes_per_second: u64,
    pub members: u64,
    pub open_attempts: u64,
    /// Length of the measured part of the simulation, in simulated seconds.
    pub seconds: f64,
    /// Length of the simulation before the measured part, in simulated seconds.
    pub settling: f64,
    /// Work of one query on an engine, in seconds of processor time.
    pub work: f64,
    /// Number of engines in a subset; 0 for the whole list.
    pub subset_size: u64,
    /// Share of messages that are lost, in percent.
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
    /// Returns the quantities with one of them set to `size`.
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
    /// Checks that all quantities can be simulated.
    ///
    /// # Errors
    ///
    /// Names the first quantity that is out of range.
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
        let (expected, remedy) = ("a time over 0", "use a time in seconds");
        Err(InvalidValue::new(key, seconds, expected, remedy))
    }

    fn check_counts(&self) -> Result<(), InvalidValue> {
        if self.loss > MAX_LOSS_PERCENT {
            let (expected, remedy) = ("0 to 90 of 100", "at 100 no message arrives");
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
        let remedy = "remove the key to use the default";
        Err(InvalidValue::new(key, count, expected, remedy))
    }
}

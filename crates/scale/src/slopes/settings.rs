//! The file of an experiment on slopes, and its checks.

use super::measurement::Metric;
use crate::experiment::{ExperimentError, Fault};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A fit over fewer sizes says little.
const MIN_SIZES: usize = 4;
/// More runs of one point only make it last longer.
const MAX_RUNS: u32 = 100;
/// Larger points would not fit a test machine.
const MAX_SIZE: u64 = 10_000_000;
const MAX_LOSS_PERCENT: u64 = 90;

/// The part of the program that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoleName {
    /// Decisions of the module, fed with queries in simulated time.
    Module,
    /// The endpoint list as the gateway decodes it and passes it to the module.
    List,
    /// The catalog and the choice of a subset.
    Subset,
    /// Membership, all members in one process in simulated time.
    Membership,
    /// The ledger of open attempts.
    Ledger,
    /// A configuration file that is read and checked.
    Configuration,
    /// A lease issuer.
    Leases,
}

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

/// One experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Experiment {
    pub role: RoleName,
    pub sweep: Quantity,
    /// Sizes of the quantity that is swept, from the smallest on.
    pub sizes: Vec<u64>,
    /// A size outside of these, predicted by the fit and then measured.
    pub predict: Option<u64>,
    /// How often each point is measured.
    pub runs: u32,
    pub seed: u64,
    /// Timeout of the measurement of one point, in seconds.
    #[serde(default = "usual_point_limit")]
    pub point_limit: f64,
    /// The quantities that stay as they are.
    #[serde(default)]
    pub fixed: Fixed,
    /// Judged at the end; the verdict fails where one is passed.
    #[serde(default)]
    pub limits: Vec<Limit>,
}

fn usual_point_limit() -> f64 {
    300.0
}

/// The quantities of a point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Fixed {
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

impl Default for Fixed {
    fn default() -> Self {
        Fixed {
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

impl Fixed {
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

/// What a metric may be at most.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limit {
    pub metric: Metric,
    /// The median at every size.
    pub most: Option<f64>,
    /// The median at every size, over that at the smallest.
    pub most_over_smallest: Option<f64>,
}

impl Experiment {
    /// Reads an experiment and checks it.
    ///
    /// # Errors
    ///
    /// Where it can't be read or used: with the place in it, and what to do.
    pub fn read(file: &Path) -> Result<Self, ExperimentError> {
        let experiment: Experiment = crate::experiment::read(file)?;
        experiment.check(file)?;
        Ok(experiment)
    }

    fn check(&self, file: &Path) -> Result<(), ExperimentError> {
        let faults = [
            self.fault_in_sizes(),
            self.fault_in_prediction(),
            self.fault_in_runs(),
            self.fixed.fault_in_times(),
            self.fixed.fault_in_counts(),
        ];
        match faults.into_iter().flatten().next() {
            None => Ok(()),
            Some(fault) => Err(ExperimentError::unusable(
                file,
                fault.key,
                fault.found,
                fault.expected,
                fault.remedy,
            )),
        }
    }

    fn fault_in_sizes(&self) -> Option<Fault> {
        let fault = |expected, remedy| {
            let found = format!("{:?}", self.sizes);
            Some(Fault::new("sizes", found, expected, remedy))
        };
        if self.sizes.len() < MIN_SIZES {
            let remedy = "add sizes, each about twice the last";
            return fault("a list of four sizes or more", remedy);
        }
        if !self.sizes.windows(2).all(|pair| pair[0] < pair[1]) || self.sizes[0] == 0 {
            let remedy = "sort it, and name each size once";
            return fault("a list that grows from over 0", remedy);
        }
        if self.sizes[self.sizes.len() - 1] > MAX_SIZE {
            return fault("a list of sizes up to 10,000,000", "leave the larger out");
        }
        None
    }

    fn fault_in_prediction(&self) -> Option<Fault> {
        let size = self.predict?;
        let inside = *self.sizes.first()?..=*self.sizes.last()?;
        if !inside.contains(&size) && size != 0 && size <= MAX_SIZE {
            return None;
        }
        Some(Fault::new(
            "predict",
            size,
            "a size outside of the sizes",
            "name a size under the smallest or over the largest, up to 10,000,000",
        ))
    }

    fn fault_in_runs(&self) -> Option<Fault> {
        if self.runs == 0 || self.runs > MAX_RUNS {
            let expected = "a number from 1 to 100";
            return Some(Fault::new("runs", self.runs, expected, "3 to 9 are usual"));
        }
        if !(self.point_limit.is_finite() && self.point_limit > 0.0) {
            return Some(Fault::new(
                "point-limit",
                self.point_limit,
                "a time over 0",
                "write the seconds that the slowest point may take",
            ));
        }
        None
    }
}

impl Fixed {
    fn fault_in_times(&self) -> Option<Fault> {
        let times = [
            ("fixed.seconds", self.seconds),
            ("fixed.settling", self.settling),
            ("fixed.work", self.work),
        ];
        let unusable = |(_, seconds): &(_, f64)| !(seconds.is_finite() && *seconds > 0.0);
        let (key, seconds) = times.into_iter().find(unusable)?;
        let (expected, remedy) = ("a time over 0", "write it in seconds");
        Some(Fault::new(key, seconds, expected, remedy))
    }

    fn fault_in_counts(&self) -> Option<Fault> {
        if self.loss > MAX_LOSS_PERCENT {
            let (expected, remedy) = ("0 to 90 of 100", "no message comes at 100");
            return Some(Fault::new("fixed.loss", self.loss, expected, remedy));
        }
        let counts = [
            ("fixed.engines", self.engines),
            ("fixed.gateways", self.gateways),
            ("fixed.queries-per-second", self.queries_per_second),
            ("fixed.members", self.members),
            ("fixed.open-attempts", self.open_attempts),
        ];
        let unusable = |(_, count): &(_, u64)| *count == 0 || *count > MAX_SIZE;
        let (key, count) = counts.into_iter().find(unusable)?;
        let expected = "a number from 1 to 10,000,000";
        let remedy = "leave the key out for the usual number";
        Some(Fault::new(key, count, expected, remedy))
    }
}

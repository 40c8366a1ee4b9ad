//! The file of an experiment on slopes, and its checks.

use super::metric::Metric;
use super::quantities::{Fixed, Quantity, MAX_SIZE};
use super::role_name::RoleName;
use crate::experiment::{ExperimentError, Fault};
use serde::Deserialize;
use std::path::Path;

/// A fit over fewer sizes says little.
const MIN_SIZES: usize = 4;
/// More runs of one point only make it last longer.
const MAX_RUNS: u32 = 100;

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
            self.fixed.fault(),
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

//! The file of an experiment on slopes, and its checks.

use super::metric::Metric;
use super::quantities::{Quantities, Quantity, MAX_SIZE};
use super::role_name::RoleName;
use crate::experiment::{self, ExperimentError, InvalidValue};
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
    pub fixed: Quantities,
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
        experiment::read(file, Experiment::check)
    }

    fn check(&self) -> Result<(), InvalidValue> {
        self.check_sizes()?;
        self.check_prediction()?;
        self.check_runs()?;
        self.fixed.check()
    }

    fn check_sizes(&self) -> Result<(), InvalidValue> {
        let fault = |expected, remedy| {
            let found = format!("{:?}", self.sizes);
            Err(InvalidValue::new("sizes", found, expected, remedy))
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
        Ok(())
    }

    fn check_prediction(&self) -> Result<(), InvalidValue> {
        let (Some(size), [smallest, .., largest]) = (self.predict, self.sizes.as_slice()) else {
            return Ok(());
        };
        let inside = *smallest..=*largest;
        if !inside.contains(&size) && size != 0 && size <= MAX_SIZE {
            return Ok(());
        }
        Err(InvalidValue::new(
            "predict",
            size,
            "a size outside of the sizes",
            "name a size under the smallest or over the largest, up to 10,000,000",
        ))
    }

    fn check_runs(&self) -> Result<(), InvalidValue> {
        if self.runs == 0 || self.runs > MAX_RUNS {
            let expected = "a number from 1 to 100";
            return Err(InvalidValue::new(
                "runs",
                self.runs,
                expected,
                "3 to 9 are usual",
            ));
        }
        if !(self.point_limit.is_finite() && self.point_limit > 0.0) {
            return Err(InvalidValue::new(
                "point-limit",
                self.point_limit,
                "a time over 0",
                "write the seconds that the slowest point may take",
            ));
        }
        Ok(())
    }
}

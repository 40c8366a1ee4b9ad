//! Reads and checks experiment files of the subcommand `slopes`.

use super::metric::Metric;
use super::quantities::{Quantities, Quantity, MAX_SIZE};
use super::role_name::RoleName;
use crate::experiment::{self, ExperimentError, InvalidValue};
use serde::Deserialize;
use std::path::Path;

/// Minimum number of sizes; a fit over fewer is not meaningful.
const MIN_SIZES: usize = 4;
/// Maximum number of runs of each point; more only prolong the experiment.
const MAX_RUNS: u32 = 100;

/// Parameters of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Experiment {
    pub role: RoleName,
    pub sweep: Quantity,
    /// Sizes of the swept quantity, ascending.
    pub sizes: Vec<u64>,
    /// A size outside the range of `sizes`, which is predicted by the fit and then measured.
    pub predict: Option<u64>,
    /// Number of times that each point is measured, from 1 to 100.
    pub runs: u32,
    pub seed: u64,
    /// Timeout for the measurement of one point, in seconds.
    #[serde(default = "default_point_limit")]
    pub point_limit: f64,
    /// Values of the quantities that are not swept.
    #[serde(default)]
    pub fixed: Quantities,
    /// Limits that are checked at the end; the verdict fails if one is exceeded.
    #[serde(default)]
    pub limits: Vec<Limit>,
}

fn default_point_limit() -> f64 {
    300.0
}

/// Upper limits on a metric.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limit {
    pub metric: Metric,
    /// Limit on the median at every size.
    pub most: Option<f64>,
    /// Limit on the ratio of the median at every size to the median at the smallest size.
    pub most_over_smallest: Option<f64>,
}

impl Experiment {
    /// Reads an experiment file and checks its values.
    ///
    /// # Errors
    ///
    /// The file can't be read or parsed, or has a value that can't be used. The error names the key and a remedy.
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
            let remedy = "add sizes, each about twice the previous one";
            return fault("a list of four sizes or more", remedy);
        }
        if !self.sizes.windows(2).all(|pair| pair[0] < pair[1]) || self.sizes[0] == 0 {
            let remedy = "sort the sizes and list each once";
            return fault("a list that grows from over 0", remedy);
        }
        if self.sizes[self.sizes.len() - 1] > MAX_SIZE {
            return fault("a list of sizes up to 10,000,000", "remove larger sizes");
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
            "a size outside the range of sizes",
            "use a size below the smallest or above the largest, up to 10,000,000",
        ))
    }

    fn check_runs(&self) -> Result<(), InvalidValue> {
        if self.runs == 0 || self.runs > MAX_RUNS {
            let expected = "a number from 1 to 100";
            return Err(InvalidValue::new(
                "runs",
                self.runs,
                expected,
                "3 to 9 are typical",
            ));
        }
        if !(self.point_limit.is_finite() && self.point_limit > 0.0) {
            return Err(InvalidValue::new(
                "point-limit",
                self.point_limit,
                "a time over 0",
                "use the number of seconds that the slowest point may take",
            ));
        }
        Ok(())
    }
}

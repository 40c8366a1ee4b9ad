//! A point to measure and the values measured at it: the JSON input and output of the measuring process.

use super::metric::Metric;
use super::quantities::Quantities;
use super::role_name::RoleName;
use serde::{Deserialize, Serialize};

/// A measured value, in the unit of its metric.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    pub metric: Metric,
    pub value: f64,
}

impl Measured {
    pub fn new(metric: Metric, value: f64) -> Self {
        Measured { metric, value }
    }
}

/// A point to measure; the input of the measuring process.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Point {
    pub role: RoleName,
    pub seed: u64,
    pub quantities: Quantities,
}

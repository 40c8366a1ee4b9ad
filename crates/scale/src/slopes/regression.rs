//! Regression of a metric on the size: fits a line and a power law.

use crate::least_squares::LeastSquares;
use crate::statistics;

/// Exponent above which growth counts as faster than linear.
pub const MAX_LINEAR_EXPONENT: f64 = 1.1;
/// Standard errors by which an exponent must exceed [`MAX_LINEAR_EXPONENT`] to count as superlinear.
const STANDARD_ERRORS: f64 = 2.0;
/// Lower limit on divisors, which avoids division by zero.
const MIN_DIVISOR: f64 = 1e-12;

/// The values of all runs at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    pub size: f64,
    /// Ascending.
    values: Vec<f64>,
}

impl Sample {
    pub fn new(size: f64, mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Sample { size, values }
    }

    /// Smallest value; 0 without values.
    pub fn least(&self) -> f64 {
        self.values.first().copied().unwrap_or(0.0)
    }

    /// Largest value; 0 without values.
    pub fn most(&self) -> f64 {
        self.values.last().copied().unwrap_or(0.0)
    }

    pub fn median(&self) -> f64 {
        statistics::median(&self.values)
    }
}

/// Growth of a metric with the size.
///
/// The power law is defined only for positive values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Regression {
    pub slope: f64,
    pub intercept: f64,
    /// Largest distance of a median from the line, relative to the largest median.
    pub residual: f64,
    /// Exponent of the power law over all sizes. NaN if a value is 0 or less, as are the other exponents and the error.
    pub exponent: f64,
    /// Standard error of `exponent`.
    pub exponent_error: f64,
    /// Exponent of the power law between the two largest sizes, where an intercept distorts it least.
    pub last_exponent: f64,
    /// Whether the metric grows faster than linearly by more than its spread.
    pub superlinear: bool,
    /// The largest size and its median, from which a power law is extrapolated.
    last: (f64, f64),
}

impl Regression {
    /// Computes the regression over four sizes or more, in ascending order.
    pub fn new(samples: &[Sample]) -> Self {
        let medians: Vec<(f64, f64)> = samples.iter().map(|s| (s.size, s.median())).collect();
        let linear = least_squares(&medians);
        let largest = medians
            .iter()
            .map(|(_, value)| value.abs())
            .fold(MIN_DIVISOR, f64::max);
        let logarithms: Vec<(f64, f64)> = samples.iter().flat_map(logarithms).collect();
        let power = least_squares(&logarithms);
        let exponent_error = power.slope_error(&logarithms);
        let last_exponents = LastExponents::new(samples);
        // A size that was measured only once has no spread to compare with.
        let repeated = samples.iter().all(|sample| sample.values.len() > 1);
        Regression {
            slope: linear.slope,
            intercept: linear.intercept,
            residual: linear.largest_residual / largest,
            exponent: power.slope,
            exponent_error,
            last_exponent: last_exponents.by_medians,
            superlinear: power.slope - STANDARD_ERRORS * exponent_error > MAX_LINEAR_EXPONENT
                || last_exponents.least > MAX_LINEAR_EXPONENT && repeated,
            last: medians.last().copied().unwrap_or((1.0, 0.0)),
        }
    }

    /// Predicts the value at another size. Superlinear metrics are extrapolated from the last size by the larger
    /// exponent, and falling ones by the exponent over all sizes; all others by the line.
    pub fn predict(&self, size: f64) -> f64 {
        let (last_size, last_median) = self.last;
        let from_last = |exponent: f64| last_median * (size / last_size).powf(exponent);
        match (
            self.superlinear,
            self.exponent + STANDARD_ERRORS * self.exponent_error < 0.0,
        ) {
            (true, _) => from_last(self.exponent.max(self.last_exponent)),
            (false, true) => from_last(self.exponent),
            (false, false) => self.intercept + self.slope * size,
        }
    }
}

/// Fits a line. Experiments have several sizes, so a fit always exists.
fn least_squares(points: &[(f64, f64)]) -> LeastSquares {
    LeastSquares::through(points).unwrap_or_default()
}

fn logarithms(sample: &Sample) -> impl Iterator<Item = (f64, f64)> + '_ {
    sample
        .values
        .iter()
        .map(|value| (sample.size.ln(), logarithm(*value)))
}

/// Natural logarithm; NaN for values of 0 and less.
fn logarithm(value: f64) -> f64 {
    if value > 0.0 {
        value.ln()
    } else {
        f64::NAN
    }
}

/// Exponents between the two largest sizes; NaN if a value has no logarithm.
struct LastExponents {
    /// Exponent between the medians.
    by_medians: f64,
    /// Smallest exponent that the spread of the values allows.
    least: f64,
}

impl LastExponents {
    const NONE: LastExponents = LastExponents {
        by_medians: f64::NAN,
        least: f64::NAN,
    };

    fn new(samples: &[Sample]) -> Self {
        let [.., before, last] = samples else {
            return LastExponents::NONE;
        };
        if samples.iter().any(|sample| sample.least() <= 0.0) {
            return LastExponents::NONE;
        }
        let steps = (last.size / before.size).ln();
        let exponent = |above: f64, below: f64| (logarithm(above) - logarithm(below)) / steps;
        LastExponents {
            by_medians: exponent(last.median(), before.median()),
            least: exponent(last.least(), before.most()),
        }
    }
}

#[cfg(test)]
mod tests;

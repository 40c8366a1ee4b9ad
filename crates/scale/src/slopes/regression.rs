//! Regression of a metric on the size: a line and a power law, with their residuals.

use crate::least_squares::LeastSquares;
use crate::statistics;

/// Exponents over this grow faster than linear.
pub const MAX_LINEAR_EXPONENT: f64 = 1.1;
/// Standard errors by which an exponent must exceed [`MAX_LINEAR_EXPONENT`] to count as superlinear.
const STANDARD_ERRORS: f64 = 2.0;
/// Nothing is divided by less.
const MIN_DIVISOR: f64 = 1e-12;

/// All runs at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    pub size: f64,
    /// In rising order.
    values: Vec<f64>,
}

impl Sample {
    pub fn new(size: f64, mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Sample { size, values }
    }

    pub fn least(&self) -> f64 {
        self.values.first().copied().unwrap_or(0.0)
    }

    pub fn most(&self) -> f64 {
        self.values.last().copied().unwrap_or(0.0)
    }

    pub fn median(&self) -> f64 {
        statistics::median(&self.values)
    }
}

/// How a metric grows with the size.
///
/// The power law needs positive values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Regression {
    pub slope: f64,
    pub intercept: f64,
    /// Largest distance of a median from the line, over the largest median.
    pub residual: f64,
    /// Of the power law over all sizes; not a number where a value is 0 or less, as are all that follow.
    pub exponent: f64,
    pub exponent_error: f64,
    /// Of the power law between the two largest sizes, where an intercept hides least.
    pub last_exponent: f64,
    /// Whether it grows faster than linear beyond its spread.
    pub superlinear: bool,
    /// The largest size and its median, from where a power is carried on.
    last: (f64, f64),
}

impl Regression {
    /// The regression over four sizes or more, the smallest first.
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
        // One run of a size has no spread to be beyond.
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

    /// The value at another size: by a power from the last size on where it grows faster than linear (the larger exponent)
    /// or falls, else by the line.
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

/// Experiments have several sizes, so that there is a fit.
fn least_squares(points: &[(f64, f64)]) -> LeastSquares {
    LeastSquares::through(points).unwrap_or_default()
}

fn logarithms(sample: &Sample) -> impl Iterator<Item = (f64, f64)> + '_ {
    sample
        .values
        .iter()
        .map(|value| (sample.size.ln(), logarithm(*value)))
}

/// Of 0 and less there is none.
fn logarithm(value: f64) -> f64 {
    if value > 0.0 {
        value.ln()
    } else {
        f64::NAN
    }
}

/// Exponents between the two largest sizes; not numbers where a value has no logarithm.
struct LastExponents {
    by_medians: f64,
    /// The least that the spread of the values allows.
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

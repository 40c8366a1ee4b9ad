//! Fits a straight line through points by least squares.

/// A fitted line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeastSquares {
    pub slope: f64,
    pub intercept: f64,
    /// The largest absolute difference in `y` between a point and the line.
    pub largest_residual: f64,
}

impl LeastSquares {
    /// Fits a line through points `(x, y)`; returns `None` for fewer than two distinct values of `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<LeastSquares> {
        let squared_deviations = sum_of_squared_deviations(points);
        if points.len() < 2 || squared_deviations <= 0.0 {
            return None;
        }
        let mean_x = mean(points.iter().map(|(x, _)| *x));
        let mean_y = mean(points.iter().map(|(_, y)| *y));
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = covariance / squared_deviations;
        let mut fitted = LeastSquares {
            slope,
            intercept: mean_y - slope * mean_x,
            largest_residual: 0.0,
        };
        let distances = points.iter().map(|(x, y)| (y - fitted.at(*x)).abs());
        fitted.largest_residual = distances.fold(0.0, f64::max);
        Some(fitted)
    }

    /// Returns the `y` of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Returns the standard error of the slope. `points` must be the points that the line was fitted through.
    pub fn slope_error(&self, points: &[(f64, f64)]) -> f64 {
        let residuals: f64 = points.iter().map(|(x, y)| (y - self.at(*x)).powi(2)).sum();
        let degrees_of_freedom = points.len().saturating_sub(2).max(1) as f64;
        (residuals / degrees_of_freedom / sum_of_squared_deviations(points)).sqrt()
    }
}

/// Returns the sum of the squared deviations of all `x` from their mean.
fn sum_of_squared_deviations(points: &[(f64, f64)]) -> f64 {
    let mean = mean(points.iter().map(|(x, _)| *x));
    points.iter().map(|(x, _)| (x - mean).powi(2)).sum()
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

#[cfg(test)]
mod tests;

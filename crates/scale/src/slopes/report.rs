//! Renders results as Markdown tables, which the documentation quotes.

use super::metric::Metric;
use super::quantities::Quantity;
use super::regression::{Regression, Sample};
use serde::Serialize;

/// Values of a metric at all sizes, with the fit and the measurement outside the fitted range.
pub struct Series {
    pub metric: Metric,
    pub samples: Vec<Sample>,
    pub regression: Regression,
    pub predicted: Option<Prediction>,
}

/// Value that the fit predicts for a size, and the values measured at that size.
pub struct Prediction {
    pub value: f64,
    pub measured: Sample,
}

/// A measured value as a row of the results file.
#[derive(Serialize)]
pub struct ValueRow {
    pub role: &'static str,
    pub metric: &'static str,
    pub quantity: &'static str,
    pub size: u64,
    pub run: u32,
    pub seed: u64,
    pub value: f64,
}

impl Series {
    /// Renders the median, the smallest and the largest value at each size.
    pub fn table(&self, quantity: Quantity) -> String {
        let mut table = format!(
            "| {} | {} | min | max |\n|---|---|---|---|\n",
            quantity.label(),
            self.metric.label()
        );
        let measured = self.predicted.iter().map(|prediction| &prediction.measured);
        for sample in self.samples.iter().chain(measured) {
            let (median, least, most) = (sample.median(), sample.least(), sample.most());
            table += &format!(
                "| {} | {} | {} | {} |\n",
                sample.size,
                number(median),
                number(least),
                number(most)
            );
        }
        table
    }

    /// Renders one row of the table of fits: slope, intercept, exponents, residual, and the measured value relative to
    /// its prediction.
    pub fn regression_row(&self) -> String {
        let Regression {
            slope,
            intercept,
            residual,
            exponent,
            exponent_error,
            last_exponent,
            superlinear,
            ..
        } = self.regression;
        let growth = if superlinear {
            "**faster than linear**"
        } else {
            ""
        };
        let predicted = self
            .predicted
            .as_ref()
            .map_or_else(String::new, |prediction| {
                let measured = prediction.measured.median();
                let ratio = measured / prediction.value;
                format!(
                    "{} / {} = {ratio:.2}",
                    number(measured),
                    number(prediction.value)
                )
            });
        format!(
            "| {} | {} | {} | {exponent:.2} +- {exponent_error:.2} | {last_exponent:.2} | {:.0}% | {growth} | {predicted} |\n",
            self.metric.label(),
            number(slope),
            number(intercept),
            residual * 100.0,
        )
    }
}

/// Renders the header of the table of fits.
pub fn regression_header(predict: Option<u64>) -> String {
    let outside = predict.map_or_else(String::new, |size| {
        format!("measured / predicted at {size}")
    });
    format!(
        "| metric | slope | intercept | exponent | at the last two | residual | growth | {outside} |\n\
         |---|---|---|---|---|---|---|---|\n"
    )
}

/// Formats a number with about three significant digits.
pub fn number(value: f64) -> String {
    let size = value.abs();
    match size {
        _ if size >= 100.0 || size == 0.0 => format!("{value:.0}"),
        _ if size >= 10.0 => format!("{value:.1}"),
        _ if size >= 1.0 => format!("{value:.2}"),
        _ if size >= 0.001 => format!("{value:.4}"),
        _ => format!("{value:.1e}"),
    }
}

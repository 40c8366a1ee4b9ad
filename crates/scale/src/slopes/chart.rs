//! Draws a chart of one metric over all sizes. Both axes are logarithmic, so that linear growth is a line of slope 1.

use super::quantities::Quantity;
use super::report::Series;
use plotters::prelude::*;
use std::error::Error;
use std::ops::Range;
use std::path::Path;

const SIZE: (u32, u32) = (640, 420);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 56;
/// Radius of a point, in pixels.
const POINT: i32 = 4;
/// Number of segments of the fitted curve.
const CURVE_POINTS: u32 = 64;
/// Factor by which each axis extends beyond the smallest and the largest value.
const MARGIN_FACTOR: f64 = 2.0;

/// Draws the medians, the fitted curve, and the measurement outside of the fitted range. Draws nothing if no value is
/// positive, since logarithmic axes can't show it.
///
/// # Errors
///
/// The file can't be written.
pub fn draw(path: &Path, series: &Series, quantity: Quantity) -> Result<(), Box<dyn Error>> {
    let medians: Vec<(f64, f64)> = series
        .samples
        .iter()
        .map(|s| (s.size, s.median()))
        .collect();
    let outside: Vec<(f64, f64)> = series
        .predicted
        .iter()
        .map(|p| (p.measured.size, p.measured.median()))
        .collect();
    let mut positive = medians.iter().chain(&outside).copied().collect::<Vec<_>>();
    positive.retain(|(_, value)| *value > 0.0);
    if positive.is_empty() {
        return Ok(());
    }
    let sizes = axis_range(positive.iter().map(|(size, _)| *size));
    let values = axis_range(positive.iter().map(|(_, value)| *value));
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(sizes.clone().log_scale(), values.clone().log_scale())?;
    chart
        .configure_mesh()
        .x_desc(quantity.label())
        .y_desc(series.metric.label())
        .draw()?;
    let curve = fitted_curve(series, &sizes);
    let curve = curve.filter(|(_, value)| values.contains(value));
    chart.draw_series(LineSeries::new(curve, &BLUE))?;
    let circle =
        |color: RGBColor| move |point: &(f64, f64)| Circle::new(*point, POINT, color.filled());
    chart.draw_series(medians.iter().map(circle(BLUE)))?;
    chart.draw_series(outside.iter().map(circle(RED)))?;
    area.present()?;
    Ok(())
}

/// Returns the range of an axis, with a margin on both sides.
fn axis_range(values: impl Iterator<Item = f64> + Clone) -> Range<f64> {
    let least = values.clone().fold(f64::INFINITY, f64::min);
    let most = values.fold(0.0, f64::max);
    least / MARGIN_FACTOR..most * MARGIN_FACTOR
}

/// Returns the points of the fitted curve, evenly spaced on the logarithmic axis.
fn fitted_curve<'a>(
    series: &'a Series,
    sizes: &Range<f64>,
) -> impl Iterator<Item = (f64, f64)> + 'a {
    let smallest = sizes.start;
    let step = (sizes.end / sizes.start).powf(1.0 / f64::from(CURVE_POINTS));
    (0..=CURVE_POINTS).map(move |n| {
        let size = smallest * step.powi(n as i32);
        (size, series.regression.predict(size))
    })
}

//! A chart of one metric: all sizes on logarithmic axes, so that a straight line of slope 1 is linear growth.

use super::report::Series;
use super::settings::Quantity;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

const SIZE: (u32, u32) = (640, 420);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 56;
const POINT: i32 = 4;
/// Points of the fitted curve.
const CURVE_POINTS: u32 = 64;
/// Room around the values, as a factor.
const AROUND: f64 = 2.0;

/// Draws the medians, the fit and what was measured outside of its range.
///
/// # Errors
///
/// Where the file can't be written.
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
    let all = || {
        medians
            .iter()
            .chain(&outside)
            .copied()
            .filter(|(_, value)| *value > 0.0)
    };
    let range = |of: fn((f64, f64)) -> f64| {
        let least = all().map(of).fold(f64::INFINITY, f64::min) / AROUND;
        least..all().map(of).fold(0.0, f64::max) * AROUND
    };
    let (sizes, values) = (range(|(size, _)| size), range(|(_, value)| value));
    if all().next().is_none() {
        return Ok(());
    }
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
    let step = (sizes.end / sizes.start).powf(1.0 / f64::from(CURVE_POINTS));
    let curve = (0..=CURVE_POINTS).map(|n| sizes.start * step.powi(n as i32));
    let curve = curve
        .map(|size| (size, series.fit.predict(size)))
        .filter(|(_, value)| values.contains(value));
    chart.draw_series(LineSeries::new(curve, &BLUE))?;
    chart.draw_series(
        medians
            .iter()
            .map(|point| Circle::new(*point, POINT, BLUE.filled())),
    )?;
    chart.draw_series(
        outside
            .iter()
            .map(|point| Circle::new(*point, POINT, RED.filled())),
    )?;
    area.present()?;
    Ok(())
}

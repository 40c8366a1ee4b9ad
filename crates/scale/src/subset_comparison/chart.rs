//! Draws charts of the spread of work over the subset size, one for each fleet.

use super::case::FleetSize;
use super::figure::Figure;
use super::report::Row;
use super::strategy_name::StrategyName;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::error::Error;
use std::path::{Path, PathBuf};

const WIDTH_AND_HEIGHT: (u32, u32) = (900, 540);
/// Radius of a point, in pixels.
const POINT_SIZE: i32 = 4;
const LABEL_AREA: u32 = 50;
/// Factor by which the vertical axis extends beyond the highest value.
const HEADROOM: f64 = 1.05;

/// Draws the p99 of work per core over the mean, for even traffic, with one curve for each strategy. The charts are
/// written beside the file `results`.
pub fn draw(rows: &[Row], results: &Path) -> Result<(), Box<dyn Error>> {
    let mut fleets: Vec<FleetSize> = rows.iter().map(|row| row.case.fleet).collect();
    fleets.dedup();
    fleets
        .into_iter()
        .try_for_each(|fleet| draw_fleet(rows, fleet, &file_name(results, fleet)))
}

fn file_name(results: &Path, fleet: FleetSize) -> PathBuf {
    let FleetSize { gateways, engines } = fleet;
    let stem = results
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    results.with_file_name(format!("{stem}-{gateways}x{engines}.svg"))
}

fn draw_fleet(rows: &[Row], fleet: FleetSize, path: &Path) -> Result<(), Box<dyn Error>> {
    let curves = curves(rows, fleet);
    let points = || curves.iter().flat_map(|(_, points)| points);
    let smallest = points().map(|(size, _)| *size).fold(f64::MAX, f64::min);
    let largest = points().map(|(size, _)| *size).fold(0.0, f64::max);
    let highest = points().map(|(_, value)| *value).fold(1.0, f64::max) * HEADROOM;
    let area = SVGBackend::new(path, WIDTH_AND_HEIGHT).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!(
        "{} gateways, {} engines: work per core, p99 over mean",
        fleet.gateways, fleet.engines
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(smallest..largest.max(smallest + 1.0), 1.0..highest)?;
    chart
        .configure_mesh()
        .x_desc("engines in a subset")
        .y_desc("p99 over mean")
        .draw()?;
    for (index, (strategy, points)) in curves.into_iter().enumerate() {
        draw_curve(&mut chart, index, strategy, &points)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

type FleetChart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

fn draw_curve<'a>(
    chart: &mut FleetChart<'a>,
    index: usize,
    strategy: StrategyName,
    points: &[(f64, f64)],
) -> Result<(), Box<dyn Error>> {
    let color = Palette99::pick(index).to_rgba();
    let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
    chart
        .draw_series(series)?
        .label(strategy.label())
        .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    let circle = |point: &(f64, f64)| Circle::new(*point, POINT_SIZE, color.filled());
    chart.draw_series(points.iter().map(circle))?;
    Ok(())
}

/// Returns the points of each strategy that depends on the subset size.
fn curves(rows: &[Row], fleet: FleetSize) -> Vec<(StrategyName, Vec<(f64, f64)>)> {
    let points_of = |strategy: StrategyName| {
        let of_strategy =
            |row: &&Row| row.case.strategy == strategy && row.figure == Figure::EvenP99;
        let of_fleet = |row: &&Row| row.case.fleet == fleet;
        let points = rows
            .iter()
            .filter(of_strategy)
            .filter(of_fleet)
            .map(|row| (row.case.size as f64, row.median));
        (strategy, points.collect())
    };
    let strategies = StrategyName::all()
        .into_iter()
        .filter(|strategy| !strategy.holds_whole_list());
    strategies
        .map(points_of)
        .filter(|(_, points): &(StrategyName, Vec<_>)| !points.is_empty())
        .collect()
}

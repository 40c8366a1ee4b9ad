//! Charts of the spread against the size of the subset, one for each fleet.

use super::report::{Figure, Row};
use super::ways::WayName;
use plotters::prelude::*;
use std::error::Error;
use std::path::{Path, PathBuf};

const WIDTH_AND_HEIGHT: (u32, u32) = (900, 540);
const POINT_SIZE: i32 = 4;
const LABEL_AREA: u32 = 50;
/// Room above the highest value, as a factor.
const HEADROOM: f64 = 1.05;

/// Draws the p99 of work per core over the mean, even traffic, one line a way, into files beside `results`.
pub fn draw(rows: &[Row], results: &Path) -> Result<(), Box<dyn Error>> {
    let mut fleets: Vec<(usize, usize)> =
        rows.iter().map(|row| (row.gateways, row.engines)).collect();
    fleets.dedup();
    fleets
        .into_iter()
        .try_for_each(|fleet| draw_fleet(rows, fleet, &file_name(results, fleet)))
}

fn file_name(results: &Path, (gateways, engines): (usize, usize)) -> PathBuf {
    let stem = results
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    results.with_file_name(format!("{stem}-{gateways}x{engines}.svg"))
}

fn draw_fleet(rows: &[Row], fleet: (usize, usize), path: &Path) -> Result<(), Box<dyn Error>> {
    let lines = lines(rows, fleet);
    let sizes = || {
        lines
            .iter()
            .flat_map(|(_, points)| points.iter().map(|point| point.0))
    };
    let values = || {
        lines
            .iter()
            .flat_map(|(_, points)| points.iter().map(|point| point.1))
    };
    let (smallest, largest) = (
        sizes().fold(f64::MAX, f64::min),
        sizes().fold(0.0, f64::max),
    );
    let highest = values().fold(1.0, f64::max) * HEADROOM;
    let area = SVGBackend::new(path, WIDTH_AND_HEIGHT).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!(
        "{} gateways, {} engines: work per core, p99 over mean",
        fleet.0, fleet.1
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
    for (index, (way, points)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let label = way.label();
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
        chart.draw_series(
            points
                .iter()
                .map(|point| Circle::new(*point, POINT_SIZE, color.filled())),
        )?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// The points of each way that depends on the size.
fn lines(rows: &[Row], fleet: (usize, usize)) -> Vec<(WayName, Vec<(f64, f64)>)> {
    let points_of = |way: WayName| {
        let of_way = |row: &&Row| row.way == way && row.figure == Figure::EvenP99;
        let of_fleet = |row: &&Row| (row.gateways, row.engines) == fleet;
        let points = rows
            .iter()
            .filter(of_way)
            .filter(of_fleet)
            .map(|row| (row.size as f64, row.median));
        (way, points.collect())
    };
    let ways = WayName::all()
        .into_iter()
        .filter(|way| !way.holds_whole_list());
    ways.map(points_of)
        .filter(|(_, points): &(WayName, Vec<_>)| !points.is_empty())
        .collect()
}

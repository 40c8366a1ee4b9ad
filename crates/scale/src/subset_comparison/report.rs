//! Renders figures as a table for the terminal and as flat rows for result files.

use super::case::Case;
use super::figure::Figure;
use super::population::Change;
use crate::statistics::median;
use serde::Serialize;

/// A figure of one case, over all seeds.
#[derive(Clone, Debug)]
pub struct Row {
    pub case: Case,
    pub figure: Figure,
    pub min: f64,
    pub median: f64,
    pub max: f64,
    pub seeds: usize,
}

/// A row as it is written to result files.
#[derive(Serialize)]
pub struct FlatRow {
    gateways: usize,
    engines: usize,
    size: usize,
    #[serde(rename = "way")]
    strategy: &'static str,
    /// Information that a gateway needs for the strategy.
    knows: &'static str,
    figure: String,
    min: f64,
    median: f64,
    max: f64,
    seeds: usize,
}

impl Row {
    /// Creates a row from the values of all seeds.
    ///
    /// # Panics
    /// If `values` is empty.
    pub fn new(case: Case, figure: Figure, mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let (min, max) = (values[0], values[values.len() - 1]);
        Row {
            case,
            figure,
            min,
            median: median(&values),
            max,
            seeds: values.len(),
        }
    }

    /// Returns the row as it is written to result files.
    pub fn flat(&self) -> FlatRow {
        FlatRow {
            gateways: self.case.fleet.gateways,
            engines: self.case.fleet.engines,
            size: self.case.size,
            strategy: self.case.strategy.label(),
            knows: self.case.strategy.knowledge(),
            figure: self.figure.label(),
            min: self.min,
            median: self.median,
            max: self.max,
            seeds: self.seeds,
        }
    }
}

/// Columns of the table: title, figure, and number of decimal places.
const COLUMNS: [(&str, Figure, usize); 19] = [
    ("members", Figure::Members, 1),
    ("even p50", Figure::EvenP50, 2),
    ("p99", Figure::EvenP99, 2),
    ("max", Figure::EvenMax, 2),
    ("uneven p50", Figure::UnevenP50, 2),
    ("p99", Figure::UnevenP99, 2),
    ("max", Figure::UnevenMax, 2),
    ("conns p50", Figure::ConnectionsP50, 0),
    ("p99", Figure::ConnectionsP99, 0),
    ("max", Figure::ConnectionsMax, 0),
    ("unheld", Figure::EnginesWithoutGateway, 0),
    (
        "x least: engine",
        Figure::MovedOverLeast(Change::OneEngine),
        2,
    ),
    ("rack", Figure::MovedOverLeast(Change::Rack), 2),
    ("zone", Figure::MovedOverLeast(Change::Zone), 2),
    (
        "x floor: engine",
        Figure::MovedOverFloor(Change::OneEngine),
        2,
    ),
    ("gateways: share", Figure::MovedShare(Change::Gateways), 3),
    ("bytes", Figure::StateBytes, 0),
    ("us", Figure::ChooseMicroseconds, 0),
    ("sum", Figure::SumOfShares, 2),
];

/// Prints the median of each figure over the seeds, with the range if the seeds differ.
pub fn print_table(rows: &[Row]) {
    let mut cases: Vec<Case> = rows.iter().map(|row| row.case).collect();
    cases.dedup();
    let mut table = vec![titles()];
    table.extend(cases.into_iter().map(|case| cells(rows, case)));
    let columns = table[0].len();
    let width = |column: usize| {
        table
            .iter()
            .map(|row_cells| row_cells[column].len())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row_cells in &table {
        let padded: Vec<String> = row_cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:>width$}", width = *width))
            .collect();
        println!("{}", padded.join("  "));
    }
}

fn titles() -> Vec<String> {
    let first = ["gateways x engines", "size", "way"].map(String::from);
    first
        .into_iter()
        .chain(COLUMNS.iter().map(|(title, _, _)| title.to_string()))
        .collect()
}

fn cells(rows: &[Row], case: Case) -> Vec<String> {
    let mut row_cells = vec![
        case.fleet.to_string(),
        case.size.to_string(),
        case.strategy.label().to_string(),
    ];
    for (_, figure, digits) in COLUMNS {
        let row = rows
            .iter()
            .find(|row| row.case == case && row.figure == figure);
        row_cells.push(row.map_or_else(|| "-".to_string(), |row| cell(row, digits)));
    }
    row_cells
}

fn cell(row: &Row, digits: usize) -> String {
    let [min, median, max] =
        [row.min, row.median, row.max].map(|value| format!("{value:.digits$}"));
    if min == max {
        median
    } else {
        format!("{median} ({min}-{max})")
    }
}

//! Figures as rows: a table for the terminal, and flat rows for files.

use super::population::Change;
use super::strategy_name::StrategyName;
use serde::Serialize;

/// What was measured. Work is per core over the mean; moves are pairs of a gateway and an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Figure {
    Members,
    EvenP50,
    EvenP99,
    EvenMax,
    UnevenP50,
    UnevenP99,
    UnevenMax,
    ConnectionsP50,
    ConnectionsP99,
    ConnectionsMax,
    /// Engines that no gateway holds.
    EnginesWithoutGateway,
    Moved(Change),
    /// Part of all pairs that moved.
    MovedShare(Change),
    /// Moves over what any strategy needs that holds as many members afterwards.
    MovedOverLeast(Change),
    /// Moves over what any strategy needs to restore the size and the floors, and no more.
    MovedOverFloor(Change),
    /// Bytes that a gateway stores for the choice, beside the list.
    StateBytes,
    /// Processor time of the first choice, for each gateway.
    ChooseMicroseconds,
    /// Gateways whose settled subset differs from the reference implementation's, before a change or after one, summed.
    DifferingGateways,
    /// Gateways whose subset differs from the first one when all that was lost is restored.
    NotRestored,
    /// The largest sum of the holders' shares of an engine, by the holder counts that they know.
    SumOfShares,
}

impl Figure {
    fn label(self) -> String {
        let of_change = |what: &str, change: Change| {
            let change = match change {
                Change::OneEngine => "one-engine",
                Change::Rack => "rack",
                Change::Zone => "zone",
                Change::Gateways => "gateways",
            };
            format!("{what}-{change}")
        };
        match self {
            Figure::Members => "members".into(),
            Figure::EvenP50 => "work-even-p50".into(),
            Figure::EvenP99 => "work-even-p99".into(),
            Figure::EvenMax => "work-even-max".into(),
            Figure::UnevenP50 => "work-uneven-p50".into(),
            Figure::UnevenP99 => "work-uneven-p99".into(),
            Figure::UnevenMax => "work-uneven-max".into(),
            Figure::ConnectionsP50 => "connections-p50".into(),
            Figure::ConnectionsP99 => "connections-p99".into(),
            Figure::ConnectionsMax => "connections-max".into(),
            Figure::EnginesWithoutGateway => "unheld".into(),
            Figure::Moved(change) => of_change("moved", change),
            Figure::MovedShare(change) => of_change("moved-share", change),
            Figure::MovedOverLeast(change) => of_change("moved-over-least", change),
            Figure::MovedOverFloor(change) => of_change("moved-over-floor", change),
            Figure::StateBytes => "state-bytes".into(),
            Figure::ChooseMicroseconds => "choose-us".into(),
            Figure::DifferingGateways => "disagreeing".into(),
            Figure::NotRestored => "not-back".into(),
            Figure::SumOfShares => "sum-of-parts".into(),
        }
    }
}

/// One figure of one strategy with one size in one fleet, over all seeds.
#[derive(Clone, Debug)]
pub struct Row {
    pub gateways: usize,
    pub engines: usize,
    pub size: usize,
    pub strategy: StrategyName,
    pub figure: Figure,
    pub min: f64,
    pub median: f64,
    pub max: f64,
    pub seeds: usize,
}

/// A row as it is written to files.
#[derive(Serialize)]
pub struct FlatRow {
    gateways: usize,
    engines: usize,
    size: usize,
    #[serde(rename = "way")]
    strategy: &'static str,
    knows: &'static str,
    figure: String,
    min: f64,
    median: f64,
    max: f64,
    seeds: usize,
}

impl Row {
    /// The row of one value or more, one for each seed.
    pub fn new(
        gateways: usize,
        engines: usize,
        size: usize,
        strategy: StrategyName,
        figure: Figure,
        mut values: Vec<f64>,
    ) -> Self {
        values.sort_by(f64::total_cmp);
        let (min, max) = (values[0], values[values.len() - 1]);
        Row {
            gateways,
            engines,
            size,
            strategy,
            figure,
            min,
            median: median(&values),
            max,
            seeds: values.len(),
        }
    }

    /// The row as plain values.
    pub fn flat(&self) -> FlatRow {
        FlatRow {
            gateways: self.gateways,
            engines: self.engines,
            size: self.size,
            strategy: self.strategy.label(),
            knows: self.strategy.knowledge(),
            figure: self.figure.label(),
            min: self.min,
            median: self.median,
            max: self.max,
            seeds: self.seeds,
        }
    }
}

fn median(sorted: &[f64]) -> f64 {
    let middle = sorted.len() / 2;
    if sorted.len() % 2 == 1 {
        sorted[middle]
    } else {
        (sorted[middle - 1] + sorted[middle]) / 2.0
    }
}

/// Columns of the table: their titles, figures, and digits behind the point.
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

/// Prints medians over the seeds, and the range of the seeds where it is not one value.
pub fn print_table(rows: &[Row]) {
    let mut cases: Vec<(usize, usize, usize, StrategyName)> = rows.iter().map(case).collect();
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

fn case(row: &Row) -> (usize, usize, usize, StrategyName) {
    (row.gateways, row.engines, row.size, row.strategy)
}

fn titles() -> Vec<String> {
    let first = ["gateways x engines", "size", "way"].map(String::from);
    first
        .into_iter()
        .chain(COLUMNS.iter().map(|(title, _, _)| title.to_string()))
        .collect()
}

fn cells(rows: &[Row], wanted: (usize, usize, usize, StrategyName)) -> Vec<String> {
    let (gateways, engines, size, strategy) = wanted;
    let mut row_cells = vec![
        format!("{gateways} x {engines}"),
        size.to_string(),
        strategy.label().to_string(),
    ];
    for (_, figure, digits) in COLUMNS {
        let row = rows
            .iter()
            .find(|row| case(row) == wanted && row.figure == figure);
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

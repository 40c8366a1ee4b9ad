//! A count-min sketch of the usage of keys of which there are too many to count each. Several keys share a cell, so a key may
//! be limited to less than its own, and is never allowed more.

use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

/// Rows; a key is wronged only where others share its cell in each.
const ROWS: usize = 4;
/// Cells of a row.
const CELLS: usize = 4096;

/// What is kept for a key or a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub in_flight: u32,
    /// When what came would have come at the rate, evenly (the theoretical arrival time of the cell rate algorithm).
    pub queries_due: Duration,
    pub bytes_due: Duration,
}

impl Usage {
    /// Nothing is left of what came.
    pub fn is_idle(&self, now: Duration) -> bool {
        self.in_flight == 0 && self.queries_due <= now && self.bytes_due <= now
    }
}

/// The sketch; made when the first key finds no place.
#[derive(Debug)]
pub struct CountMinSketch {
    cells: Vec<Usage>,
    hashes: [RandomState; ROWS],
}

/// Where a key's cells are.
pub type Cells = [u32; ROWS];

impl CountMinSketch {
    pub fn new() -> Self {
        CountMinSketch {
            cells: vec![Usage::default(); ROWS * CELLS],
            hashes: std::array::from_fn(|_| RandomState::new()),
        }
    }

    pub fn cells(&self, key: &impl std::hash::Hash) -> Cells {
        std::array::from_fn(|row| {
            let at = self.hashes[row].hash_one(key) as usize % CELLS;
            (row * CELLS + at) as u32
        })
    }

    /// What a key is held to: the least of its cells, which is at least its own.
    pub fn usage(&self, cells: &Cells) -> Usage {
        let all = || cells.iter().map(|c| &self.cells[*c as usize]);
        Usage {
            in_flight: all().map(|l| l.in_flight).min().unwrap_or_default(),
            queries_due: all().map(|l| l.queries_due).min().unwrap_or_default(),
            bytes_due: all().map(|l| l.bytes_due).min().unwrap_or_default(),
        }
    }

    /// A query was taken: one more in flight, and the times moved on to these.
    pub fn add(&mut self, cells: &Cells, queries_due: Duration, bytes_due: Duration) {
        for cell in cells {
            let usage = &mut self.cells[*cell as usize];
            usage.in_flight += 1;
            usage.queries_due = usage.queries_due.max(queries_due);
            usage.bytes_due = usage.bytes_due.max(bytes_due);
        }
    }

    pub fn release(&mut self, cells: &Cells) {
        for cell in cells {
            let usage = &mut self.cells[*cell as usize];
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }
}

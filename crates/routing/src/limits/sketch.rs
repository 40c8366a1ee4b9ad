//! Implements a count-min sketch for the usage of keys that are too many to count exactly. Several keys share a cell,
//! so the sketch may overestimate the usage of a key and admit less than its limit; it never admits more.

use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

/// Number of rows. The usage of a key is overestimated only if its cell in every row is shared with other keys.
const ROWS: usize = 4;
/// Number of cells in a row.
const COLUMNS: usize = 4096;

/// The usage of a key, or the combined usage of the keys in a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Number of queries in flight.
    pub in_flight: u32,
    /// Theoretical arrival time for the rate of queries.
    pub queries_arrival_time: Duration,
    /// Theoretical arrival time for the rate of statement bytes.
    pub bytes_arrival_time: Duration,
}

impl Usage {
    /// Returns whether this usage can be forgotten at `now`: no query is in flight, and all theoretical arrival times
    /// have passed, so that the usage does not affect any later decision.
    pub fn is_idle(&self, now: Duration) -> bool {
        self.in_flight == 0 && self.queries_arrival_time <= now && self.bytes_arrival_time <= now
    }
}

/// A count-min sketch. A limit creates one when it first has a key that cannot be counted exactly.
#[derive(Debug)]
pub struct CountMinSketch {
    cells: Vec<Usage>,
    hashes: [RandomState; ROWS],
}

/// The indices of a key's cells, one in each row.
pub type Cells = [u32; ROWS];

impl CountMinSketch {
    pub fn new() -> Self {
        CountMinSketch {
            cells: vec![Usage::default(); ROWS * COLUMNS],
            hashes: std::array::from_fn(|_| RandomState::new()),
        }
    }

    pub fn cells(&self, key: &impl std::hash::Hash) -> Cells {
        std::array::from_fn(|row| {
            let column = self.hashes[row].hash_one(key) as usize % COLUMNS;
            (row * COLUMNS + column) as u32
        })
    }

    /// Returns an upper bound of the usage of a key: the minimum over its cells.
    pub fn usage(&self, cells: &Cells) -> Usage {
        let all = || cells.iter().map(|cell| &self.cells[*cell as usize]);
        Usage {
            in_flight: all().map(|usage| usage.in_flight).min().unwrap_or_default(),
            queries_arrival_time: all()
                .map(|usage| usage.queries_arrival_time)
                .min()
                .unwrap_or_default(),
            bytes_arrival_time: all()
                .map(|usage| usage.bytes_arrival_time)
                .min()
                .unwrap_or_default(),
        }
    }

    /// Counts one more query in flight, and raises the theoretical arrival times of the cells to at least these.
    pub fn add(
        &mut self,
        cells: &Cells,
        queries_arrival_time: Duration,
        bytes_arrival_time: Duration,
    ) {
        for cell in cells {
            let usage = &mut self.cells[*cell as usize];
            usage.in_flight += 1;
            usage.queries_arrival_time = usage.queries_arrival_time.max(queries_arrival_time);
            usage.bytes_arrival_time = usage.bytes_arrival_time.max(bytes_arrival_time);
        }
    }

    pub fn release(&mut self, cells: &Cells) {
        for cell in cells {
            let usage = &mut self.cells[*cell as usize];
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }
}

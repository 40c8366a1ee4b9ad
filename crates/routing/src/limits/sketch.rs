//! A count-min sketch of the usage of keys of which there are too many to count each exactly. Several keys share a cell,
//! so a key may be limited to less than its own, and is never allowed more.

use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

/// Rows; a key is limited to less than its own only where others share its cell in each row.
const ROWS: usize = 4;
/// Cells of a row.
const COLUMNS: usize = 4096;

/// What was counted of a key, or of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Queries in flight.
    pub in_flight: u32,
    /// The theoretical arrival time of the limit on queries.
    pub queries_arrival_time: Duration,
    /// The same of the limit on bytes.
    pub bytes_arrival_time: Duration,
}

impl Usage {
    /// Whether it is as if nothing had been counted.
    pub fn is_idle(&self, now: Duration) -> bool {
        self.in_flight == 0 && self.queries_arrival_time <= now && self.bytes_arrival_time <= now
    }
}

/// The sketch; created with the first key that can't be counted exactly.
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

    /// What a key is limited by: the least of its cells, which is at least its own usage.
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

    /// Counts one more query in flight, and moves the theoretical arrival times on to these.
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

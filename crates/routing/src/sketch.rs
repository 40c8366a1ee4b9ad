//! What came for keys of which there are too many to keep one by one: a count-min sketch. Several keys share a cell,
//! so that a key may be held to more than its own, and never to less.

use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

/// Rows; a key is wronged only where others share its cell in each.
const ROWS: usize = 4;
/// Cells of a row.
const CELLS: usize = 4096;

/// What is kept for a key or a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub in_hand: u32,
    /// When what came would have come at the rate, evenly (the theoretical arrival time of the cell rate algorithm).
    pub batches: Duration,
    pub bytes: Duration,
}

impl Load {
    /// Nothing is left of what came.
    pub fn is_idle(&self, now: Duration) -> bool {
        self.in_hand == 0 && self.batches <= now && self.bytes <= now
    }
}

/// The sketch; made when the first key finds no place.
#[derive(Debug)]
pub struct Sketch {
    cells: Vec<Load>,
    hashes: [RandomState; ROWS],
}

/// Where a key's cells are.
pub type Cells = [u32; ROWS];

impl Sketch {
    pub fn new() -> Self {
        Sketch {
            cells: vec![Load::default(); ROWS * CELLS],
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
    pub fn load(&self, cells: &Cells) -> Load {
        let all = || cells.iter().map(|c| &self.cells[*c as usize]);
        Load {
            in_hand: all().map(|l| l.in_hand).min().unwrap_or_default(),
            batches: all().map(|l| l.batches).min().unwrap_or_default(),
            bytes: all().map(|l| l.bytes).min().unwrap_or_default(),
        }
    }

    /// A batch was taken: one more in hand, and the times moved on to these.
    pub fn take(&mut self, cells: &Cells, batches: Duration, bytes: Duration) {
        for cell in cells {
            let load = &mut self.cells[*cell as usize];
            load.in_hand += 1;
            (load.batches, load.bytes) = (load.batches.max(batches), load.bytes.max(bytes));
        }
    }

    pub fn release(&mut self, cells: &Cells) {
        for cell in cells {
            let load = &mut self.cells[*cell as usize];
            load.in_hand = load.in_hand.saturating_sub(1);
        }
    }
}

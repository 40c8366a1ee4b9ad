//! Indexes and counts the ready engines by zone, cell and shape.

use crate::engine::{EngineFacts, EngineKey};
use crate::settings::{PlacementClass, RetryScope};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a cell of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Cell {
    pub zone: u32,
    pub cell: u32,
}

/// The engines among which a query may be retried: those of a zone, or those of one cell if `cell` is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RetryDomain {
    pub zone: u32,
    pub cell: Option<u32>,
}

impl From<Cell> for RetryDomain {
    fn from(cell: Cell) -> Self {
        RetryDomain {
            zone: cell.zone,
            cell: Some(cell.cell),
        }
    }
}

impl RetryDomain {
    /// Returns the retry domain of an engine, or `None` if retries may go to any engine.
    pub fn of(facts: &EngineFacts, scope: RetryScope) -> Option<Self> {
        match scope {
            RetryScope::Everywhere => None,
            RetryScope::Zone => Some(RetryDomain {
                zone: facts.zone,
                cell: None,
            }),
            RetryScope::Cell => Some(RetryDomain {
                zone: facts.zone,
                cell: Some(facts.cell),
            }),
        }
    }
}

/// The kind and the number of cores of an engine. Engines of the same zone, cell and shape are equivalent for the
/// choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EngineShape {
    pub kind: u32,
    /// Bit pattern of the number of cores, so that shapes can be ordered.
    cores: u64,
}

impl EngineShape {
    pub fn of(facts: &EngineFacts) -> Self {
        EngineShape {
            kind: facts.kind,
            cores: facts.cores.to_bits(),
        }
    }

    pub fn cores(self) -> f64 {
        f64::from_bits(self.cores)
    }
}

/// Number of engines of each shape.
pub(crate) type ShapeCounts = BTreeMap<EngineShape, usize>;

#[derive(Clone, Debug, Default)]
struct CellEngines {
    engines: BTreeSet<EngineKey>,
    shapes: ShapeCounts,
}

/// The ready engines, by zone and cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadyEngines {
    count: usize,
    cells: BTreeMap<Cell, CellEngines>,
    zones: BTreeMap<u32, ShapeCounts>,
    /// Number of times that a shape was added to a zone that had no engine of it.
    added_to_zones: u64,
    /// Number of times that a shape was added to a cell that had no engine of it.
    added_to_cells: u64,
}

impl ReadyEngines {
    pub fn insert(&mut self, engine: EngineKey, facts: &EngineFacts) {
        let cell = self
            .cells
            .entry(Cell {
                zone: facts.zone,
                cell: facts.cell,
            })
            .or_default();
        if cell.engines.insert(engine) {
            let shape = EngineShape::of(facts);
            let zone = self.zones.entry(facts.zone).or_default();
            self.added_to_cells += u64::from(add(&mut cell.shapes, shape));
            self.added_to_zones += u64::from(add(zone, shape));
            self.count += 1;
        }
    }

    pub fn remove(&mut self, engine: EngineKey, facts: &EngineFacts) {
        let key = Cell {
            zone: facts.zone,
            cell: facts.cell,
        };
        let Some(cell) = self.cells.get_mut(&key) else {
            return;
        };
        if !cell.engines.remove(&engine) {
            return;
        }
        let shape = EngineShape::of(facts);
        subtract(&mut cell.shapes, shape);
        if cell.engines.is_empty() {
            self.cells.remove(&key);
        }
        if let Some(zone) = self.zones.get_mut(&facts.zone) {
            subtract(zone, shape);
            if zone.is_empty() {
                self.zones.remove(&facts.zone);
            }
        }
        self.count -= 1;
    }

    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns a counter that grows whenever a shape is added to a retry domain that had no engine of it.
    pub fn added_shapes(&self, scope: RetryScope) -> u64 {
        match scope {
            RetryScope::Cell => self.added_to_cells,
            RetryScope::Zone | RetryScope::Everywhere => self.added_to_zones,
        }
    }

    /// Iterates over the zones with the number of engines of each shape.
    pub fn zones(&self) -> impl Iterator<Item = (u32, &ShapeCounts)> {
        self.zones.iter().map(|(zone, shapes)| (*zone, shapes))
    }

    /// Iterates over the cells with the number of engines of each shape.
    pub fn cells(&self) -> impl Iterator<Item = (Cell, &ShapeCounts)> {
        self.cells
            .iter()
            .map(|(cell, contents)| (*cell, &contents.shapes))
    }

    /// Returns the number of ready engines that may serve a class.
    pub fn count_in_class(&self, class: &PlacementClass) -> usize {
        let in_zone = |(zone, shapes): (u32, &ShapeCounts)| -> usize {
            shapes
                .iter()
                .filter(|(shape, _)| class.admits(zone, shape.kind))
                .map(|(_, count)| *count)
                .sum()
        };
        self.zones().map(in_zone).sum()
    }

    /// Iterates over the ready engines of a retry domain.
    pub fn in_domain(&self, domain: RetryDomain) -> impl Iterator<Item = EngineKey> + '_ {
        let first = domain.cell.unwrap_or(u32::MIN);
        let last = domain.cell.unwrap_or(u32::MAX);
        let cells = Cell {
            zone: domain.zone,
            cell: first,
        }..=Cell {
            zone: domain.zone,
            cell: last,
        };
        self.cells
            .range(cells)
            .flat_map(|(_, cell)| cell.engines.iter().copied())
    }
}

/// Counts one more engine of a shape. Returns whether it is the first of its shape.
fn add(shapes: &mut ShapeCounts, shape: EngineShape) -> bool {
    let count = shapes.entry(shape).or_default();
    *count += 1;
    *count == 1
}

fn subtract(shapes: &mut ShapeCounts, shape: EngineShape) {
    if let Some(count) = shapes.get_mut(&shape) {
        *count -= 1;
        if *count == 0 {
            shapes.remove(&shape);
        }
    }
}

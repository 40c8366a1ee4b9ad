//! What a comparison runs: one strategy with one size in one fleet.

use super::experiment::Fleet;
use super::strategy_name::StrategyName;
use std::fmt;

/// So many gateways before so many engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FleetSize {
    pub gateways: usize,
    pub engines: usize,
}

impl fmt::Display for FleetSize {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} x {}", self.gateways, self.engines)
    }
}

/// One strategy with one size in one fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Case {
    pub fleet: FleetSize,
    /// Engines of a subset; all engines where the strategy holds the whole list.
    pub size: usize,
    pub strategy: StrategyName,
}

impl Case {
    pub fn new(fleet: &Fleet, size: usize, strategy: StrategyName) -> Case {
        let size = if strategy.holds_whole_list() {
            fleet.engines
        } else {
            size
        };
        Case {
            fleet: FleetSize {
                gateways: fleet.gateways,
                engines: fleet.engines,
            },
            size,
            strategy,
        }
    }
}

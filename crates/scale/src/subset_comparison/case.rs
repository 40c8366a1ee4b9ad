//! Identifies one case of a comparison: a strategy with a subset size in a fleet.

use super::experiment::Fleet;
use super::strategy_name::StrategyName;
use std::fmt;

/// Numbers of gateways and engines of a fleet.
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

/// A strategy with a subset size in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Case {
    pub fleet: FleetSize,
    /// Number of engines in a subset; all engines if the strategy holds the whole list.
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

//! Interface of the strategies to choose subsets, and their results.

use super::population::Population;
use crate::process::processor_time;
use std::sync::Arc;
use std::time::Duration;

/// The engines that each gateway holds, as ascending numbers. The gateways are in the order of the population.
#[derive(Clone, Debug)]
pub struct Assignment {
    pub held: Vec<Arc<[u32]>>,
    /// Number of holders that each gateway assumes for each engine in `held`; empty if the strategy does not count
    /// holders.
    pub holder_counts: Vec<Vec<f64>>,
}

/// Placement classes, one for each named kind.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    /// Minimum number of engines of each class in a subset.
    pub floor: usize,
    pub kinds: Vec<u32>,
}

/// The subsets before any change and after each single change.
pub struct Choices {
    pub before: Assignment,
    /// Processor time of the choice before any change.
    pub choice_time: Duration,
    pub after: Vec<Assignment>,
    /// The subsets after all changes are undone, if the strategy depends on more than the present population.
    pub restored: Option<Assignment>,
}

/// A strategy to choose subsets.
pub trait Strategy {
    /// Chooses the subsets of all gateways. `size` is the number of engines in a subset.
    fn choose(&self, population: &Population, size: usize) -> Assignment;

    /// Chooses the subsets before any change and after each of the changes in `changed`.
    fn choose_sequentially(
        &self,
        before: &Population,
        changed: &[Population],
        size: usize,
    ) -> Choices {
        let started = processor_time();
        let first = self.choose(before, size);
        let choice_time = processor_time().saturating_sub(started);
        let after = changed
            .iter()
            .map(|population| self.choose(population, size))
            .collect();
        Choices {
            before: first,
            choice_time,
            after,
            restored: None,
        }
    }

    /// Returns the number of connections of each engine, by engine number.
    fn connections(&self, population: &Population, assignment: &Assignment) -> Vec<f64> {
        let mut connections = vec![0.0; population.engine_numbers()];
        let held = assignment.held.iter().flat_map(|held| held.iter());
        held.for_each(|&engine| connections[engine as usize] += 1.0);
        connections
    }

    /// Returns the number of bytes that one gateway stores for the choice, in addition to the list.
    fn state_bytes(&self, population: &Population, size: usize) -> usize;

    /// Returns the placement classes that the strategy knows.
    fn classes(&self) -> Classes {
        Classes::default()
    }
}

//! A strategy to choose subsets, and what it chooses.

use super::population::Population;
use crate::process::processor_time;
use std::sync::Arc;
use std::time::Duration;

/// The engines that each gateway holds: ascending numbers, in the order of the population's gateways.
#[derive(Clone, Debug)]
pub struct Assignment {
    pub held: Vec<Arc<[u32]>>,
    /// The number of holders that each gateway assumes for each engine of `held`; empty where the strategy has none.
    pub holder_counts: Vec<Vec<f64>>,
}

/// Placement classes, one for each kind that is named.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    /// Engines of each in a subset at least.
    pub floor: usize,
    pub kinds: Vec<u32>,
}

/// The choices before any change, and after each change by itself.
pub struct Choices {
    pub before: Assignment,
    /// Processor time of the first choice.
    pub choice_time: Duration,
    pub after: Vec<Assignment>,
    /// The choice when all changes are undone, where it depends on more than the population.
    pub restored: Option<Assignment>,
}

/// A strategy to choose subsets.
pub trait Strategy {
    /// The subsets of all gateways.
    fn choose(&self, population: &Population, size: usize) -> Assignment;

    /// The subsets before and after each change.
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

    /// Connections that each engine holds, by its number.
    fn connections(&self, population: &Population, assignment: &Assignment) -> Vec<f64> {
        let mut connections = vec![0.0; population.engine_numbers()];
        let held = assignment.held.iter().flat_map(|held| held.iter());
        held.for_each(|&engine| connections[engine as usize] += 1.0);
        connections
    }

    /// Bytes that one gateway stores for the choice, beside the list itself.
    fn state_bytes(&self, population: &Population, size: usize) -> usize;

    /// The placement classes that it knows.
    fn classes(&self) -> Classes {
        Classes::default()
    }
}

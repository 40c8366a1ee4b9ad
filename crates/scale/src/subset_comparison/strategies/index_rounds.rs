//! Deterministic subsets by index: gateways are numbered, and each round of numbers divides a shuffled list.

use crate::subset_comparison::population::Population;
use crate::subset_comparison::strategy::{Assignment, Strategy};
use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Numbering of the present gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Numbering {
    /// Numbers without gaps, which are reassigned when a gateway leaves.
    Compact,
    /// Permanent numbers; gateways that left leave gaps.
    Permanent,
}

/// Rounds over shuffled lists. A round is ordered by a hash, so that a change of the list changes the order least.
pub struct IndexRounds {
    pub numbering: Numbering,
}

impl Strategy for IndexRounds {
    fn choose(&self, population: &Population, size: usize) -> Assignment {
        let subsets_in_round = (population.engines.len() / size).max(1);
        let mut rounds: HashMap<usize, Vec<u32>> = HashMap::new();
        let held = population
            .gateways
            .iter()
            .enumerate()
            .map(|(rank, gateway)| {
                let number = match self.numbering {
                    Numbering::Compact => rank,
                    Numbering::Permanent => gateway.number as usize,
                };
                let round = number / subsets_in_round;
                let order = rounds
                    .entry(round)
                    .or_insert_with(|| shuffled(population, round));
                let start = number % subsets_in_round * size;
                let mut held: Vec<u32> = order[start..(start + size).min(order.len())].to_vec();
                held.sort_unstable();
                Arc::from(held)
            });
        Assignment {
            held: held.collect(),
            holder_counts: Vec::new(),
        }
    }

    fn state_bytes(&self, population: &Population, _size: usize) -> usize {
        population.engines.len() * std::mem::size_of::<u32>()
    }
}

/// Returns the engines in the order of a round.
fn shuffled(population: &Population, round: usize) -> Vec<u32> {
    let place = |engine: &crate::subset_comparison::population::Engine| {
        (
            xxh3_64_with_seed(engine.id.as_bytes(), round as u64),
            engine.number,
        )
    };
    let mut order: Vec<(u64, u32)> = population.engines.iter().map(place).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, number)| number).collect()
}

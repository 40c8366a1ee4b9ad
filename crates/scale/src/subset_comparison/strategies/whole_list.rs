//! Whole list: the strategy of gateways without subsets.

use crate::subset_comparison::population::Population;
use crate::subset_comparison::strategy::{Assignment, Strategy};
use std::sync::Arc;

/// Assigns every engine to every gateway.
pub struct WholeList;

impl Strategy for WholeList {
    fn choose(&self, population: &Population, _size: usize) -> Assignment {
        let all: Arc<[u32]> = population.numbers().into();
        Assignment {
            held: vec![all; population.gateways.len()],
            holder_counts: Vec::new(),
        }
    }

    fn state_bytes(&self, _population: &Population, _size: usize) -> usize {
        0
    }
}

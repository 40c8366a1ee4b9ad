//! Sampling: for each decision a few engines of the whole list are polled, and the least loaded gets the query.

use crate::subset_comparison::experiment;
use crate::subset_comparison::population::Population;
use crate::subset_comparison::strategy::{Assignment, Strategy};
use std::sync::Arc;

/// Bytes of an alias table a engine: a threshold and the other engine.
const ALIAS_BYTES: usize = std::mem::size_of::<(f64, u32)>();

/// Draws by cores from the whole list.
pub struct Sampling {
    pub settings: experiment::Sampling,
    pub queries_per_second: f64,
}

impl Strategy for Sampling {
    /// Over time each gateway uses each engine, by its cores.
    fn choose(&self, population: &Population, _size: usize) -> Assignment {
        let all: Arc<[u32]> = population.numbers().into();
        Assignment {
            held: vec![all; population.gateways.len()],
            holder_counts: Vec::new(),
        }
    }

    /// A connection lasts while the engine is drawn again before the connection was idle for too long. Computed,
    /// not simulated: the draws of a gateway at an engine are a Poisson process.
    fn connections(&self, population: &Population, assignment: &Assignment) -> Vec<f64> {
        let cores = population.cores();
        let all: f64 = cores.iter().sum();
        let draws_per_second = self.queries_per_second * self.settings.draws as f64;
        let open = |cores: &f64| {
            let mean_draws = draws_per_second * cores / all * self.settings.connection_idle_s;
            (1.0 - (-mean_draws).exp()) * assignment.held.len() as f64
        };
        cores.iter().map(open).collect()
    }

    fn state_bytes(&self, population: &Population, _size: usize) -> usize {
        population.engines.len() * ALIAS_BYTES
    }
}

//! Sampling: each decision polls a few engines of the whole list and sends the query to the least loaded one.

use crate::subset_comparison::experiment;
use crate::subset_comparison::population::Population;
use crate::subset_comparison::strategy::{Assignment, Strategy};
use std::sync::Arc;

/// Bytes per engine of an alias table: a threshold and the other engine.
const ALIAS_BYTES: usize = std::mem::size_of::<(f64, u32)>();

/// Draws engines from the whole list in proportion to their cores.
pub struct Sampling {
    pub settings: experiment::Sampling,
    pub queries_per_second: f64,
}

impl Strategy for Sampling {
    /// Assigns all engines to each gateway, since over time each gateway uses each engine, in proportion to its cores.
    fn choose(&self, population: &Population, _size: usize) -> Assignment {
        let all: Arc<[u32]> = population.numbers().into();
        Assignment {
            held: vec![all; population.gateways.len()],
            holder_counts: Vec::new(),
        }
    }

    /// Computes the mean number of open connections of each engine. A connection stays open if the engine is drawn
    /// again before the connection has been idle for too long. The result is computed and not simulated, since a
    /// gateway's draws of an engine are a Poisson process.
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

//! Sampling: for each decision a few engines of the whole list are asked, and the least loaded gets the query.

use super::{Assignment, Way};
use crate::spread::experiment;
use crate::spread::population::Population;
use std::sync::Arc;

/// Bytes of an alias table a engine: a threshold and the other engine.
const ALIAS_BYTES: usize = std::mem::size_of::<(f64, u32)>();

/// Draws by cores from the whole list.
pub struct Sampling {
    pub settings: experiment::Sampling,
    pub queries_per_second: f64,
}

impl Way for Sampling {
    /// Over time each gateway meets each engine, by its cores.
    fn choose(&self, population: &Population, _size: usize) -> Assignment {
        let all: Arc<[u32]> = population.numbers().into();
        Assignment {
            held: vec![all; population.gateways.len()],
            told_holders: Vec::new(),
        }
    }

    /// A connection lasts while the engine is drawn again before the connection was idle for too long. Worked out,
    /// not played: the draws of a gateway at an engine come by a Poisson process.
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

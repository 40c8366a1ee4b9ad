//! Rendezvous hashing without an index: computes all scores of a gateway and holds the engines with the smallest ones.

use crate::subset_comparison::population::{Engine, Gateway, Population};
use crate::subset_comparison::strategy::{Assignment, Classes, Strategy};
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes that a gateway stores for a member or candidate: its score and its number.
const CANDIDATE_BYTES: usize = std::mem::size_of::<(f64, u32)>();
/// Number of the highest bits of a hash that are used. With half a step added, they fit a float exactly.
const FRACTION_BITS: u32 = 52;

/// Weight of an engine in the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    Equal,
    Cores,
}

impl Weights {
    fn of(self, engine: &Engine) -> f64 {
        match self {
            Weights::Equal => 1.0,
            Weights::Cores => engine.cores,
        }
    }
}

/// Chooses the engines with the smallest scores of the list, and those with the smallest of each kind up to a floor.
pub struct Rendezvous {
    pub weights: Weights,
    pub classes: Classes,
    pub threads: usize,
}

impl Rendezvous {
    /// Returns the subset of one gateway.
    fn choose_one(&self, engines: &[Engine], gateway: &str, size: usize) -> Arc<[u32]> {
        let name_hash = xxh3_64(gateway.as_bytes());
        let score = |engine: &Engine| (self.score(name_hash, engine), engine.number, engine.kind);
        let mut scores: Vec<(f64, u32, u32)> = engines.iter().map(score).collect();
        let mut held: Vec<u32> = smallest(&mut scores, size)
            .iter()
            .map(|(_, number, _)| *number)
            .collect();
        for kind in &self.classes.kinds {
            let mut of_kind: Vec<_> = scores
                .iter()
                .filter(|score| score.2 == *kind)
                .copied()
                .collect();
            let floor = smallest(&mut of_kind, self.classes.floor);
            held.extend(floor.iter().map(|(_, number, _)| *number));
        }
        held.sort_unstable();
        held.dedup();
        held.into()
    }

    /// Derives from the hash a draw of the exponential distribution whose rate is the engine's weight.
    fn score(&self, name_hash: u64, engine: &Engine) -> f64 {
        let hash = xxh3_64_with_seed(engine.id.as_bytes(), name_hash);
        let steps = (1u64 << FRACTION_BITS) as f64;
        let uniform = ((hash >> (u64::BITS - FRACTION_BITS)) as f64 + 0.5) / steps;
        -uniform.ln() / self.weights.of(engine)
    }
}

impl Strategy for Rendezvous {
    fn choose(&self, population: &Population, size: usize) -> Assignment {
        let part = population.gateways.len().div_ceil(self.threads).max(1);
        let held = std::thread::scope(|scope| {
            let choose_part = |gateways: &'_ [Gateway]| -> Vec<Arc<[u32]>> {
                let choose =
                    |gateway: &Gateway| self.choose_one(&population.engines, &gateway.name, size);
                gateways.iter().map(choose).collect()
            };
            let parts: Vec<_> = population
                .gateways
                .chunks(part)
                .map(|part| scope.spawn(move || choose_part(part)))
                .collect();
            parts
                .into_iter()
                .flat_map(|part| part.join().expect("choosing does not panic"))
                .collect()
        });
        Assignment {
            held,
            holder_counts: Vec::new(),
        }
    }

    fn state_bytes(&self, _population: &Population, size: usize) -> usize {
        size * CANDIDATE_BYTES
    }

    fn classes(&self) -> Classes {
        self.classes.clone()
    }
}

/// Returns the `count` smallest scores, unordered; all scores if there are fewer.
fn smallest(scores: &mut [(f64, u32, u32)], count: usize) -> &[(f64, u32, u32)] {
    if count == 0 || scores.len() <= count {
        return &scores[..scores.len().min(count)];
    }
    let order = |a: &(f64, u32, u32), b: &(f64, u32, u32)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
    scores.select_nth_unstable_by(count - 1, order);
    &scores[..count]
}

//! Keeps the engines with the lowest scores: all engines below a limit, and none above it.

use crate::engine::EngineKey;
use crate::score::Score;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Number of spare candidates as a fraction of the wanted ones. This many may leave before the list must be scanned
/// again.
const SPARE_FRACTION: f64 = 0.5;

/// Minimum number of spare candidates.
const MIN_SPARE: usize = 8;

/// The engines of a list with the lowest scores, in order of score.
#[derive(Clone, Debug)]
pub(crate) struct Candidates {
    by_score: BTreeSet<(Score, EngineKey)>,
    scores: BTreeMap<EngineKey, Score>,
    /// All engines with a score below the limit are candidates; `None` if all engines are candidates.
    limit: Option<Score>,
}

impl Candidates {
    /// Collects the engines with the lowest scores: `wanted` engines and some spare ones.
    pub fn collect(engines: impl Iterator<Item = (Score, EngineKey)>, wanted: usize) -> Self {
        let capacity = with_spare(wanted);
        let mut lowest: BinaryHeap<(Score, EngineKey)> = BinaryHeap::new();
        let mut limit: Option<Score> = None;
        for engine in engines {
            lowest.push(engine);
            if lowest.len() > capacity {
                let dropped = lowest.pop().map(|(score, _)| score);
                limit = limit.into_iter().chain(dropped).min();
            }
        }
        let by_score: BTreeSet<(Score, EngineKey)> = lowest.into_iter().collect();
        let scores = by_score
            .iter()
            .map(|(score, engine)| (*engine, *score))
            .collect();
        Candidates {
            by_score,
            scores,
            limit,
        }
    }

    /// Adds an engine if its score is below the limit. Returns whether the engine is a candidate now.
    pub fn offer(&mut self, engine: EngineKey, score: Score, wanted: usize) -> bool {
        if self.limit.is_some_and(|limit| score >= limit) {
            return false;
        }
        self.withdraw(engine);
        self.by_score.insert((score, engine));
        self.scores.insert(engine, score);
        if self.by_score.len() > with_spare(with_spare(wanted)) {
            self.truncate(with_spare(wanted));
        }
        self.scores.contains_key(&engine)
    }

    fn truncate(&mut self, length: usize) {
        while self.by_score.len() > length {
            if let Some((score, engine)) = self.by_score.pop_last() {
                self.scores.remove(&engine);
                self.limit = Some(score);
            }
        }
    }

    /// Removes an engine. Returns whether it was a candidate.
    pub fn withdraw(&mut self, engine: EngineKey) -> bool {
        let Some(score) = self.scores.remove(&engine) else {
            return false;
        };
        self.by_score.remove(&(score, engine))
    }

    /// Returns whether there are fewer candidates than wanted although the list has more engines.
    pub fn falls_short(&self, wanted: usize) -> bool {
        self.limit.is_some() && self.by_score.len() < wanted
    }

    /// Iterates over the candidates, lowest score first.
    pub fn in_order(&self) -> impl Iterator<Item = EngineKey> + '_ {
        self.by_score.iter().map(|(_, engine)| *engine)
    }
}

fn with_spare(wanted: usize) -> usize {
    let spare = (wanted as f64 * SPARE_FRACTION) as usize;
    wanted.saturating_add(spare.max(MIN_SPARE))
}

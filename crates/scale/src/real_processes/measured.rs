//! Figures of a run, computed from the observations.

use super::observations::{ChangeSeen, Observations, Outcome, Query};
use std::collections::BTreeSet;

/// Figures of a run.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Measured {
    pub max_over_mean: f64,
    pub p99_over_mean: f64,
    /// The slot of the busiest engine.
    pub busiest: usize,
    /// Engines that got an attempt.
    pub engines_used: usize,
    /// The most engines that one gateway opened connections to.
    pub engines_a_gateway: f64,
    /// The most gateways that opened connections to one engine.
    pub gateways_an_engine: f64,
    /// The worst of all changes; infinite where fewer than 99 in 100 saw it.
    pub change_seen_ms: f64,
    pub ready_ms: f64,
    pub succeeded_share: f64,
}

impl Measured {
    pub fn new(observations: &Observations) -> Measured {
        let mut attempts = attempts_by_engine(observations);
        let mean = attempts.iter().sum::<f64>() / attempts.len().max(1) as f64;
        let busiest = (0..attempts.len())
            .max_by(|a, b| attempts[*a].total_cmp(&attempts[*b]))
            .unwrap_or(0);
        let engines_used = attempts.iter().filter(|count| **count > 0.0).count();
        attempts.sort_by(f64::total_cmp);
        let over_mean = |part: f64| {
            quantile(&attempts, part).map_or(0.0, |count| count / mean.max(f64::MIN_POSITIVE))
        };
        let succeeded = |query: &&Query| matches!(query.outcome, Outcome::Succeeded { .. });
        let succeeded = observations.queries.iter().filter(succeeded).count() as f64;
        let engines_of_gateways = observations.connected_engines.values();
        let engines_a_gateway = engines_of_gateways.map(BTreeSet::len).max().unwrap_or(0);
        let seen = observations
            .changes
            .iter()
            .map(|change| 1000.0 * seen_by_99_in_100(change, observations.watchers));
        Measured {
            max_over_mean: over_mean(1.0),
            p99_over_mean: over_mean(0.99),
            busiest,
            engines_used,
            engines_a_gateway: engines_a_gateway as f64,
            gateways_an_engine: most_gateways_an_engine(observations) as f64,
            change_seen_ms: seen.fold(0.0, f64::max),
            ready_ms: 1000.0 * observations.ready.iter().copied().fold(0.0, f64::max),
            succeeded_share: succeeded / observations.queries.len().max(1) as f64,
        }
    }
}

/// Attempts that each slot's engines ran.
fn attempts_by_engine(observations: &Observations) -> Vec<f64> {
    let mut counts = vec![0.0; observations.engines];
    let attempts = observations.attempts.iter();
    for attempt in attempts.filter(|attempt| !attempt.declined) {
        counts[attempt.engine.slot] += 1.0;
    }
    counts
}

fn most_gateways_an_engine(observations: &Observations) -> usize {
    let mut gateways = vec![0; observations.engines];
    for slot in observations.connected_engines.values().flatten() {
        gateways[*slot] += 1;
    }
    gateways.into_iter().max().unwrap_or(0)
}

/// The value of sorted ones that this part of them is at or under.
pub fn quantile(sorted: &[f64], part: f64) -> Option<f64> {
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied()
}

/// Seconds until 99 in 100 of the watchers had seen a change; infinite where fewer did.
pub fn seen_by_99_in_100(change: &ChangeSeen, watchers: usize) -> f64 {
    let mut seconds = change.seconds.clone();
    seconds.sort_by(f64::total_cmp);
    let rank = (0.99 * watchers as f64).ceil() as usize;
    match rank {
        0 => 0.0,
        rank => seconds.get(rank - 1).copied().unwrap_or(f64::INFINITY),
    }
}

//! Computes statistics of a run as a whole from its observations.

use super::figure::Figure;
use super::observations::{ChangeSeen, Observations, Outcome, Query};
use crate::statistics::quantile;
use std::collections::BTreeSet;

/// Statistics of a run, most of which the judge checks against bounds.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct RunStatistics {
    /// Attempts at the busiest engine, relative to the mean over all engines.
    pub max_over_mean: f64,
    /// 99th percentile of the attempts per engine, relative to the mean.
    pub p99_over_mean: f64,
    /// Slot of the busiest engine.
    pub busiest: usize,
    /// Number of engines that ran an attempt.
    pub engines_used: usize,
    /// Largest number of engines to which one gateway opened connections.
    pub engines_a_gateway: f64,
    /// Largest number of gateways that opened connections to one engine.
    pub gateways_an_engine: f64,
    /// Largest time over all changes until 99 in 100 watchers received the change; infinite if fewer received it.
    pub change_seen_ms: f64,
    /// Largest time from a gateway's start until it served.
    pub ready_ms: f64,
    /// Share of all queries, from 0 to 1.
    pub succeeded_share: f64,
}

impl RunStatistics {
    pub fn new(observations: &Observations) -> RunStatistics {
        let mut attempts = attempts_by_engine(observations);
        let mean = attempts.iter().sum::<f64>() / attempts.len().max(1) as f64;
        let busiest = (0..attempts.len())
            .max_by(|a, b| attempts[*a].total_cmp(&attempts[*b]))
            .unwrap_or(0);
        let engines_used = attempts.iter().filter(|count| **count > 0.0).count();
        attempts.sort_by(f64::total_cmp);
        let over_mean = |part: f64| quantile(&attempts, part) / mean.max(f64::MIN_POSITIVE);
        let succeeded = |query: &&Query| matches!(query.outcome, Outcome::Succeeded { .. });
        let succeeded = observations.queries.iter().filter(succeeded).count() as f64;
        let engines_of_gateways = observations.connected_engines.values();
        let engines_a_gateway = engines_of_gateways.map(BTreeSet::len).max().unwrap_or(0);
        let seen = observations
            .changes
            .iter()
            .map(|change| 1000.0 * seen_by_99_in_100(change, observations.watchers));
        RunStatistics {
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

/// Counts the attempts that the engines of each slot ran.
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

/// Returns the seconds until 99 in 100 of the watchers had received a change; infinite if fewer received it.
pub fn seen_by_99_in_100(change: &ChangeSeen, watchers: usize) -> f64 {
    let mut seconds = change.seconds.clone();
    seconds.sort_by(f64::total_cmp);
    let rank = (0.99 * watchers as f64).ceil() as usize;
    match rank {
        0 => 0.0,
        rank => seconds.get(rank - 1).copied().unwrap_or(f64::INFINITY),
    }
}

/// Returns the figures of a run as a whole.
pub fn run_figures(observations: &Observations) -> Vec<Figure> {
    let statistics = RunStatistics::new(observations);
    let figure = |name: &str, value: f64| Figure::new("run", 0.0, name, value);
    let ended = |wanted: fn(&Outcome) -> bool| {
        let outcomes = observations.queries.iter().map(|query| &query.outcome);
        outcomes.filter(|outcome| wanted(outcome)).count() as f64
    };
    let succeeded = ended(|outcome| matches!(outcome, Outcome::Succeeded { .. }));
    let rejected = ended(|outcome| matches!(outcome, Outcome::Rejected));
    let failed = ended(|outcome| matches!(outcome, Outcome::Failed));
    let refused = ended(|outcome| matches!(outcome, Outcome::ConnectionRefused));
    let lost = ended(|outcome| matches!(outcome, Outcome::Lost(_)));
    let mut ready = observations.ready.clone();
    ready.sort_by(f64::total_cmp);
    vec![
        figure("queries", observations.queries.len() as f64),
        figure("succeeded", succeeded),
        figure("rejected", rejected),
        figure("failed", failed),
        figure("not_taken", refused),
        figure("lost", lost),
        figure("attempts", observations.attempts.len() as f64),
        figure("changes", observations.changes.len() as f64),
        figure("busiest_engine_over_mean", statistics.max_over_mean),
        figure("busiest_engine", statistics.busiest as f64),
        figure("engines_that_ran_something", statistics.engines_used as f64),
        figure("engine_p99_over_mean", statistics.p99_over_mean),
        figure("most_engines_a_gateway", statistics.engines_a_gateway),
        figure("most_gateways_an_engine", statistics.gateways_an_engine),
        figure(
            "worst_change_seen_by_99_in_100_ms",
            statistics.change_seen_ms,
        ),
        figure("ready_ms_median", 1000.0 * quantile(&ready, 0.5)),
        figure("ready_ms_most", statistics.ready_ms),
    ]
}

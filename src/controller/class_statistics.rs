//! Learns the work, memory and slowdown of each query class from answers, and derives expected work and memory grants.

use super::averages::Estimator;
use super::retry_budget::RetryWindow;
use super::{AdmissionController, MIN_DIVISOR};
use crate::api::{AttemptOutcome, EngineId, Query, QueryClass};

/// Minimum weight of one answer in the averages. The first answers have larger weights.
const ANSWER_WEIGHT: f64 = 0.02;
/// Upper limit of the slowdown of one answer.
const MAX_SLOWDOWN: f64 = 20.0;
/// Fraction of a class's queries whose memory should be covered by their grant.
const GRANT_COVERAGE: f64 = 0.85;
/// Step size for adjusting the grant factor after each answer, as a fraction of the factor.
const GRANT_STEP: f64 = 0.05;
/// Ratio of grant to estimate until the first measurement.
const INITIAL_GRANT_FACTOR: f64 = 2.0;
/// Initial expected work of a class, as a fraction of its deadline.
const INITIAL_WORK_DEADLINE_FRACTION: f64 = 0.1;

/// Statistics of a query class, learned from successful answers.
#[derive(Default)]
pub(crate) struct ClassStatistics {
    /// Number of successful answers.
    pub(crate) answers: u32,
    /// Work in seconds on one thread.
    work: Estimator,
    /// Memory in megabytes.
    memory: Estimator,
    /// Ratio of the memory grant to the memory estimate.
    grant_factor: f64,
    /// Mean ratio of latency to uncontended run time (work divided by threads); at least 1.
    pub(crate) slowdown: f64,
    /// Admissions and retries of the class; recorded only if the class has its own retry budget.
    pub(crate) retry_window: RetryWindow,
}

impl ClassStatistics {
    pub(crate) fn new(class: &QueryClass) -> Self {
        ClassStatistics {
            work: Estimator::starting_at(class.deadline * INITIAL_WORK_DEADLINE_FRACTION),
            grant_factor: INITIAL_GRANT_FACTOR,
            slowdown: 1.0,
            ..ClassStatistics::default()
        }
    }
}

impl AdmissionController {
    /// Updates the statistics from a successful answer. `slowdown` is the ratio of its latency to its uncontended run
    /// time.
    pub(super) fn learn_from_answer(
        &mut self,
        query: &Query,
        outcome: &AttemptOutcome,
        slowdown: f64,
    ) {
        let threads = self.settings.classes[query.class].threads;
        let statistics = &mut self.class_statistics[query.class];
        statistics.answers += 1;
        let weight = ANSWER_WEIGHT.max(1.0 / f64::from(statistics.answers));
        let work = outcome.work.unwrap_or(outcome.latency * threads);
        let work = work.max(MIN_DIVISOR);
        statistics.work.learn(weight, work, query.estimated_work);
        if let Some(memory) = outcome.memory {
            let estimate = query.estimated_memory;
            statistics.memory.learn(weight, memory, estimate);
            let covered = estimate.is_none_or(|e| memory <= e * statistics.grant_factor);
            let covered_share = if covered { 1.0 } else { 0.0 };
            statistics.grant_factor *= 1.0 + GRANT_STEP * (GRANT_COVERAGE - covered_share);
        }
        let slowdown = slowdown.clamp(1.0, MAX_SLOWDOWN);
        statistics.slowdown += weight * (slowdown - statistics.slowdown);
    }

    /// Returns the expected work of a query, in seconds on one thread.
    pub(super) fn expected_work(&self, query: &Query) -> f64 {
        let statistics = &self.class_statistics[query.class];
        statistics.work.expected(query.estimated_work)
    }

    /// Returns the expected memory of a query in megabytes; 0 without an estimate or a measurement.
    pub(super) fn expected_memory(&self, query: &Query) -> f64 {
        let statistics = &self.class_statistics[query.class];
        statistics.memory.expected(query.estimated_memory)
    }

    /// Returns the memory grant of a query at an engine, in megabytes; `None` if grants are disabled or the query has
    /// no estimate of its memory.
    pub(super) fn memory_grant(&self, query: &Query, engine: EngineId) -> Option<f64> {
        let estimate = query
            .estimated_memory
            .filter(|_| self.settings.memory_grants)?;
        let max_grant = self.engines[engine].memory.map_or(f64::INFINITY, |memory| {
            memory * self.settings.max_grant_fraction
        });
        Some((estimate * self.class_statistics[query.class].grant_factor).min(max_grant))
    }
}

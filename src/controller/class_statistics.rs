//! Work, memory and slowdown of a query class, learned from answers; they give expected work and memory grants.

use super::averages::Estimator;
use super::retry_budget::RetryWindow;
use super::{AdmissionController, MIN_DIVISOR};
use crate::api::{AttemptOutcome, EngineId, Query, QueryClass};

/// Weight of one answer in the averages, once there are enough answers.
const ANSWER_WEIGHT: f64 = 0.02;
/// Slowdown that one answer counts as at most.
const MAX_SLOWDOWN: f64 = 20.0;
/// Share of the class's queries whose memory need a grant covers.
const GRANT_COVERAGE: f64 = 0.85;
/// Part of the grant factor by which one answer moves it.
const GRANT_STEP: f64 = 0.05;
/// Grant over the estimate until answers tell.
const INITIAL_GRANT_FACTOR: f64 = 2.0;
/// Share of the class's deadline that is taken as its work until answers tell.
const INITIAL_WORK_DEADLINE_FRACTION: f64 = 0.1;

/// What the answers of a query class have shown.
#[derive(Default)]
pub(crate) struct ClassStatistics {
    pub(crate) answers: u32,
    /// Work in seconds on one thread.
    work: Estimator,
    /// Memory in megabytes.
    memory: Estimator,
    /// Grant over the estimate.
    grant_factor: f64,
    /// Latency over bare work, 1 at least.
    pub(crate) slowdown: f64,
    /// Used where the class has a retry budget of its own.
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
    /// Takes in a successful answer; `slowdown` is its latency over its bare work.
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

    /// Expected work of a query, in seconds on one thread.
    pub(super) fn expected_work(&self, query: &Query) -> f64 {
        let statistics = &self.class_statistics[query.class];
        statistics.work.expected(query.estimated_work)
    }

    /// Expected memory of a query in megabytes; 0 where nothing tells.
    pub(super) fn expected_memory(&self, query: &Query) -> f64 {
        let statistics = &self.class_statistics[query.class];
        statistics.memory.expected(query.estimated_memory)
    }

    /// The memory grant of a query at an engine, in megabytes, where the settings have grants and it has an estimate.
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

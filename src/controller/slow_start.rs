//! Implements slow start: a newly started engine counts only with the cores that it can already use, and has a work
//! budget that all gateways share.
//!
//! Rule: the work that all gateways together send to an engine in slow start within a window stays below
//! [`SlowStart::overload_multiple`](crate::api::SlowStart::overload_multiple) x window x effective cores. A gateway
//! does not know what the others send, so each keeps to its own share.

use super::candidate::Candidate;
use super::engine_state::{EngineState, WorkBudget};
use super::{AdmissionController, MIN_DIVISOR, SUSTAINABLE_UTILISATION, WORK_DECAY_SECONDS};
use crate::api::{Endpoint, EngineId, SlowStart};

/// Fraction of an engine's budget that all gateways together plan to use. The rest absorbs random variation and uneven
/// traffic.
const BUDGET_SHARE: f64 = 0.6;
/// Fraction of an engine's budget in one window that a single query may use.
const MAX_QUERY_SHARE: f64 = 0.1;
/// Number of cores by which the effective cores may be below all cores for the engine to count as fully warmed up;
/// allows for rounding.
const CORES_TOLERANCE: f64 = 1e-3;
/// Seconds of work by which the budget may be exceeded; allows for rounding.
const BUDGET_TOLERANCE_SECONDS: f64 = 1e-3;
/// Time for which unused budget stays available, in windows. A longer time would let the unused budgets add up to an
/// overload when all gateways send at the same time.
const MAX_SAVED_WINDOWS: f64 = 0.6;

/// State of this gateway's share of a budget at one time, in seconds of work on one thread.
#[derive(Default)]
struct BudgetBalance {
    /// Work that has become due since this gateway was notified of the start.
    due: f64,
    /// Part of the due work that was sent or has expired.
    spent: f64,
}

impl AdmissionController {
    /// Returns the number of cores that an engine can use: the initial fraction at its start, rising linearly to all
    /// cores.
    pub(super) fn effective_cores(&self, now: f64, engine: &EngineState) -> f64 {
        let started_at = engine.endpoint.and_then(|endpoint| endpoint.started_at);
        let (Some(started_at), Some(slow_start)) = (started_at, self.settings.slow_start) else {
            return engine.cores;
        };
        let warmed = ((now - started_at) / slow_start.duration.max(MIN_DIVISOR)).clamp(0.0, 1.0);
        let initial = slow_start.initial_fraction;
        (engine.cores * (initial + (1.0 - initial) * warmed)).max(MIN_DIVISOR)
    }

    /// Returns whether `work`, in seconds on one thread, fits into this gateway's share of the engine's slow-start
    /// budget.
    pub(super) fn within_slow_start_budget(
        &self,
        now: f64,
        candidate: &Candidate,
        work: f64,
    ) -> bool {
        let engine = &self.engines[candidate.engine];
        let Some(slow_start) = self.settings.slow_start else {
            return true;
        };
        if candidate.effective_cores >= engine.cores - CORES_TOLERANCE {
            return true;
        }
        let balance = self.budget_balance(now, engine, &slow_start);
        work <= max_query_work(&slow_start, candidate.effective_cores)
            && balance.spent + work <= balance.due + BUDGET_TOLERANCE_SECONDS
    }

    /// Deducts the expected work of a starting attempt from this gateway's share of the engine's budget.
    pub(super) fn spend_slow_start_budget(&mut self, now: f64, engine: EngineId, work: f64) {
        let balance = match self.settings.slow_start {
            Some(slow_start) => self.budget_balance(now, &self.engines[engine], &slow_start),
            None => BudgetBalance::default(),
        };
        let budget = &mut self.engines[engine].work_budget;
        budget.spent = balance.spent + work;
        // If the remaining due work does not cover another query of this size, the next quantum is counted from the
        // work spent so far instead of from the end of the current quantum.
        if balance.due - budget.spent < work {
            budget.quantum_start = budget.spent;
        }
    }

    /// Returns the due and spent parts of this gateway's share of an engine's budget.
    fn budget_balance(
        &self,
        now: f64,
        engine: &EngineState,
        slow_start: &SlowStart,
    ) -> BudgetBalance {
        let schedule = BudgetSchedule {
            rate: budget_rate(engine, slow_start),
            quantum: self.budget_quantum(now, engine, slow_start),
            jitter: engine.jitter,
            budget: &engine.work_budget,
        };
        let expired = schedule.due_at(now - MAX_SAVED_WINDOWS * slow_start.window);
        BudgetBalance {
            due: schedule.due_at(now),
            spent: expired.max(engine.work_budget.spent),
        }
    }

    /// Returns the work that becomes due at once, in seconds on one thread: the expected work of the sample query, or
    /// the mean work of admitted queries if there is no sample query; at most the largest work of a single query.
    fn budget_quantum(&self, now: f64, engine: &EngineState, slow_start: &SlowStart) -> f64 {
        let work = match &engine.work_budget.sample_query {
            Some(query) => self.expected_work(query),
            None => self.mean_query_work.mean(now, WORK_DECAY_SECONDS, 0.0),
        };
        let max_work = max_query_work(slow_start, self.effective_cores(now, engine));
        work.min(max_work).max(MIN_DIVISOR)
    }
}

/// Times at which this gateway's share of an engine's budget becomes due.
///
/// The share for one window can be less than one query. Therefore the share becomes due in quanta of one query each,
/// with a random offset for each start of an engine. The sum over all gateways stays the same and varies little. Work
/// that is not sent in time expires, because the unused budgets of all gateways, sent at the same time, would overload
/// the engine.
///
/// For example, with a rate of 0.5 s of work per second, a quantum of 1 s and a jitter of 0.25, a gateway has 1 s of
/// work due 0.5 s after it was notified of the start, and another 1 s every 2 s after that.
struct BudgetSchedule<'a> {
    /// Work that becomes due per second, in seconds on one thread.
    rate: f64,
    /// Work that becomes due at once, in seconds on one thread.
    quantum: f64,
    /// Offset of the first quantum, as a fraction of a quantum.
    jitter: f64,
    budget: &'a WorkBudget,
}

impl BudgetSchedule<'_> {
    /// Returns the work that becomes due between the notification of the start and the time `at`, in seconds on one
    /// thread.
    fn due_at(&self, at: f64) -> f64 {
        let earned = self.rate * (at - self.budget.notified_at).max(0.0);
        let earned_in_quantum = earned - self.budget.quantum_start;
        let quanta = earned_in_quantum / self.quantum + 1.0 - self.jitter;
        self.budget.quantum_start + self.quantum * quanta.floor().max(0.0)
    }
}

/// Returns the work that this gateway may send per second to an engine in slow start, in seconds on one thread. The
/// rate is constant during slow start. The work of an attempt that never ran is not returned to the budget.
fn budget_rate(engine: &EngineState, slow_start: &SlowStart) -> f64 {
    slow_start.overload_multiple
        * slow_start.initial_fraction
        * engine.cores
        * SUSTAINABLE_UTILISATION
        * BUDGET_SHARE
        / engine.gateways
}

/// Returns the largest work of a single query that may be sent to an engine in slow start, in seconds on one thread.
fn max_query_work(slow_start: &SlowStart, effective_cores: f64) -> f64 {
    MAX_QUERY_SHARE * slow_start.overload_multiple * slow_start.window * effective_cores
}

/// Returns the number of gateways that use an engine, limited to the range from 1 (this gateway) to `all`. NaN and a
/// missing value count as `all`.
pub(super) fn gateways_of(endpoint: &Endpoint, all: f64) -> f64 {
    endpoint
        .gateways
        .map_or(all, |gateways| gateways.min(all).max(all.min(1.0)))
}

//! Slow start: an engine that has just started counts with the part of its cores that it can use, and has a work
//! budget that all gateways share.
//!
//! Rule: the sum of what all gateways send an engine in slow start stays under
//! [`SlowStart::overload_multiple`](crate::api::SlowStart::overload_multiple) x window x effective cores. No gateway
//! knows what others send, so each keeps to its share.

use super::candidate::Candidate;
use super::engine_state::{EngineState, WorkBudget};
use super::{AdmissionController, MIN_DIVISOR, SUSTAINABLE_UTILISATION, WORK_DECAY_SECONDS};
use crate::api::{Endpoint, EngineId, SlowStart};

/// Share of an engine's budget that gateways use together; the rest is for chance and uneven traffic.
const BUDGET_SHARE: f64 = 0.6;
/// Share of an engine's budget in one window that one query may take.
const MAX_QUERY_SHARE: f64 = 0.1;
/// Cores below all of its own at which an engine still counts as at full speed, for rounding.
const CORES_TOLERANCE: f64 = 1e-3;
/// Seconds of work by which the budget may be exceeded, for rounding.
const BUDGET_TOLERANCE_SECONDS: f64 = 1e-3;
/// Windows for which unused budget stays available. More would add up where all gateways send in step.
const MAX_SAVED_WINDOWS: f64 = 0.6;

/// A gateway's share of a budget at one moment, in seconds of work on one thread.
#[derive(Default)]
struct BudgetBalance {
    /// What has become due since the start.
    due: f64,
    /// What of it was sent or has lapsed.
    spent: f64,
}

impl AdmissionController {
    /// Cores that an engine can use: from the initial fraction at its start, evenly up to all of them.
    pub(super) fn effective_cores(&self, now: f64, engine: &EngineState) -> f64 {
        let started_at = engine.endpoint.and_then(|endpoint| endpoint.started_at);
        let (Some(started_at), Some(slow_start)) = (started_at, self.settings.slow_start) else {
            return engine.cores;
        };
        let warmed = ((now - started_at) / slow_start.duration.max(MIN_DIVISOR)).clamp(0.0, 1.0);
        let initial = slow_start.initial_fraction;
        (engine.cores * (initial + (1.0 - initial) * warmed)).max(MIN_DIVISOR)
    }

    /// Whether work for an engine is within this gateway's share of its slow-start budget.
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

    /// Takes the work of an attempt that begins out of the engine's budget.
    pub(super) fn spend_slow_start_budget(&mut self, now: f64, engine: EngineId, work: f64) {
        let balance = match self.settings.slow_start {
            Some(slow_start) => self.budget_balance(now, &self.engines[engine], &slow_start),
            None => BudgetBalance::default(),
        };
        let budget = &mut self.engines[engine].work_budget;
        budget.spent = balance.spent + work;
        // What is due and not spent does not cover another query of this work: the next quantum is counted from here, and not
        // from the end of the present one.
        if balance.due - budget.spent < work {
            budget.quantum_from = budget.spent;
        }
    }

    /// This gateway's share of an engine's budget since it was notified of the start.
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
        let lapsed = schedule.due_at(now - MAX_SAVED_WINDOWS * slow_start.window);
        BudgetBalance {
            due: schedule.due_at(now),
            spent: lapsed.max(engine.work_budget.spent),
        }
    }

    /// The work that becomes due at once: that of a usual query, in seconds on one thread.
    fn budget_quantum(&self, now: f64, engine: &EngineState, slow_start: &SlowStart) -> f64 {
        let work = match &engine.work_budget.sample_query {
            Some(query) => self.expected_work(query),
            None => self.usual_work.mean(now, WORK_DECAY_SECONDS, 0.0),
        };
        let max_work = max_query_work(slow_start, self.effective_cores(now, engine));
        work.min(max_work).max(MIN_DIVISOR)
    }
}

/// When this gateway's share of a budget becomes due.
///
/// The share in one window can be less than one query, so it becomes due in quanta of a query, with a random offset for each
/// start: the sum over gateways stays the same, and chance adds little. What is not sent in time lapses, since the
/// savings of all gateways sent in step would overload the engine.
///
/// For example, with a rate of 0.5 s of work a second and a quantum of 1 s, a gateway whose jitter is 0.25 has 1 s due from
/// 0.5 s after it was notified of the start, and another 1 s every 2 s from then on.
struct BudgetSchedule<'a> {
    /// Seconds of work on one thread that become due a second.
    rate: f64,
    /// Seconds of work on one thread that become due at once.
    quantum: f64,
    /// The offset of the first quantum, as a share of it.
    jitter: f64,
    budget: &'a WorkBudget,
}

impl BudgetSchedule<'_> {
    /// Work that has become due between the notification of the start and `at`, a time in seconds on the caller's clock.
    fn due_at(&self, at: f64) -> f64 {
        let earned = self.rate * (at - self.budget.known_since).max(0.0);
        let earned_in_quantum = earned - self.budget.quantum_from;
        let quanta = earned_in_quantum / self.quantum + 1.0 - self.jitter;
        self.budget.quantum_from + self.quantum * quanta.floor().max(0.0)
    }
}

/// Seconds of work on one thread that this gateway may send an engine in slow start each second. It stays the same until the
/// slow start is over; work of an attempt that never ran is not given back.
fn budget_rate(engine: &EngineState, slow_start: &SlowStart) -> f64 {
    slow_start.overload_multiple
        * slow_start.initial_fraction
        * engine.cores
        * SUSTAINABLE_UTILISATION
        * BUDGET_SHARE
        / engine.gateways
}

/// Work that one query may bring to an engine in slow start.
fn max_query_work(slow_start: &SlowStart, effective_cores: f64) -> f64 {
    MAX_QUERY_SHARE * slow_start.overload_multiple * slow_start.window * effective_cores
}

/// Gateways that work with an engine: this one at least and all at most; what is no number counts as all.
pub(super) fn gateways_of(endpoint: &Endpoint, all: f64) -> f64 {
    endpoint
        .gateways
        .map_or(all, |gateways| gateways.min(all).max(all.min(1.0)))
}

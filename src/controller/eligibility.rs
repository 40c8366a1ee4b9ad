//! Checks whether the rules allow an attempt of a query to start now, and at which engines.
//!
//! Rules:
//!
//! - A query has at most one attempt in flight.
//! - No attempt starts after the deadline or while the client is absent.
//! - No attempt repeats an effect (idempotency, deduplication window and scope).
//! - No attempt goes to a draining or removed engine.
//! - The zone, the kind and the endpoint subset restrict the placement.
//! - Retries need the query's body, and stay within the retry budget and the maximum number of attempts.
//! - Work for an engine in slow start stays within this gateway's share of the engine's work budget.
//!
//! Each attempt is checked by [`AdmissionController::may_begin_attempt`] and [`AdmissionController::engine_eligible`].
//! The modules `outlier_ejection`, `load` and `engine_choice` decide which of the eligible engines to avoid and which
//! to use.

use super::candidate::Candidate;
use super::query_state::{QueryPhase, QueryState};
use super::{AdmissionController, TIME_MARGIN_SECONDS};
use crate::api::{DeduplicationScope, EndpointState, EngineId, Idempotency};

impl AdmissionController {
    /// Returns whether the rules allow an attempt of this query to start now, regardless of the engine.
    pub(super) fn may_begin_attempt(&self, now: f64, state: &QueryState) -> bool {
        state.phase == QueryPhase::Queued
            && !state.client_absent
            && state.in_flight.is_none()
            && has_time_left(now, state)
            && (state.attempts == 0 || self.may_retry(now, state))
    }

    /// Returns whether the rules allow another attempt of the query, regardless of the engine.
    pub(super) fn may_retry(&self, now: f64, state: &QueryState) -> bool {
        self.deduplication_time_left(now, state) > 0.0
            && !state.body_discarded
            && has_time_left(now, state)
            && state.attempts < self.settings.max_attempts
            && self.retry_budget_left(now, state.query.class)
    }

    /// Returns whether the rules allow an attempt of the query at this engine. The caller has already checked
    /// [`Self::may_begin_attempt`]. `work` is the query's expected work in seconds on one thread.
    pub(super) fn engine_eligible(
        &self,
        now: f64,
        state: &QueryState,
        work: f64,
        candidate: &Candidate,
    ) -> bool {
        let Some(endpoint) = self.engines[candidate.engine].endpoint else {
            return false;
        };
        let class = &self.settings.classes[state.query.class];
        let listed = |list: &Option<Vec<u32>>, value: u32| {
            list.as_ref().is_none_or(|list| list.contains(&value))
        };
        endpoint.state == EndpointState::Ready
            && listed(&class.zones, endpoint.zone)
            && listed(&class.kinds, endpoint.kind as u32)
            && self.in_endpoint_subset(state.query.endpoint_subset, candidate.engine)
            && self.in_deduplication_scope(state, candidate.engine)
            && self.within_slow_start_budget(now, candidate, work)
    }

    /// Returns the time left for another attempt to reach an engine without repeating the effect, in seconds: infinite
    /// if no attempt may have run or the query is idempotent; zero or negative if no further attempt is allowed.
    pub(super) fn deduplication_time_left(&self, now: f64, state: &QueryState) -> f64 {
        let Some(first) = state.may_have_run else {
            return f64::INFINITY;
        };
        match self.settings.classes[state.query.class].idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::NonIdempotent => 0.0,
            Idempotency::IdempotentByKey { window, .. } => {
                first.begun_at + window - TIME_MARGIN_SECONDS - now
            }
        }
    }

    fn in_endpoint_subset(&self, subset: Option<u32>, engine: EngineId) -> bool {
        let Some(subset) = subset else {
            return true;
        };
        self.priority_levels(subset)
            .iter()
            .any(|level| level.contains(engine))
    }

    /// Returns whether the engine would recognise a retry as a repeat of the first attempt that may have run. Also true
    /// if no attempt may have run or the class is not idempotent by key.
    fn in_deduplication_scope(&self, state: &QueryState, engine: EngineId) -> bool {
        let class = &self.settings.classes[state.query.class];
        let (Idempotency::IdempotentByKey { scope, .. }, Some(first)) =
            (class.idempotency, state.may_have_run)
        else {
            return true;
        };
        let location = |engine: EngineId| self.engines[engine].endpoint.map(|e| (e.zone, e.cell));
        let zone = |engine: EngineId| location(engine).map(|(zone, _)| zone);
        match scope {
            DeduplicationScope::Everywhere => true,
            DeduplicationScope::Zone => zone(first.engine) == zone(engine),
            DeduplicationScope::Cell => location(first.engine) == location(engine),
        }
    }
}

/// Returns whether the time until the deadline exceeds [`TIME_MARGIN_SECONDS`].
fn has_time_left(now: f64, state: &QueryState) -> bool {
    now < state.deadline - TIME_MARGIN_SECONDS
}

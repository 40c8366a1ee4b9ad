//! Whether the rules let an attempt of a query begin now, and at which engines.
//!
//! Rules: at most one attempt of a query in flight; no attempt after the deadline or without a client; no second
//! effect (idempotency, its window and scope); no attempt at a draining or removed engine; placement by zone, kind and
//! endpoint subset; the retry budget; the work budget of an engine in slow start. Every attempt passes
//! [`AdmissionController::may_begin_attempt`] and [`AdmissionController::engine_eligible`].

use super::candidate::Candidate;
use super::query_state::{QueryPhase, QueryState};
use super::{AdmissionController, DEADLINE_MARGIN_SECONDS};
use crate::api::{DeduplicationScope, EndpointState, EngineId, Idempotency};

impl AdmissionController {
    /// Whether the rules let an attempt of this query begin now, whichever the engine.
    pub(super) fn may_begin_attempt(&self, now: f64, state: &QueryState) -> bool {
        state.phase == QueryPhase::Queued
            && !state.client_absent
            && state.in_flight.is_none()
            && has_time_left(now, state)
            && (state.attempts == 0 || self.may_retry(now, state))
    }

    /// Whether the rules let a query have another attempt at any engine.
    pub(super) fn may_retry(&self, now: f64, state: &QueryState) -> bool {
        self.deduplication_time_left(now, state) > 0.0
            && !state.body_discarded
            && has_time_left(now, state)
            && state.attempts < self.settings.max_attempts
            && self.retry_budget_left(now, state.query.class)
    }

    /// Whether the rules let an attempt of a query that may begin one go to this engine. `work` is the query's
    /// expected work in seconds on one thread.
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

    /// Seconds for which another attempt can still reach an engine without a second effect.
    pub(super) fn deduplication_time_left(&self, now: f64, state: &QueryState) -> f64 {
        let Some(first) = state.may_have_run else {
            return f64::INFINITY;
        };
        match self.settings.classes[state.query.class].idempotency {
            Idempotency::Idempotent => f64::INFINITY,
            Idempotency::NonIdempotent => 0.0,
            Idempotency::IdempotentByKey { window, .. } => {
                first.begun_at + window - DEADLINE_MARGIN_SECONDS - now
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

    /// Whether the engine would recognise a repeat of the first attempt that may have run.
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

/// Whether the deadline is far enough off for an attempt to begin.
fn has_time_left(now: f64, state: &QueryState) -> bool {
    now < state.deadline - DEADLINE_MARGIN_SECONDS
}

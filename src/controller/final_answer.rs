//! Determines the final answer of a query that did not succeed, and removes the state of finished queries.
//!
//! Rule: a query is rejected, which invites its client to send it again, only if a repeat does no harm: the query
//! provably never ran, it is idempotent, or all engines recognise its idempotency key. Otherwise the answer is that it
//! failed.

use super::query_state::QueryPhase;
use super::timers::Timer;
use super::{AdmissionController, TIME_MARGIN_SECONDS};
use crate::api::{DeduplicationScope, FinalAnswer, Idempotency, QueryId};

/// Retry-After time as a fraction of the latency objective, so that the answer to the retry still has some value.
const RETRY_AFTER_OBJECTIVE_FRACTION: f64 = 0.4;

impl AdmissionController {
    /// Finishes a query that did not succeed, and returns the answer that the rules allow.
    pub(super) fn final_answer(&mut self, now: f64, id: QueryId) -> FinalAnswer {
        let answer = if self.is_safe_to_repeat(id) {
            FinalAnswer::Rejected {
                retry_after: self.retry_after(id),
            }
        } else {
            FinalAnswer::Failed
        };
        self.finish(now, id);
        answer
    }

    /// Returns whether the client may safely send the query again, to any gateway and engine.
    fn is_safe_to_repeat(&self, id: QueryId) -> bool {
        let state = &self.queries[&id];
        if state.may_have_run.is_none() {
            return true;
        }
        match self.settings.classes[state.query.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentByKey { scope, .. } => scope == DeduplicationScope::Everywhere,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Returns the Retry-After time of a rejection in seconds; `None` if the settings disable it.
    fn retry_after(&self, id: QueryId) -> Option<f64> {
        if !self.settings.retry_after_allowed {
            return None;
        }
        let class = &self.settings.classes[self.queries[&id].query.class];
        let retry_after = class.latency_objective * RETRY_AFTER_OBJECTIVE_FRACTION;
        Some(self.settings.max_retry_after.min(retry_after))
    }

    /// Marks a query as over for its client. If an attempt is in flight, the query's state and ordering key are kept
    /// until the attempt ends; otherwise they are released now.
    pub(super) fn finish(&mut self, now: f64, id: QueryId) {
        if !self.queries.contains_key(&id) {
            return;
        }
        self.dequeue(id);
        let Some(state) = self.queries.get_mut(&id) else {
            return;
        };
        let deadline_timer_at = state.deadline - TIME_MARGIN_SECONDS;
        self.timers.cancel(deadline_timer_at, Timer::Deadline(id));
        if state.in_flight.is_some() {
            state.phase = QueryPhase::ClosedInFlight;
            return;
        }
        let query = state.query;
        self.queries.remove(&id);
        if let Some(key) = self.ordering_key(&query) {
            self.remove_from_key(now, key, id);
        }
    }

    /// Abandons a waiting query. The next [`Self::place`] for it returns the final answer.
    pub(super) fn abandon(&mut self, id: QueryId) {
        let Some(state) = self.queries.get_mut(&id) else {
            return;
        };
        if !matches!(state.phase, QueryPhase::WaitingForKey | QueryPhase::Queued) {
            return;
        }
        state.phase = QueryPhase::Abandoned;
        self.abandoned.push_back(id);
        self.dequeue(id);
    }
}
